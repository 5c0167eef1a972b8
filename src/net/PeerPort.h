/// \file
/// The I/O thread for peers and the rings that connect it to the decision
/// thread. Entry instances and ledgers both use it.

#ifndef PSP_NET_PEERPORT_H
#define PSP_NET_PEERPORT_H

#include "base/BoundedRing.h"
#include "base/RingSender.h"
#include "base/Waker.h"
#include "messages/Outbox.h"
#include "net/IoThread.h"
#include "net/PeerMesh.h"

#include <set>

namespace psp::net {

class PeerPort {
public:
  /// \p Decisions is woken when messages have arrived.
  PeerPort(PeerMeshOptions Options, base::Waker &Decisions);

  /// Binds the address and starts the thread.
  void start();
  void stop();

  /// Called on the decision thread.
  void send(messages::Outgoing Message) { m_Sender.send(std::move(Message)); }
  void flush() { m_Sender.flush(); }
  template <typename Handler> void drain(Handler Handle) {
    m_Incoming.drain(Handle);
  }

  /// Drops all messages from and to \p Instances, for failure tests.
  void block(std::set<base::InstanceId> Instances);

  PeerMeshCounters counters() const { return m_Mesh.counters(); }

  /// Number of received messages that were dropped because the decision thread
  /// had not drained the ring in time.
  std::uint64_t dropped() const { return m_Incoming.refused(); }

private:
  void deliver();

  IoThread m_Thread;
  IoWaker m_Waker;
  base::BoundedRing<messages::Envelope> m_Incoming;
  base::BoundedRing<messages::Outgoing> m_Outgoing;
  base::RingSender<messages::Outgoing> m_Sender;
  PeerMesh m_Mesh;
};

} // namespace psp::net

#endif
