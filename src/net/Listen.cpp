#include "net/Listen.h"

#include "base/Error.h"

namespace psp::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

tcp::endpoint endpointOf(const settings::Address &Address) {
  error_code Error;
  const auto Ip = asio::ip::make_address(Address.m_Ip, Error);
  if (Error)
    throw base::UserError(base::ErrorKind::InvalidConfiguration,
                          "expected an IP address, found " + Address.m_Ip);
  return {Ip, Address.m_Port};
}

void listenOn(tcp::acceptor &Acceptor, const settings::Address &Address) {
  const tcp::endpoint LocalEndpoint = endpointOf(Address);
  try {
    Acceptor.open(LocalEndpoint.protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(LocalEndpoint);
    Acceptor.listen();
  } catch (const boost::system::system_error &Fault) {
    throw base::UserError(base::ErrorKind::InvalidConfiguration,
                          "can't listen on " + Address.str() + ": " +
                              Fault.code().message());
  }
}

} // namespace psp::net
