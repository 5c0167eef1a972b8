#include "gateway/ReachabilityProbe.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <utility>

namespace psp::gateway {

namespace asio = boost::asio;

asio::awaitable<Reachability> ReachabilityProbe::check(std::string Address) {
  if (const auto It = m_Pending.find(Address); It != m_Pending.end()) {
    const std::shared_ptr<PendingProbe> Pending = It->second;
    const auto Finished = std::make_shared<link::Waiter>(m_Io);
    Pending->m_Waiters.push_back(Finished);
    co_await Finished->wait(2 * m_Timeout);
    co_return Pending->m_Result;
  }
  const auto Own = std::make_shared<PendingProbe>();
  m_Pending[Address] = Own;
  auto Channel = std::make_unique<EndpointChannel>(m_Io, Address);
  try {
    Own->m_Result = co_await Channel->connect(m_Timeout);
    if (Own->m_Result == Reachability::Accepts)
      m_Pool.release(std::move(Channel), std::nullopt);
  } catch (...) {
    m_Pending.erase(Address); // The next call probes again.
    throw;
  }
  m_Pending.erase(Address);
  for (const auto &Waiting : Own->m_Waiters)
    Waiting->fire();
  co_return Own->m_Result;
}

asio::awaitable<Reachability>
ReachabilityProbe::checkAnew(std::string Address) {
  if (m_Pending.contains(Address))
    co_await check(Address);
  co_return co_await check(std::move(Address));
}

asio::awaitable<Reachability>
ReachabilityProbe::checkUntilKnown(std::string Address, base::Duration Limit) {
  const base::TimePoint Deadline = base::readMonotonic() + Limit;
  base::TimePoint ProbedAt = base::readMonotonic();
  Reachability Result = co_await checkAnew(Address);
  while (Result == Reachability::Silent && base::readMonotonic() < Deadline) {
    // An attempt may fail at once, for want of a descriptor or a route.
    asio::steady_timer Pause(m_Io, ProbedAt + m_Timeout);
    co_await Pause.async_wait(asio::use_awaitable);
    ProbedAt = base::readMonotonic();
    Result = co_await check(Address);
  }
  co_return Result;
}

} // namespace psp::gateway
