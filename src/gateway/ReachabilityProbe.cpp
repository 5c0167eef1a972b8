#include "gateway/ReachabilityProbe.h"

#include <memory>
#include <utility>

namespace psp::gateway {

boost::asio::awaitable<bool> ReachabilityProbe::check(std::string Address) {
  if (const auto It = m_Pending.find(Address); It != m_Pending.end()) {
    const auto Result = std::make_shared<link::Waiter>(m_Io);
    It->second.push_back(Result);
    co_return co_await Result->wait(2 * m_Timeout);
  }
  m_Pending.try_emplace(Address);
  auto Channel = std::make_unique<EndpointChannel>(m_Io, Address);
  bool Reachable = false;
  try {
    Reachable = co_await Channel->connect(m_Timeout);
    if (Reachable)
      m_Pool.release(std::move(Channel), std::nullopt);
  } catch (...) {
    m_Pending.erase(Address); // The next call probes again.
    throw;
  }
  const auto Entry = m_Pending.extract(Address);
  for (const auto &Waiting : Entry.mapped())
    Waiting->fire(Reachable);
  co_return Reachable;
}

boost::asio::awaitable<bool> ReachabilityProbe::checkAnew(std::string Address) {
  if (m_Pending.contains(Address))
    co_await check(Address);
  co_return co_await check(std::move(Address));
}

} // namespace psp::gateway
