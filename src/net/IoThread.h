/// \file
/// A thread that runs one Asio io_context. Each duty with sockets (callers,
/// peers, endpoints) has its own.

#ifndef PSP_NET_IOTHREAD_H
#define PSP_NET_IOTHREAD_H

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace psp::net {

/// Runs from start() until stop() or destruction.
class IoThread {
public:
  /// \p Name is shown by the system for the thread; 15 characters at most.
  explicit IoThread(std::string Name);
  IoThread(const IoThread &) = delete;
  IoThread &operator=(const IoThread &) = delete;
  ~IoThread();

  boost::asio::io_context &context();
  void start();
  void stop();

  /// Runs \p Work on the thread.
  void post(std::function<void()> Work);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Turns many wakes into one posted call, for a ring whose consumer is an
/// IoThread.
class IoWaker {
public:
  IoWaker(IoThread &Thread, std::function<void()> Drain);

  void wake();

private:
  IoThread &m_Thread;
  std::function<void()> m_Drain;
  std::atomic<bool> m_Posted{false};
};

} // namespace psp::net

#endif
