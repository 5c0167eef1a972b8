/// \file
/// The I/O thread for callers and the rings that connect it to the decision
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

  /// Called on the decision thread.
  void send(messages::CallerReply Reply) { m_Sender.send(std::move(Reply)); }
  void flush() { m_Sender.flush(); }
  /// True when every answer has been written and no request is in progress.
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
