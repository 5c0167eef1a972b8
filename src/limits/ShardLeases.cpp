#include "limits/ShardLeases.h"

#include <algorithm>
#include <utility>

namespace psp::limits {
namespace {

/// Number of rounds within the duration of a lease.
constexpr int RenewalsPerLease = 4;

/// The lease duration divided by this is how long a candidate leaves a vacant
/// lease to each candidate that is preferred to it. Then it requests the lease
/// itself, since those may be unable to reach the voters.
constexpr int VacancyStepsPerLease = 4;

/// A round without a majority is abandoned after this many request timeouts.
constexpr int RequestTimeoutsPerRound = 2;

} // namespace

ShardLeases::ShardLeases(const LimitOptions &Options,
                         const FleetTopology &Topology, base::TimePoint Start)
    : m_Options(Options), m_Topology(Topology),
      m_Incarnation(
          Options.m_Incarnation != 0
              ? Options.m_Incarnation
              : static_cast<std::uint64_t>(Start.time_since_epoch().count())),
      m_Voter(Options.m_Shards, Options.m_LeaseDuration, Options.m_ClockDrift,
              Start),
      m_Attempts(Options.m_Shards,
                 {.m_NotBefore = Start, .m_VacantSince = std::nullopt}) {
  const LeaseHolderOptions HolderOptions = {
      .m_LeaseDuration = Options.m_LeaseDuration,
      .m_ClockDrift = Options.m_ClockDrift,
      .m_Majority = Topology.voters().size() / 2 + 1};
  for (std::uint32_t Shard = 0; Shard < Options.m_Shards; ++Shard)
    m_Holders.emplace_back(HolderOptions);
}

bool ShardLeases::isVoter() const {
  const auto &Voters = m_Topology.voters();
  return std::find(Voters.begin(), Voters.end(), m_Options.m_Self) !=
         Voters.end();
}

void ShardLeases::onRequest(const base::InstanceId &From,
                            const messages::LeaseAsk &Request,
                            base::TimePoint Now, messages::Outbox &Out) {
  if (!isVoter())
    return;
  m_StoppingInstances.erase(From);
  *Out.add(From).mutable_limit()->mutable_lease_reply() =
      m_Voter.onRequest(From, Request, Now);
}

void ShardLeases::onReply(const base::InstanceId &From,
                          const messages::LeaseReply &Reply,
                          base::TimePoint Now) {
  const std::uint32_t Shard = Reply.shard();
  if (Shard >= m_Holders.size())
    return;
  if (Reply.granted()) {
    if (m_Holders[Shard].onGrant(From, Reply.number(), Now))
      m_Changes.push_back({.m_Shard = Shard, .m_Acquired = true});
    return;
  }
  if (!Reply.holder().empty())
    recordHolder(m_Options.m_DataCentre, Shard,
                 base::InstanceId(Reply.holder()),
                 Now + base::Duration(Reply.remaining_us()));
}

void ShardLeases::onRelease(const base::InstanceId &From,
                            const messages::LeaseRelease &Release) {
  m_Voter.onRelease(From, Release);
  if (Release.stopping())
    m_StoppingInstances.insert(From);
  m_ReportedLeases.erase(ShardId{.m_DataCentre = m_Options.m_DataCentre,
                                 .m_Shard = Release.shard()});
}

void ShardLeases::beginRound(std::uint32_t Shard, base::TimePoint Now,
                             messages::Outbox &Out) {
  messages::LeaseAsk Request;
  Request.set_shard(Shard);
  Request.set_incarnation(m_Incarnation);
  Request.set_number(m_Holders[Shard].beginRound(Now));
  for (const base::InstanceId &Voter : m_Topology.voters()) {
    if (Voter == m_Options.m_Self)
      onReply(Voter, m_Voter.onRequest(Voter, Request, Now), Now);
    else
      *Out.add(Voter).mutable_limit()->mutable_lease_ask() = Request;
  }
}

void ShardLeases::sendRelease(std::uint32_t Shard, bool Stopping,
                              messages::Outbox &Out) {
  messages::LeaseRelease Release;
  Release.set_shard(Shard);
  Release.set_incarnation(m_Incarnation);
  Release.set_number(m_Holders[Shard].roundNumber());
  Release.set_stopping(Stopping);
  for (const base::InstanceId &Voter : m_Topology.voters()) {
    if (Voter == m_Options.m_Self)
      m_Voter.onRelease(Voter, Release);
    else
      *Out.add(Voter).mutable_limit()->mutable_lease_release() = Release;
  }
}

std::size_t ShardLeases::rank(std::uint32_t Shard) const {
  const auto &Ranked = m_Topology.candidates(m_Options.m_DataCentre, Shard);
  std::size_t PreferredCount = 0;
  for (const base::InstanceId &Candidate : Ranked) {
    if (Candidate == m_Options.m_Self)
      break;
    PreferredCount += m_StoppingInstances.contains(Candidate) ? 0 : 1;
  }
  return PreferredCount;
}

void ShardLeases::tryToAcquire(std::uint32_t Shard, base::TimePoint Now,
                               messages::Outbox &Out) {
  Attempt &Current = m_Attempts[Shard];
  const ShardId Id = {.m_DataCentre = m_Options.m_DataCentre, .m_Shard = Shard};
  if (lastKnownHolder(Id, Now)) {
    Current.m_VacantSince.reset();
    return;
  }
  if (!Current.m_VacantSince)
    Current.m_VacantSince = Now;
  const base::Duration RankDelay = m_Options.m_LeaseDuration /
                                   VacancyStepsPerLease *
                                   static_cast<std::int64_t>(rank(Shard));
  if (Now >= Current.m_NotBefore && Now >= *Current.m_VacantSince + RankDelay)
    beginRound(Shard, Now, Out);
}

void ShardLeases::onTick(base::TimePoint Now, messages::Outbox &Out) {
  if (!m_Options.m_IsEntry)
    return;
  for (std::uint32_t Shard = 0; Shard < m_Options.m_Shards; ++Shard) {
    LeaseHolder &Holder = m_Holders[Shard];
    if (Holder.expire(Now))
      m_Changes.push_back({.m_Shard = Shard, .m_Acquired = false});
    switch (Holder.phase()) {
    case LeasePhase::Idle:
      tryToAcquire(Shard, Now, Out);
      break;
    case LeasePhase::Requesting:
      if (Now >= Holder.roundStartedAt() +
                     RequestTimeoutsPerRound * m_Options.m_RequestTimeout) {
        Holder.abandonRound();
        sendRelease(Shard, false, Out);
        m_Attempts[Shard].m_NotBefore =
            Now + m_Options.m_RequestTimeout *
                      static_cast<std::int64_t>(1 + rank(Shard));
      }
      break;
    case LeasePhase::Holding:
      if (Now >= Holder.roundStartedAt() +
                     m_Options.m_LeaseDuration / RenewalsPerLease)
        beginRound(Shard, Now, Out);
      break;
    case LeasePhase::Draining:
    case LeasePhase::Stopped:
      break;
    }
  }
}

void ShardLeases::stop(messages::Outbox &Out) {
  for (std::uint32_t Shard = 0; Shard < m_Options.m_Shards; ++Shard) {
    m_Holders[Shard].stop();
    if (m_Holders[Shard].phase() == LeasePhase::Stopped)
      sendRelease(Shard, true, Out);
  }
}

void ShardLeases::release(std::uint32_t Shard, messages::Outbox &Out) {
  m_Holders[Shard].finishDraining();
  sendRelease(Shard, true, Out);
  m_Changes.push_back({.m_Shard = Shard, .m_Acquired = false});
}

bool ShardLeases::holds(std::uint32_t Shard, base::TimePoint Now) const {
  return m_Holders[Shard].holds(Now);
}

LeasePhase ShardLeases::phase(std::uint32_t Shard) const {
  return m_Holders[Shard].phase();
}

base::TimePoint ShardLeases::expiresAt(std::uint32_t Shard) const {
  return m_Holders[Shard].expiresAt();
}

std::optional<base::InstanceId>
ShardLeases::lastKnownHolder(const ShardId &Id, base::TimePoint Now) const {
  if (Id.m_DataCentre == m_Options.m_DataCentre) {
    const auto Granted = m_Voter.holder(Id.m_Shard, Now);
    if (Granted && Granted->m_Holder != m_Options.m_Self)
      return Granted->m_Holder;
  }
  const auto It = m_ReportedLeases.find(Id);
  if (It == m_ReportedLeases.end() || Now >= It->second.m_ExpiresAt)
    return std::nullopt;
  return It->second.m_Holder;
}

std::optional<base::InstanceId>
ShardLeases::limiter(const base::DataCentreId &DataCentre, std::uint32_t Shard,
                     base::TimePoint Now) const {
  if (DataCentre == m_Options.m_DataCentre && m_Options.m_IsEntry &&
      m_Holders[Shard].phase() == LeasePhase::Holding &&
      m_Holders[Shard].holds(Now))
    return m_Options.m_Self;
  const auto &Ranked = m_Topology.candidates(DataCentre, Shard);
  const auto Holder =
      lastKnownHolder({.m_DataCentre = DataCentre, .m_Shard = Shard}, Now);
  // A known holder that can't be reached is skipped: while it is frozen, its
  // lease may still be valid.
  if (Holder)
    return std::find(Ranked.begin(), Ranked.end(), *Holder) == Ranked.end()
               ? std::nullopt
               : Holder;
  for (const base::InstanceId &Candidate : Ranked)
    if (Candidate != m_Options.m_Self &&
        !m_StoppingInstances.contains(Candidate))
      return Candidate;
  return std::nullopt;
}

void ShardLeases::recordHolder(const base::DataCentreId &DataCentre,
                               std::uint32_t Shard,
                               const base::InstanceId &Holder,
                               base::TimePoint ExpiresAt) {
  const ShardId Id = {.m_DataCentre = DataCentre, .m_Shard = Shard};
  if (Holder.empty() || Holder == m_Options.m_Self)
    m_ReportedLeases.erase(Id);
  else
    m_ReportedLeases[Id] = {.m_Holder = Holder, .m_ExpiresAt = ExpiresAt};
}

std::vector<LeaseChange> ShardLeases::takeChanges() {
  return std::exchange(m_Changes, {});
}

} // namespace psp::limits
