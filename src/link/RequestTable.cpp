#include "link/RequestTable.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace psp::link {

namespace asio = boost::asio;

asio::awaitable<bool> Waiter::wait(base::Duration Limit) {
  if (!m_Fired) {
    m_Timer.expires_after(Limit);
    boost::system::error_code Cancelled; // Tells only who ended the wait.
    co_await m_Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Cancelled));
  }
  co_return m_Fired.value_or(false);
}

void Waiter::fire(bool Success) {
  if (m_Fired)
    return;
  m_Fired = Success;
  m_Timer.cancel();
}

asio::awaitable<std::optional<RequestTable::Reply>>
RequestTable::wait(std::uint64_t Id, base::Duration Limit) {
  Waiter Waiting(m_Io);
  Row Mine{.m_Waiter = &Waiting, .m_Reply = {}};
  m_Rows[Id] = &Mine;
  const bool Answered = co_await Waiting.wait(Limit);
  m_Rows.erase(Id);
  if (!Answered)
    co_return std::nullopt;
  co_return std::move(Mine.m_Reply);
}

void RequestTable::onReply(const Reply &Received) {
  const auto Found = m_Rows.find(Received.id());
  if (Found == m_Rows.end())
    return;
  Found->second->m_Reply = Received;
  Found->second->m_Waiter->fire();
}

} // namespace psp::link
