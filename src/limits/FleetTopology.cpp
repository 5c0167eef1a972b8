#include "limits/FleetTopology.h"

#include "base/Error.h"
#include "base/Placement.h"

#include <algorithm>

namespace psp::limits {
namespace {

std::vector<base::DataCentreId>
entryDataCentres(const std::vector<Member> &Members) {
  std::set<base::DataCentreId> Names;
  for (const Member &Candidate : Members)
    if (Candidate.m_IsEntry)
      Names.insert(Candidate.m_DataCentre);
  return {Names.begin(), Names.end()};
}

/// Prefers ledgers, since they are restarted less often, then orders by name.
std::vector<base::InstanceId> leaseVoters(const LimitOptions &Options) {
  std::vector<Member> Local;
  for (const Member &Candidate : Options.m_Members)
    if (Candidate.m_DataCentre == Options.m_DataCentre)
      Local.push_back(Candidate);
  std::sort(Local.begin(), Local.end(), [](const Member &A, const Member &B) {
    if (A.m_IsEntry != B.m_IsEntry)
      return B.m_IsEntry;
    return A.m_Instance < B.m_Instance;
  });
  if (Local.size() > Options.m_MaxVoters)
    Local.resize(Options.m_MaxVoters);
  std::vector<base::InstanceId> Voters;
  Voters.reserve(Local.size());
  for (const Member &Voter : Local)
    Voters.push_back(Voter.m_Instance);
  return Voters;
}

} // namespace

FleetTopology::FleetTopology(const LimitOptions &Options)
    : m_Self(Options.m_Self), m_Shards(Options.m_Shards),
      m_Members(Options.m_Members),
      m_DataCentres(entryDataCentres(Options.m_Members)),
      m_Voters(leaseVoters(Options)) {
  const auto OwnDataCentre = std::lower_bound(
      m_DataCentres.begin(), m_DataCentres.end(), Options.m_DataCentre);
  m_OwnPosition =
      static_cast<std::size_t>(OwnDataCentre - m_DataCentres.begin());
  base::checkInvariant(!Options.m_IsEntry ||
                           (OwnDataCentre != m_DataCentres.end() &&
                            *OwnDataCentre == Options.m_DataCentre),
                       "expected an entry instance to be a member of its "
                       "own data centre");
  rankCandidates();
}

void FleetTopology::setLivePeers(const std::vector<base::InstanceId> &Live) {
  std::set<base::InstanceId> NewLive(Live.begin(), Live.end());
  if (!m_AllLive && NewLive == m_Live)
    return;
  m_AllLive = false;
  m_Live = std::move(NewLive);
  rankCandidates();
}

bool FleetTopology::isLive(const base::InstanceId &Instance) const {
  return m_AllLive || Instance == m_Self || m_Live.contains(Instance);
}

void FleetTopology::rankCandidates() {
  m_Candidates.clear();
  for (const base::DataCentreId &DataCentre : m_DataCentres) {
    std::vector<base::InstanceId> Live;
    for (const Member &Peer : m_Members)
      if (Peer.m_IsEntry && Peer.m_DataCentre == DataCentre &&
          isLive(Peer.m_Instance))
        Live.push_back(Peer.m_Instance);
    auto &ByShard = m_Candidates[DataCentre];
    for (std::uint32_t Shard = 0; Shard < m_Shards; ++Shard)
      ByShard.push_back(
          base::rankInstances("limiter-" + std::to_string(Shard), Live));
  }
}

std::optional<std::size_t>
FleetTopology::positionOf(const base::InstanceId &Instance) const {
  for (const Member &Peer : m_Members) {
    if (Peer.m_Instance != Instance)
      continue;
    const auto It = std::find(m_DataCentres.begin(), m_DataCentres.end(),
                              Peer.m_DataCentre);
    if (It != m_DataCentres.end())
      return static_cast<std::size_t>(It - m_DataCentres.begin());
  }
  return std::nullopt;
}

const std::vector<base::InstanceId> &
FleetTopology::candidates(const base::DataCentreId &DataCentre,
                          std::uint32_t Shard) const {
  return m_Candidates.at(DataCentre).at(Shard);
}

} // namespace psp::limits
