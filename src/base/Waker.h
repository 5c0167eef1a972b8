/// \file
/// Lets a thread sleep until another thread has left something in a ring.

#ifndef PSP_BASE_WAKER_H
#define PSP_BASE_WAKER_H

#include "base/Time.h"

#include <condition_variable>
#include <mutex>

namespace psp::base {

/// Remembers one wake, so that a wake between a check and a sleep isn't lost.
class Waker {
public:
  void wake() {
    {
      const std::lock_guard Lock(m_Mutex);
      m_Woken = true;
    }
    m_Condition.notify_one();
  }

  /// Returns when woken or after \p Limit, whichever comes first.
  void waitFor(Duration Limit) {
    std::unique_lock Lock(m_Mutex);
    m_Condition.wait_for(Lock, Limit, [this] { return m_Woken; });
    m_Woken = false;
  }

private:
  std::mutex m_Mutex;
  std::condition_variable m_Condition;
  bool m_Woken = false;
};

} // namespace psp::base

#endif
