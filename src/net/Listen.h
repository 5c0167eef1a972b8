/// \file
/// Opens a listening TCP socket, with an error that names the address.

#ifndef PSP_NET_LISTEN_H
#define PSP_NET_LISTEN_H

#include "settings/Settings.h"

#include <boost/asio/ip/tcp.hpp>

namespace psp::net {

/// The address as Asio has it. Throws UserError when it is no IP number.
boost::asio::ip::tcp::endpoint endpointOf(const settings::Address &Address);

/// Binds \p Acceptor to \p Address. Throws UserError (invalid-configuration)
/// when the address can't be had.
void listenOn(boost::asio::ip::tcp::acceptor &Acceptor,
              const settings::Address &Address);

} // namespace psp::net

#endif
