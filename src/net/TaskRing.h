/// \file
/// Lets the operators' thread run a task on the decision thread and wait for
/// its result for a bounded time.

#ifndef PSP_NET_TASKRING_H
#define PSP_NET_TASKRING_H

#include "base/BoundedRing.h"
#include "base/Error.h"
#include "base/Time.h"
#include "base/Waker.h"

#include <functional>
#include <future>
#include <memory>
#include <utility>

namespace psp::net {

class TaskRing {
public:
  explicit TaskRing(base::Waker &Decisions)
      : m_Tasks(Capacity, [&Decisions] { Decisions.wake(); }) {}

  /// Starts \p Task on the decision thread. The task sets the promise's value
  /// immediately or later. Throws UserError when no result arrives within
  /// \p Limit.
  template <typename Result>
  Result call(std::function<void(std::shared_ptr<std::promise<Result>>)> Task,
              base::Duration Limit) {
    auto Promise = std::make_shared<std::promise<Result>>();
    auto Future = Promise->get_future();
    if (!m_Tasks.push([Task = std::move(Task), Promise] { Task(Promise); }))
      throw base::UserError(base::ErrorKind::Overloaded,
                            "too many operators' requests are waiting");
    if (Future.wait_for(Limit) != std::future_status::ready)
      throw base::UserError(base::ErrorKind::QuorumUnavailable,
                            "no result in time; resend with the same request "
                            "identifier");
    return Future.get();
  }

  /// Runs the waiting tasks. Called on the decision thread.
  void run() {
    m_Tasks.drain([](std::function<void()> Task) { Task(); });
  }

private:
  static constexpr std::size_t Capacity = 64;

  base::BoundedRing<std::function<void()>> m_Tasks;
};

} // namespace psp::net

#endif
