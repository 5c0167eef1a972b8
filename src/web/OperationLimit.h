/// \file
/// Ends an operation that takes too long.

#ifndef PSP_WEB_OPERATIONLIMIT_H
#define PSP_WEB_OPERATIONLIMIT_H

#include "base/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace psp::web {

/// Calls an action once if it is neither destroyed nor cancelled before the
/// limit. A timer's handler that is queued already no longer acts after that:
/// what the action refers to may be gone.
class OperationLimit {
public:
  explicit OperationLimit(const boost::asio::any_io_executor &Executor)
      : m_Timer(Executor) {}
  ~OperationLimit() { cancel(); }
  OperationLimit(const OperationLimit &) = delete;
  OperationLimit &operator=(const OperationLimit &) = delete;

  /// Replaces a limit that was set before.
  void set(base::Duration Limit, std::function<void()> Action) {
    cancel();
    m_Active = std::make_shared<bool>(true);
    m_Timer.expires_after(Limit);
    m_Timer.async_wait([Active = m_Active, Act = std::move(Action)](
                           boost::system::error_code Cancelled) {
      if (!Cancelled && std::exchange(*Active, false))
        Act();
    });
  }

  void cancel() {
    if (m_Active && std::exchange(*m_Active, false))
      m_Timer.cancel();
  }

private:
  boost::asio::steady_timer m_Timer;
  std::shared_ptr<bool> m_Active;
};

} // namespace psp::web

#endif
