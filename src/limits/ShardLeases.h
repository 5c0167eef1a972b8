/// \file
/// The leases of all shards of one data centre as one process sees them: it
/// votes, it decides when to ask for a lease itself, and it knows the holders.

#ifndef PSP_LIMITS_SHARDLEASES_H
#define PSP_LIMITS_SHARDLEASES_H

#include "limits/Fleet.h"
#include "limits/LeaseHolder.h"
#include "limits/LeaseVoter.h"
#include "messages/Outbox.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace psp::limits {

/// A lease was won or lost at this process.
struct LeaseChange {
  std::uint32_t m_Shard = 0;
  bool m_Won = false;

  auto operator<=>(const LeaseChange &) const = default;
};

class ShardLeases {
public:
  /// \p Members must outlive this object.
  ShardLeases(const LimitOptions &Options, const Fleet &Members,
              base::TimePoint Start);

  void onAsk(const base::InstanceId &From, const messages::LeaseAsk &Ask,
             base::TimePoint Now, messages::Outbox &Out);
  void onReply(const base::InstanceId &From, const messages::LeaseReply &Reply,
               base::TimePoint Now);
  void onRelease(const base::InstanceId &From,
                 const messages::LeaseRelease &Release);
  void onTick(base::TimePoint Now, messages::Outbox &Out);

  /// Planned stop: asks for no further lease; the held ones drain.
  void stop(messages::Outbox &Out);
  /// Gives the drained lease of \p Shard back to the voters.
  void release(std::uint32_t Shard, messages::Outbox &Out);

  bool holds(std::uint32_t Shard, base::TimePoint Now) const;
  LeasePhase phase(std::uint32_t Shard) const;
  base::TimePoint end(std::uint32_t Shard) const;

  /// The limiter of \p Shard in \p DataCentre: the known holder, or else the
  /// live instance that should be it. Never this process unless it holds it.
  std::optional<base::InstanceId> limiter(const base::DataCentreId &DataCentre,
                                          std::uint32_t Shard,
                                          base::TimePoint Now) const;
  /// Someone said that \p Holder is the limiter of \p Shard in \p DataCentre,
  /// or, when it is empty, that the known one is not.
  void noteHolder(const base::DataCentreId &DataCentre, std::uint32_t Shard,
                  const base::InstanceId &Holder, base::TimePoint Until);

  /// Leases won and lost since the last call.
  std::vector<LeaseChange> takeChanges();

private:
  struct Attempt {
    base::TimePoint m_NotBefore;
    std::optional<base::TimePoint> m_VacantSince;
  };
  struct Place {
    base::DataCentreId m_DataCentre;
    std::uint32_t m_Shard = 0;

    auto operator<=>(const Place &) const = default;
  };

  void beginRound(std::uint32_t Shard, base::TimePoint Now,
                  messages::Outbox &Out);
  void tryToWin(std::uint32_t Shard, base::TimePoint Now,
                messages::Outbox &Out);
  void sendRelease(std::uint32_t Shard, bool Stopping, messages::Outbox &Out);
  void onOwnReply(const messages::LeaseReply &Reply, base::TimePoint Now);
  bool isVoter() const;
  std::optional<base::InstanceId> knownHolder(const Place &Where,
                                              base::TimePoint Now) const;
  std::size_t rank(std::uint32_t Shard) const;

  LimitOptions m_Options;
  const Fleet &m_Fleet;
  std::uint64_t m_Incarnation;
  LeaseVoter m_Voter;
  std::vector<LeaseHolder> m_Holders; ///< By shard.
  std::vector<Attempt> m_Attempts;    ///< By shard.
  std::map<Place, KnownHolder> m_Known;
  std::set<base::InstanceId> m_Stopping; ///< Until they ask again.
  std::vector<LeaseChange> m_Changes;
};

} // namespace psp::limits

#endif
