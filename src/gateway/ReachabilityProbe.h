/// \file
/// Tells whether an endpoint accepts connections.

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

  /// Whether the endpoint at \p Address accepts a connection within the
  /// timeout.
  boost::asio::awaitable<bool> check(std::string Address);
  /// The same, but not by a probe that has begun before this call.
  boost::asio::awaitable<bool> checkAnew(std::string Address);

private:
  boost::asio::io_context &m_Io;
  EndpointPool &m_Pool;
  base::Duration m_Timeout;
  /// Callers that wait for a probe that has begun, by address.
  std::map<std::string, std::vector<std::shared_ptr<link::Waiter>>> m_Pending;
};

} // namespace psp::gateway

#endif
