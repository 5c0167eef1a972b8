/// \file
/// The HTTP/1.1 client for endpoints, built on Boost.Beast.

#ifndef PSP_NET_ENDPOINTCLIENT_H
#define PSP_NET_ENDPOINTCLIENT_H

#include "messages/EndpointMessages.h"
#include "net/IoThread.h"

#include <functional>
#include <memory>

namespace psp::net {

/// Runs each exchange on a connection of its own: if a reused connection broke,
/// it could be uncertain whether the request was sent. All members except the
/// constructor must run on the given thread.
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
