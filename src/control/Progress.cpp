#include "control/Progress.h"

#include <algorithm>
#include <functional>

namespace psp::control {

void Progress::reset(const std::vector<base::InstanceId> &Peers,
                     std::uint64_t Next, base::TimePoint Now) {
  m_Peers.clear();
  for (const base::InstanceId &Peer : Peers) {
    PeerProgress &State = m_Peers[Peer];
    State.m_Next = Next;
    State.m_LastReceivedAt = Now;
    State.m_IsVoting = true;
  }
}

std::uint64_t Progress::quorumIndex(std::size_t Quorum,
                                    std::uint64_t OwnIndex) const {
  std::vector<std::uint64_t> MatchIndexes = {OwnIndex};
  for (const auto &[Peer, State] : m_Peers)
    MatchIndexes.push_back(State.m_VotingMatch);
  std::sort(MatchIndexes.begin(), MatchIndexes.end(), std::greater<>());
  return MatchIndexes.at(Quorum - 1);
}

std::size_t Progress::countVotersReceivedSince(base::TimePoint Since) const {
  return static_cast<std::size_t>(
      std::count_if(m_Peers.begin(), m_Peers.end(), [&](const auto &State) {
        return State.second.m_IsVoting &&
               State.second.m_LastReceivedAt >= Since;
      }));
}

} // namespace psp::control
