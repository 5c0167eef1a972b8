#include "link/RequestTable.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace psp::link {

namespace asio = boost::asio;

asio::awaitable<bool> Waiter::wait(base::Duration Timeout) {
  if (!m_Result) {
    m_Timer.expires_after(Timeout);
    boost::system::error_code Cancelled; // m_Result holds the outcome.
    co_await m_Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Cancelled));
  }
  co_return m_Result.value_or(false);
}

void Waiter::fire(bool Success) {
  if (m_Result)
    return;
  m_Result = Success;
  m_Timer.cancel();
}

asio::awaitable<std::optional<RequestTable::Reply>>
RequestTable::wait(std::uint64_t Id, base::Duration Timeout) {
  Waiter Waiting(m_Io);
  PendingRequest Pending{.m_Waiter = &Waiting, .m_Reply = {}};
  m_Pending[Id] = &Pending;
  const bool Answered = co_await Waiting.wait(Timeout);
  m_Pending.erase(Id);
  if (!Answered)
    co_return std::nullopt;
  co_return std::move(Pending.m_Reply);
}

bool RequestTable::onReply(const Reply &Received) {
  const auto It = m_Pending.find(Received.id());
  if (It == m_Pending.end())
    return false;
  It->second->m_Reply = Received;
  It->second->m_Waiter->fire();
  return true;
}

} // namespace psp::link
