/// \file
/// Handles SIGTERM and SIGINT by a call on a dedicated thread, so that a
/// planned stop may block.

#ifndef PSP_NET_STOPSIGNALS_H
#define PSP_NET_STOPSIGNALS_H

#include <functional>
#include <thread>

namespace psp::net {

/// Create it before any other thread, so that all threads inherit the blocked
/// signals.
class StopSignals {
public:
  StopSignals();
  StopSignals(const StopSignals &) = delete;
  StopSignals &operator=(const StopSignals &) = delete;
  ~StopSignals();

  /// Calls \p Stop for each SIGTERM or SIGINT, and \p Dump for each SIGUSR1.
  void watch(std::function<void()> Stop, std::function<void()> Dump);

private:
  std::thread m_Thread;
};

} // namespace psp::net

#endif
