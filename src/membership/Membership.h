/// \file
/// Which processes of the fleet can be reached, from heartbeats. A view of
/// one process: two processes may disagree, and nothing that must hold rests
/// on their agreeing.

#ifndef PSP_MEMBERSHIP_MEMBERSHIP_H
#define PSP_MEMBERSHIP_MEMBERSHIP_H

#include "base/Ids.h"
#include "base/Time.h"
#include "generated/peer.pb.h"
#include "messages/Outbox.h"
#include "settings/Settings.h"

#include <map>
#include <vector>

namespace psp::membership {

struct MembershipOptions {
  base::InstanceId m_Self;
  std::vector<settings::Peer> m_Peers;
  base::Duration m_HeartbeatInterval;
  base::Duration m_Timeout;
  std::uint64_t m_Incarnation = 0;
};

/// What is known of one peer.
struct PeerView {
  settings::Peer m_Peer;
  bool m_Heard = false;
  base::TimePoint m_LastHeard;
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_ControlIndex = 0;
  bool m_Stopping = false;

  bool operator==(const PeerView &) const = default;
};

/// The peers and when each was last heard.
class Membership {
public:
  explicit Membership(MembershipOptions Options);

  /// Commands.
  void onHeartbeat(const base::InstanceId &From,
                   const messages::Heartbeat &Beat, base::TimePoint Now);
  void onTick(base::TimePoint Now, std::uint64_t ControlIndex,
              messages::Outbox &Out);
  void stop(base::TimePoint Now, messages::Outbox &Out);

  /// Queries.
  bool isReachable(const base::InstanceId &Peer, base::TimePoint Now) const;
  bool isStopping() const { return m_Stopping; }

  /// Entry instances of \p DataCentre that take new work, itself included.
  std::vector<base::InstanceId>
  activeEntries(const base::DataCentreId &DataCentre,
                base::TimePoint Now) const;

  /// All reachable processes but itself.
  std::vector<base::InstanceId> reachable(base::TimePoint Now) const;
  std::vector<base::InstanceId> peersOf(settings::PeerRole Role) const;
  std::vector<base::DataCentreId> dataCentres() const;
  const std::map<base::InstanceId, PeerView> &views() const { return m_Views; }

private:
  void sendHeartbeats(std::uint64_t ControlIndex, messages::Outbox &Out);

  MembershipOptions m_Options;
  std::map<base::InstanceId, PeerView> m_Views;
  base::TimePoint m_NextHeartbeat;
  std::uint64_t m_ControlIndex = 0;
  bool m_Stopping = false;
};

} // namespace psp::membership

#endif
