#include "control/Progress.h"

#include <algorithm>
#include <functional>

namespace psp::control {

void Progress::reset(const std::vector<base::InstanceId> &Peers,
                     std::uint64_t Next, base::TimePoint Now) {
  m_Peers.clear();
  for (const base::InstanceId &Peer : Peers) {
    PeerProgress &Each = m_Peers[Peer];
    Each.m_Next = Next;
    Each.m_LastHeard = Now;
    Each.m_HeardVoting = true;
  }
}

std::uint64_t Progress::quorumIndex(std::size_t Quorum,
                                    std::uint64_t OwnIndex) const {
  std::vector<std::uint64_t> Held = {OwnIndex};
  for (const auto &[Peer, Each] : m_Peers)
    Held.push_back(Each.m_VotingMatch);
  std::sort(Held.begin(), Held.end(), std::greater<>());
  return Held.at(Quorum - 1);
}

std::size_t Progress::heardSince(base::TimePoint Since) const {
  return static_cast<std::size_t>(
      std::count_if(m_Peers.begin(), m_Peers.end(), [&](const auto &Each) {
        return Each.second.m_HeardVoting && Each.second.m_LastHeard >= Since;
      }));
}

} // namespace psp::control
