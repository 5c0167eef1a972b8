/// \file
/// One connection of a caller: reads its requests one after another and has
/// each handled.

#ifndef PSP_GATEWAY_CALLERSESSION_H
#define PSP_GATEWAY_CALLERSESSION_H

#include <boost/asio/ip/tcp.hpp>

namespace psp::gateway {

class Gateway;

/// Serves \p Socket until the caller closes it, falls idle or breaks a limit.
void startSession(Gateway &Owner, boost::asio::ip::tcp::socket Socket);

} // namespace psp::gateway

#endif
