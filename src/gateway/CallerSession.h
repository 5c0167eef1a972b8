/// \file
/// One connection of a caller: reads its requests one after another and handles
/// each as a call.

#ifndef PSP_GATEWAY_CALLERSESSION_H
#define PSP_GATEWAY_CALLERSESSION_H

#include <boost/asio/ip/tcp.hpp>

namespace psp::gateway {

class Gateway;

/// Serves \p Socket until the caller closes it, the idle timeout expires or a
/// request exceeds a limit.
void startSession(Gateway &Owner, boost::asio::ip::tcp::socket Socket);

} // namespace psp::gateway

#endif
