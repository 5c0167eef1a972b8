/// \file
/// The callers' thread together with the rings that join it to the deciding
/// thread.

#ifndef PSP_NET_CALLERPORT_H
#define PSP_NET_CALLERPORT_H

#include "base/BoundedRing.h"
#include "base/RingSender.h"
#include "base/Waker.h"
#include "net/CallerServer.h"
#include "net/IoThread.h"

namespace psp::net {

class CallerPort {
public:
  CallerPort(CallerServerOptions Options, base::Waker &Decisions);

  void start();
  void stop();
  /// Accepts no further connections.
  void drainConnections();

  /// For the deciding thread.
  void send(messages::CallerReply Reply) { m_Sender.send(std::move(Reply)); }
  void flush() { m_Sender.flush(); }
  /// True when every answer is written and no request is under way.
  bool isIdle() const {
    return m_Sender.waiting() == 0 && m_Server.busy() == 0;
  }
  template <typename Handler> void drain(Handler Handle) {
    m_Incoming.drain(Handle);
  }

private:
  void deliver();

  IoThread m_Thread;
  IoWaker m_Waker;
  base::BoundedRing<messages::CallerEvent> m_Incoming;
  base::BoundedRing<messages::CallerReply> m_Outgoing;
  base::RingSender<messages::CallerReply> m_Sender;
  CallerServer m_Server;
};

} // namespace psp::net

#endif
