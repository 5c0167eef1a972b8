/// \file
/// A bounded ring between two threads: one pushes, the other pops. A full
/// ring refuses the push, which is counted, so that the producer feels the
/// consumer's pace.

#ifndef PSP_BASE_BOUNDEDRING_H
#define PSP_BASE_BOUNDEDRING_H

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace psp::base {

/// A single-producer, single-consumer queue that wakes its consumer.
///
/// Example:
/// \code
///   BoundedRing<Event> Ring(1024, [&] { Decisions.wake(); });
///   if (!Ring.push(std::move(Next)))
///     refuse(ErrorKind::Overloaded);
/// \endcode
template <typename T> class BoundedRing {
public:
  /// \p Wake is called after each successful push, on the producer's thread.
  BoundedRing(std::size_t Capacity, std::function<void()> Wake)
      : m_Queue(Capacity), m_Wake(std::move(Wake)) {}

  /// Returns false, and leaves \p Value untouched, when the ring is full.
  bool push(T &&Value) {
    if (m_Queue.write_available() == 0) {
      m_Refused.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    m_Queue.push(std::move(Value));
    m_Wake();
    return true;
  }

  /// Calls \p Handle for each waiting value and returns how many there were.
  template <typename Handler> std::size_t drain(Handler Handle) {
    std::size_t Count = 0;
    T Value;
    while (m_Queue.pop(Value)) {
      Handle(std::move(Value));
      Value = T();
      ++Count;
    }
    return Count;
  }

  /// Number of pushes that found the ring full.
  std::uint64_t refused() const {
    return m_Refused.load(std::memory_order_relaxed);
  }

private:
  boost::lockfree::spsc_queue<T> m_Queue;
  std::function<void()> m_Wake;
  std::atomic<std::uint64_t> m_Refused{0};
};

} // namespace psp::base

#endif
