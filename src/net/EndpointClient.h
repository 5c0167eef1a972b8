/// \file
/// The HTTP/1.1 client towards endpoints, on Boost.Beast.

#ifndef PSP_NET_ENDPOINTCLIENT_H
#define PSP_NET_ENDPOINTCLIENT_H

#include "messages/EndpointMessages.h"
#include "net/IoThread.h"

#include <functional>
#include <memory>

namespace psp::net {

/// Runs exchanges, each on a connection of its own: a reused connection could
/// break in a way that leaves open whether the request was sent. Everything
/// but the constructor runs on the thread that was given.
class EndpointClient {
public:
  using Receiver = std::function<void(messages::EndpointEvent)>;

  EndpointClient(IoThread &Thread, Receiver Receive);
  EndpointClient(const EndpointClient &) = delete;
  EndpointClient &operator=(const EndpointClient &) = delete;
  ~EndpointClient();

  void execute(messages::EndpointCommand Command);

private:
  struct Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace psp::net

#endif
