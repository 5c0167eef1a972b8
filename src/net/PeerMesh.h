/// \file
/// The links between the system's own processes: TCP, one connection for each
/// direction, frames sealed with the fleet secret.
///
/// A link that is down drops what is sent on it. Every protocol above resends
/// or notices the loss by itself, so that a queue never holds stale messages.

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

/// Counters of the links, for metrics and dumps.
struct PeerMeshCounters {
  std::uint64_t m_FramesSent = 0;
  std::uint64_t m_BytesSent = 0;
  std::uint64_t m_FramesReceived = 0;
  std::uint64_t m_FramesDropped = 0;
  std::uint64_t m_FramesRefused = 0;

  bool operator==(const PeerMeshCounters &) const = default;
};

/// All links of one process. Everything but the constructor runs on the
/// thread that was given.
class PeerMesh {
public:
  /// Called for each message that arrives, with the known peer that sent it.
  using Receiver = std::function<void(messages::Envelope)>;

  PeerMesh(PeerMeshOptions Options, IoThread &Thread, Receiver Receive);
  PeerMesh(const PeerMesh &) = delete;
  PeerMesh &operator=(const PeerMesh &) = delete;
  ~PeerMesh();

  /// Listens and begins to connect. Throws when the address can't be bound.
  void start();

  /// Sends \p Message, or drops it when there is no link.
  void send(const base::InstanceId &To, messages::Envelope Message);

  /// Drops everything from and to \p Instances, for failure tests.
  void block(std::set<base::InstanceId> Instances);

  /// May be called on any thread.
  PeerMeshCounters counters() const;

private:
  struct Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace psp::net

#endif
