/// \file
/// A thread that runs one Asio io_context. Callers, peers and endpoints each
/// have a thread of their own.

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
  /// \p Name is the thread's name in the operating system; at most 15
  /// characters.
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

/// Coalesces wake-ups into one posted call, for a ring whose consumer is an
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
