/// \file
/// The members of the fleet by data centre, from the settings, and the set of
/// live ones, from the heartbeats. The voters on the limiter leases follow from
/// the members alone, the candidates for holding them from both.

#ifndef PSP_LIMITS_FLEETTOPOLOGY_H
#define PSP_LIMITS_FLEETTOPOLOGY_H

#include "limits/LimitOptions.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace psp::limits {

class FleetTopology {
public:
  explicit FleetTopology(const LimitOptions &Options);

  /// Replaces the set of live peers. Before the first call all count as live.
  void setLivePeers(const std::vector<base::InstanceId> &Live);

  /// The data centres that have entry instances, sorted. Only these have a
  /// slice of the rates.
  const std::vector<base::DataCentreId> &dataCentres() const {
    return m_DataCentres;
  }

  /// The position of the own data centre among dataCentres(). Meaningful only
  /// in an entry instance.
  std::size_t ownPosition() const { return m_OwnPosition; }

  /// The voters on the leases of the own data centre. They are the same in all
  /// its processes, since they follow from the settings alone.
  const std::vector<base::InstanceId> &voters() const { return m_Voters; }

  /// The position of \p Instance's data centre among dataCentres(), if any.
  std::optional<std::size_t> positionOf(const base::InstanceId &Instance) const;

  /// The live entry instances of \p DataCentre, in order of preference as
  /// holder of the limiter of \p Shard. \p DataCentre must be one of
  /// dataCentres().
  const std::vector<base::InstanceId> &
  candidates(const base::DataCentreId &DataCentre, std::uint32_t Shard) const;

private:
  bool isLive(const base::InstanceId &Instance) const;
  void rankCandidates();

  base::InstanceId m_Self;
  std::uint32_t m_Shards;
  std::vector<Member> m_Members;
  std::vector<base::DataCentreId> m_DataCentres;
  std::size_t m_OwnPosition = 0;
  std::vector<base::InstanceId> m_Voters;
  bool m_AllLive = true;
  std::set<base::InstanceId> m_Live;
  std::map<base::DataCentreId, std::vector<std::vector<base::InstanceId>>>
      m_Candidates; ///< By data centre and shard.
};

} // namespace psp::limits

#endif
