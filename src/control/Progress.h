/// \file
/// What a leader knows about how far each other voter has come.

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
  std::uint64_t m_Next = 1; ///< First index to send next.
  /// Highest index up to which the peer's log lasts, as acknowledged under an
  /// identity that has a vote. Other acknowledgements never raise it.
  std::uint64_t m_VotingMatch = 0;
  base::TimePoint m_LastHeard;
  bool m_HeardVoting = false; ///< Last heard under an identity with a vote.
  std::optional<base::TimePoint> m_SnapshotSent;
};

class Progress {
public:
  /// Forgets everything; a new leader sends from \p Next on.
  void reset(const std::vector<base::InstanceId> &Peers, std::uint64_t Next,
             base::TimePoint Now);

  PeerProgress &at(const base::InstanceId &Peer) { return m_Peers.at(Peer); }

  /// Highest index that \p Quorum voters hold, the leader's own being
  /// \p OwnIndex.
  std::uint64_t quorumIndex(std::size_t Quorum, std::uint64_t OwnIndex) const;

  /// Number of voting peers that were heard from at \p Since or later.
  std::size_t heardSince(base::TimePoint Since) const;

private:
  std::map<base::InstanceId, PeerProgress> m_Peers;
};

} // namespace psp::control

#endif
