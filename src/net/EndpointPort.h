/// \file
/// The I/O thread for endpoints and the rings that connect it to the decision
/// thread.

#ifndef PSP_NET_ENDPOINTPORT_H
#define PSP_NET_ENDPOINTPORT_H

#include "base/BoundedRing.h"
#include "base/RingSender.h"
#include "base/Waker.h"
#include "net/EndpointClient.h"
#include "net/IoThread.h"

#include <memory>

namespace psp::net {

class EndpointPort {
public:
  explicit EndpointPort(base::Waker &Decisions);
  EndpointPort(const EndpointPort &) = delete;
  EndpointPort &operator=(const EndpointPort &) = delete;
  ~EndpointPort();

  void start();
  void stop();

  /// Called on the decision thread.
  void send(messages::EndpointCommand Command) {
    m_Sender.send(std::move(Command));
  }
  void flush() { m_Sender.flush(); }
  template <typename Handler> void drain(Handler Handle) {
    m_Incoming.drain(Handle);
  }

private:
  void deliver();
  void receive(messages::EndpointEvent Event);
  void flushLater();

  struct Timer;

  IoThread m_Thread;
  IoWaker m_Waker;
  base::BoundedRing<messages::EndpointEvent> m_Incoming;
  base::RingSender<messages::EndpointEvent> m_Receiver;
  base::BoundedRing<messages::EndpointCommand> m_Outgoing;
  base::RingSender<messages::EndpointCommand> m_Sender;
  EndpointClient m_Client;
  std::unique_ptr<Timer> m_Timer;
};

} // namespace psp::net

#endif
