/// \file
/// Tells whether an endpoint accepts, refuses or ignores connections.

#ifndef PSP_GATEWAY_REACHABILITYPROBE_H
#define PSP_GATEWAY_REACHABILITYPROBE_H

#include "base/Time.h"
#include "gateway/EndpointChannel.h"
#include "link/RequestTable.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace psp::gateway {

/// Load pattern: all calls on one endpoint become suspicious at the same time,
/// so probes of the same address that overlap share one connection. A
/// connection that opens goes to the pool for the next call.
class ReachabilityProbe {
public:
  ReachabilityProbe(boost::asio::io_context &Io, EndpointPool &Pool,
                    base::Duration Timeout)
      : m_Io(Io), m_Pool(Pool), m_Timeout(Timeout) {}

  /// Connects to the endpoint at \p Address.
  boost::asio::awaitable<Reachability> check(std::string Address);
  /// The same, but not by a probe that has begun before this call.
  boost::asio::awaitable<Reachability> checkAnew(std::string Address);
  /// Repeats the probe for up to \p Limit until the endpoint accepts or
  /// refuses.
  boost::asio::awaitable<Reachability> checkUntilKnown(std::string Address,
                                                       base::Duration Limit);

private:
  struct PendingProbe {
    std::vector<std::shared_ptr<link::Waiter>> m_Waiters;
    Reachability m_Result = Reachability::Silent;
  };

  boost::asio::io_context &m_Io;
  EndpointPool &m_Pool;
  base::Duration m_Timeout;
  std::map<std::string, std::shared_ptr<PendingProbe>>
      m_Pending; ///< By address.
};

} // namespace psp::gateway

#endif
