/// \file
/// The replication progress of each other voter, as tracked by the leader.

#ifndef PSP_CONTROL_PROGRESS_H
#define PSP_CONTROL_PROGRESS_H

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace psp::control {

struct PeerProgress {
  std::uint64_t m_Next = 1; ///< Index of the next entry to send.
  /// Highest index up to which the peer's log is durable, as acknowledged under
  /// an identity that has a vote. Other acknowledgements never raise it.
  std::uint64_t m_VotingMatch = 0;
  base::TimePoint m_LastReceivedAt;
  bool m_IsVoting = false; ///< Whether its last message had a voting identity.
  std::optional<base::TimePoint> m_SnapshotSentAt;
};

class Progress {
public:
  /// Discards all progress; a new leader sends entries from \p Next on.
  void reset(const std::vector<base::InstanceId> &Peers, std::uint64_t Next,
             base::TimePoint Now);

  PeerProgress &at(const base::InstanceId &Peer) { return m_Peers.at(Peer); }

  /// Highest index up to which \p Quorum voters hold the log durably. The
  /// leader itself holds it up to \p OwnIndex.
  std::uint64_t quorumIndex(std::size_t Quorum, std::uint64_t OwnIndex) const;

  /// Number of voting peers whose last message arrived at \p Since or later.
  std::size_t countVotersReceivedSince(base::TimePoint Since) const;

private:
  std::map<base::InstanceId, PeerProgress> m_Peers;
};

} // namespace psp::control

#endif
