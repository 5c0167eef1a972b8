#include "limits/ShardLeases.h"

#include <algorithm>
#include <utility>

namespace psp::limits {
namespace {

/// Rounds of one lease that fit into its length.
constexpr int RenewalsPerLease = 4;

/// A candidate further down waits for this part of a lease for each one that
/// is preferred to it, in case those can't reach the voters.
constexpr int VacancyStepsPerLease = 4;

/// Rounds without a majority are given up after this many ask timeouts.
constexpr int RoundTimeouts = 2;

} // namespace

ShardLeases::ShardLeases(const LimitOptions &Options, const Fleet &Members,
                         base::TimePoint Start)
    : m_Options(Options), m_Fleet(Members),
      m_Incarnation(
          Options.m_Incarnation != 0
              ? Options.m_Incarnation
              : static_cast<std::uint64_t>(Start.time_since_epoch().count())),
      m_Voter(Options.m_Shards, Options.m_Lease, Options.m_ClockDrift, Start),
      m_Attempts(Options.m_Shards,
                 {.m_NotBefore = Start, .m_VacantSince = std::nullopt}) {
  const LeaseHolderOptions Each = {.m_Lease = Options.m_Lease,
                                   .m_ClockDrift = Options.m_ClockDrift,
                                   .m_Majority =
                                       Members.voters().size() / 2 + 1};
  for (std::uint32_t Shard = 0; Shard < Options.m_Shards; ++Shard)
    m_Holders.emplace_back(Each);
}

bool ShardLeases::isVoter() const {
  const auto &Voters = m_Fleet.voters();
  return std::find(Voters.begin(), Voters.end(), m_Options.m_Self) !=
         Voters.end();
}

void ShardLeases::onAsk(const base::InstanceId &From,
                        const messages::LeaseAsk &Ask, base::TimePoint Now,
                        messages::Outbox &Out) {
  if (!isVoter())
    return;
  m_Stopping.erase(From);
  *Out.add(From).mutable_limit()->mutable_lease_reply() =
      m_Voter.onAsk(From, Ask, Now);
}

void ShardLeases::onReply(const base::InstanceId &From,
                          const messages::LeaseReply &Reply,
                          base::TimePoint Now) {
  const std::uint32_t Shard = Reply.shard();
  if (Shard >= m_Holders.size())
    return;
  if (Reply.granted()) {
    if (m_Holders[Shard].onGrant(From, Reply.number(), Now))
      m_Changes.push_back({.m_Shard = Shard, .m_Won = true});
    return;
  }
  if (!Reply.holder().empty())
    noteHolder(m_Options.m_DataCentre, Shard, base::InstanceId(Reply.holder()),
               Now + base::Duration(Reply.remaining_us()));
}

void ShardLeases::onRelease(const base::InstanceId &From,
                            const messages::LeaseRelease &Release) {
  m_Voter.onRelease(From, Release);
  if (Release.stopping())
    m_Stopping.insert(From);
  m_Known.erase(Place{.m_DataCentre = m_Options.m_DataCentre,
                      .m_Shard = Release.shard()});
}

void ShardLeases::beginRound(std::uint32_t Shard, base::TimePoint Now,
                             messages::Outbox &Out) {
  messages::LeaseAsk Ask;
  Ask.set_shard(Shard);
  Ask.set_incarnation(m_Incarnation);
  Ask.set_number(m_Holders[Shard].beginRound(Now));
  for (const base::InstanceId &Voter : m_Fleet.voters()) {
    if (Voter == m_Options.m_Self)
      onReply(Voter, m_Voter.onAsk(Voter, Ask, Now), Now);
    else
      *Out.add(Voter).mutable_limit()->mutable_lease_ask() = Ask;
  }
}

void ShardLeases::sendRelease(std::uint32_t Shard, bool Stopping,
                              messages::Outbox &Out) {
  messages::LeaseRelease Release;
  Release.set_shard(Shard);
  Release.set_incarnation(m_Incarnation);
  Release.set_number(m_Holders[Shard].number());
  Release.set_stopping(Stopping);
  for (const base::InstanceId &Voter : m_Fleet.voters()) {
    if (Voter == m_Options.m_Self)
      m_Voter.onRelease(Voter, Release);
    else
      *Out.add(Voter).mutable_limit()->mutable_lease_release() = Release;
  }
}

std::size_t ShardLeases::rank(std::uint32_t Shard) const {
  const auto &Ranked = m_Fleet.candidates(m_Options.m_DataCentre, Shard);
  std::size_t Before = 0;
  for (const base::InstanceId &Each : Ranked) {
    if (Each == m_Options.m_Self)
      break;
    Before += m_Stopping.contains(Each) ? 0 : 1;
  }
  return Before;
}

void ShardLeases::tryToWin(std::uint32_t Shard, base::TimePoint Now,
                           messages::Outbox &Out) {
  Attempt &Current = m_Attempts[Shard];
  const Place Where = {.m_DataCentre = m_Options.m_DataCentre,
                       .m_Shard = Shard};
  if (knownHolder(Where, Now)) {
    Current.m_VacantSince.reset();
    return;
  }
  if (!Current.m_VacantSince)
    Current.m_VacantSince = Now;
  const base::Duration Patience = m_Options.m_Lease / VacancyStepsPerLease *
                                  static_cast<std::int64_t>(rank(Shard));
  if (Now >= Current.m_NotBefore && Now >= *Current.m_VacantSince + Patience)
    beginRound(Shard, Now, Out);
}

void ShardLeases::onTick(base::TimePoint Now, messages::Outbox &Out) {
  if (!m_Options.m_IsEntry)
    return;
  for (std::uint32_t Shard = 0; Shard < m_Options.m_Shards; ++Shard) {
    LeaseHolder &Holder = m_Holders[Shard];
    if (Holder.expire(Now))
      m_Changes.push_back({.m_Shard = Shard, .m_Won = false});
    switch (Holder.phase()) {
    case LeasePhase::Idle:
      tryToWin(Shard, Now, Out);
      break;
    case LeasePhase::Asking:
      if (Now >= Holder.askedAt() + RoundTimeouts * m_Options.m_AskTimeout) {
        Holder.abandonRound();
        sendRelease(Shard, false, Out);
        m_Attempts[Shard].m_NotBefore =
            Now +
            m_Options.m_AskTimeout * static_cast<std::int64_t>(1 + rank(Shard));
      }
      break;
    case LeasePhase::Holding:
      if (Now >= Holder.askedAt() + m_Options.m_Lease / RenewalsPerLease)
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
  m_Changes.push_back({.m_Shard = Shard, .m_Won = false});
}

bool ShardLeases::holds(std::uint32_t Shard, base::TimePoint Now) const {
  return m_Holders[Shard].holds(Now);
}

LeasePhase ShardLeases::phase(std::uint32_t Shard) const {
  return m_Holders[Shard].phase();
}

base::TimePoint ShardLeases::end(std::uint32_t Shard) const {
  return m_Holders[Shard].end();
}

std::optional<base::InstanceId>
ShardLeases::knownHolder(const Place &Where, base::TimePoint Now) const {
  if (Where.m_DataCentre == m_Options.m_DataCentre) {
    const auto Promised = m_Voter.holder(Where.m_Shard, Now);
    if (Promised && Promised->m_Instance != m_Options.m_Self)
      return Promised->m_Instance;
  }
  const auto Found = m_Known.find(Where);
  if (Found == m_Known.end() || Now >= Found->second.m_Until)
    return std::nullopt;
  return Found->second.m_Instance;
}

std::optional<base::InstanceId>
ShardLeases::limiter(const base::DataCentreId &DataCentre, std::uint32_t Shard,
                     base::TimePoint Now) const {
  if (DataCentre == m_Options.m_DataCentre && m_Options.m_IsEntry &&
      m_Holders[Shard].phase() == LeasePhase::Holding &&
      m_Holders[Shard].holds(Now))
    return m_Options.m_Self;
  const auto &Ranked = m_Fleet.candidates(DataCentre, Shard);
  const auto Known =
      knownHolder({.m_DataCentre = DataCentre, .m_Shard = Shard}, Now);
  // A known holder that can't be reached is passed over: its lease may run on
  // while it is frozen.
  if (Known)
    return std::find(Ranked.begin(), Ranked.end(), *Known) == Ranked.end()
               ? std::nullopt
               : Known;
  for (const base::InstanceId &Each : Ranked)
    if (Each != m_Options.m_Self && !m_Stopping.contains(Each))
      return Each;
  return std::nullopt;
}

void ShardLeases::noteHolder(const base::DataCentreId &DataCentre,
                             std::uint32_t Shard,
                             const base::InstanceId &Holder,
                             base::TimePoint Until) {
  const Place Where = {.m_DataCentre = DataCentre, .m_Shard = Shard};
  if (Holder.empty() || Holder == m_Options.m_Self)
    m_Known.erase(Where);
  else
    m_Known[Where] = {.m_Instance = Holder, .m_Until = Until};
}

std::vector<LeaseChange> ShardLeases::takeChanges() {
  return std::exchange(m_Changes, {});
}

} // namespace psp::limits
