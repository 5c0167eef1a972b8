/// \file
/// One process's part in the leases of all shards of its data centre: it votes,
/// decides when to request a lease itself, and records the holders.

#ifndef PSP_LIMITS_SHARDLEASES_H
#define PSP_LIMITS_SHARDLEASES_H

#include "limits/FleetTopology.h"
#include "limits/LeaseHolder.h"
#include "limits/LeaseVoter.h"
#include "messages/Outbox.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace psp::limits {

/// This process acquired or lost a lease.
struct LeaseChange {
  std::uint32_t m_Shard = 0;
  bool m_Acquired = false;

  auto operator<=>(const LeaseChange &) const = default;
};

class ShardLeases {
public:
  /// \p Topology must outlive this object.
  ShardLeases(const LimitOptions &Options, const FleetTopology &Topology,
              base::TimePoint Start);

  void onRequest(const base::InstanceId &From,
                 const messages::LeaseAsk &Request, base::TimePoint Now,
                 messages::Outbox &Out);
  void onReply(const base::InstanceId &From, const messages::LeaseReply &Reply,
               base::TimePoint Now);
  void onRelease(const base::InstanceId &From,
                 const messages::LeaseRelease &Release);
  void onTick(base::TimePoint Now, messages::Outbox &Out);

  /// Planned stop: requests no further lease and lets the held ones drain.
  void stop(messages::Outbox &Out);
  /// Releases the drained lease of \p Shard at the voters.
  void release(std::uint32_t Shard, messages::Outbox &Out);

  bool holds(std::uint32_t Shard, base::TimePoint Now) const;
  LeasePhase phase(std::uint32_t Shard) const;
  base::TimePoint expiresAt(std::uint32_t Shard) const;

  /// The limiter of \p Shard in \p DataCentre: the last known holder, or else
  /// the most preferred live candidate. Never this process unless it holds the
  /// lease.
  std::optional<base::InstanceId> limiter(const base::DataCentreId &DataCentre,
                                          std::uint32_t Shard,
                                          base::TimePoint Now) const;
  /// Records the report of a peer that \p Holder is the limiter of \p Shard in
  /// \p DataCentre. An empty \p Holder removes the recorded one.
  void recordHolder(const base::DataCentreId &DataCentre, std::uint32_t Shard,
                    const base::InstanceId &Holder, base::TimePoint ExpiresAt);

  /// Leases acquired and lost since the last call.
  std::vector<LeaseChange> takeChanges();

private:
  struct Attempt {
    base::TimePoint m_NotBefore; ///< Of the next round.
    std::optional<base::TimePoint> m_VacantSince;
  };
  struct ShardId {
    base::DataCentreId m_DataCentre;
    std::uint32_t m_Shard = 0;

    auto operator<=>(const ShardId &) const = default;
  };

  void beginRound(std::uint32_t Shard, base::TimePoint Now,
                  messages::Outbox &Out);
  void tryToAcquire(std::uint32_t Shard, base::TimePoint Now,
                    messages::Outbox &Out);
  void sendRelease(std::uint32_t Shard, bool Stopping, messages::Outbox &Out);
  void onOwnReply(const messages::LeaseReply &Reply, base::TimePoint Now);
  bool isVoter() const;
  std::optional<base::InstanceId> lastKnownHolder(const ShardId &Id,
                                                  base::TimePoint Now) const;
  std::size_t rank(std::uint32_t Shard) const;

  LimitOptions m_Options;
  const FleetTopology &m_Topology;
  std::uint64_t m_Incarnation;
  LeaseVoter m_Voter;
  std::vector<LeaseHolder> m_Holders; ///< By shard.
  std::vector<Attempt> m_Attempts;    ///< By shard.
  std::map<ShardId, LeaseRecord> m_ReportedLeases;
  std::set<base::InstanceId> m_StoppingInstances; ///< Until their next request.
  std::vector<LeaseChange> m_Changes;
};

} // namespace psp::limits

#endif
