#include "net/StopSignals.h"

#include <csignal>
#include <pthread.h>

namespace psp::net {

namespace {

/// Ends the signal thread; sent only by the destructor of StopSignals.
constexpr int QuitSignal = SIGUSR2;

sigset_t watchedSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGUSR1);
  sigaddset(&Signals, QuitSignal);
  return Signals;
}

} // namespace

StopSignals::StopSignals() {
  const sigset_t Signals = watchedSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // Writing to a connection that the peer closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

void StopSignals::watch(std::function<void()> Stop,
                        std::function<void()> Dump) {
  m_Thread = std::thread([Stop = std::move(Stop), Dump = std::move(Dump)] {
    pthread_setname_np(pthread_self(), "signals");
    const sigset_t Signals = watchedSignals();
    int Signal = 0;
    while (sigwait(&Signals, &Signal) == 0 && Signal != QuitSignal) {
      if (Signal == SIGUSR1)
        Dump();
      else
        Stop();
    }
  });
}

StopSignals::~StopSignals() {
  if (!m_Thread.joinable())
    return;
  pthread_kill(m_Thread.native_handle(), QuitSignal);
  m_Thread.join();
}

} // namespace psp::net
