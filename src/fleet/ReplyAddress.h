/// \file
/// Where the reply to a request goes.

#ifndef PSP_FLEET_REPLYADDRESS_H
#define PSP_FLEET_REPLYADDRESS_H

#include <cstdint>
#include <string>

namespace psp::fleet {

/// The connection that brought a request. Its other end is the process that
/// sent the request, and no later process of the same name: that one numbers
/// its requests from the beginning and would take the reply for one of its own.
struct ReplyAddress {
  std::string m_Node;
  /// Number of the connection in this process; zero: the request is from this
  /// process itself.
  std::uint64_t m_Connection = 0;

  bool operator==(const ReplyAddress &) const = default;
};

} // namespace psp::fleet

#endif
