/// \file
/// The links between the system's own processes: TCP, one connection for each
/// direction, frames authenticated with the fleet secret.
///
/// Messages sent on a disconnected link are dropped, so that a queue never
/// holds stale messages. Every protocol above resends messages or detects their
/// loss.

#ifndef PSP_NET_PEERMESH_H
#define PSP_NET_PEERMESH_H

#include "base/Ids.h"
#include "generated/peer.pb.h"
#include "net/IoThread.h"
#include "settings/Settings.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace psp::net {

struct PeerMeshOptions {
  base::InstanceId m_Self;
  settings::Address m_Listen;
  std::string m_FleetSecret;
  std::vector<settings::Peer> m_Peers;
};

/// Frame and byte counters of all links, for metrics and dumps.
struct PeerMeshCounters {
  std::uint64_t m_FramesSent = 0;
  std::uint64_t m_BytesSent = 0;
  std::uint64_t m_FramesReceived = 0;
  std::uint64_t m_FramesDropped = 0;
  std::uint64_t m_FramesRefused = 0;

  bool operator==(const PeerMeshCounters &) const = default;
};

/// All links of one process. All members except the constructor and counters()
/// must run on the given thread.
class PeerMesh {
public:
  /// Called for each message that arrives from a configured peer. The message
  /// names its sender.
  using Receiver = std::function<void(messages::Envelope)>;

  PeerMesh(PeerMeshOptions Options, IoThread &Thread, Receiver Receive);
  PeerMesh(const PeerMesh &) = delete;
  PeerMesh &operator=(const PeerMesh &) = delete;
  ~PeerMesh();

  /// Listens and starts connecting to the peers. Throws when the address can't
  /// be bound.
  void start();

  /// Sends \p Message, or drops it when the link to \p To is down.
  void send(const base::InstanceId &To, messages::Envelope Message);

  /// Drops all messages from and to \p Instances, for failure tests.
  void block(std::set<base::InstanceId> Instances);

  /// May be called on any thread.
  PeerMeshCounters counters() const;

private:
  struct Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace psp::net

#endif
