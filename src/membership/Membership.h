/// \file
/// Which processes of the fleet are reachable, according to their heartbeats.
/// This is the view of one process. Two processes may disagree, and no
/// invariant depends on their agreement.

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
  base::Duration m_Timeout; ///< A peer without a heartbeat for this long is
                            ///< unreachable.
  std::uint64_t m_Incarnation = 0;
};

/// The state of one peer according to its heartbeats.
struct PeerView {
  settings::Peer m_Peer;
  bool m_HeartbeatReceived = false;
  base::TimePoint m_LastReceivedAt;
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_ControlIndex = 0;
  bool m_Stopping = false;

  bool operator==(const PeerView &) const = default;
};

/// Tracks when the last heartbeat of each peer arrived, and sends the
/// heartbeats of this process.
class Membership {
public:
  explicit Membership(MembershipOptions Options);

  /// Commands.
  void onHeartbeat(const base::InstanceId &From,
                   const messages::Heartbeat &Heartbeat, base::TimePoint Now);
  void onTick(base::TimePoint Now, std::uint64_t ControlIndex,
              messages::Outbox &Out);
  void stop(base::TimePoint Now, messages::Outbox &Out);

  /// Queries.
  bool isReachable(const base::InstanceId &Peer, base::TimePoint Now) const;
  bool isStopping() const { return m_Stopping; }

  /// Entry instances of \p DataCentre that accept new work, including this
  /// process.
  std::vector<base::InstanceId>
  activeEntries(const base::DataCentreId &DataCentre,
                base::TimePoint Now) const;

  /// All reachable processes except this one.
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
