/// \file
/// Opens a listening TCP socket and reports errors that name the address.

#ifndef PSP_NET_LISTEN_H
#define PSP_NET_LISTEN_H

#include "settings/Settings.h"

#include <boost/asio/ip/tcp.hpp>

namespace psp::net {

/// Converts \p Address to an Asio endpoint. Throws UserError when it is not an
/// IP address.
boost::asio::ip::tcp::endpoint endpointOf(const settings::Address &Address);

/// Binds \p Acceptor to \p Address. Throws UserError (invalid-configuration)
/// when the address can't be bound.
void listenOn(boost::asio::ip::tcp::acceptor &Acceptor,
              const settings::Address &Address);

} // namespace psp::net

#endif
