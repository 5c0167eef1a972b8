/// \file
/// A timeout for an asynchronous operation.

#ifndef PSP_WEB_OPERATIONTIMEOUT_H
#define PSP_WEB_OPERATIONTIMEOUT_H

#include "base/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace psp::web {

/// Calls an action once at the timeout, unless it was cancelled or destroyed
/// before. A timer handler that is already queued at that point does not call
/// the action, since the objects that the action refers to may have been
/// destroyed.
class OperationTimeout {
public:
  explicit OperationTimeout(const boost::asio::any_io_executor &Executor)
      : m_Timer(Executor) {}
  ~OperationTimeout() { cancel(); }
  OperationTimeout(const OperationTimeout &) = delete;
  OperationTimeout &operator=(const OperationTimeout &) = delete;

  /// Replaces a timeout that was set before.
  void set(base::Duration Timeout, std::function<void()> Action) {
    cancel();
    m_Active = std::make_shared<bool>(true);
    m_Timer.expires_after(Timeout);
    m_Timer.async_wait([Active = m_Active, Callback = std::move(Action)](
                           boost::system::error_code Cancelled) {
      if (!Cancelled && std::exchange(*Active, false))
        Callback();
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
