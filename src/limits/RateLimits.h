/// \file
/// One process's part in enforcing the rates and bursts of the organisations
/// over the whole fleet: it votes on the limiter leases of its data centre,
/// runs the limiters of the shards whose lease it holds, and requests tokens
/// from limiters. TokenBucket.h explains why no organisation ever gets more
/// than its rate and burst.

#ifndef PSP_LIMITS_RATELIMITS_H
#define PSP_LIMITS_RATELIMITS_H

#include "limits/LimitClient.h"
#include "limits/Limiter.h"
#include "limits/ShardLeases.h"
#include "messages/Outbox.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace psp::limits {

/// A limiter role held by this process.
struct HeldLease {
  std::uint32_t m_Shard = 0;
  base::Duration m_Remaining{0};
  std::size_t m_OrganisationCount = 0;

  auto operator<=>(const HeldLease &) const = default;
};

/// The rate limits of all organisations in one process.
///
/// Example:
/// \code
///   Limits.admit(Ticket, Organisation, Deadline, Now, Out);
///   for (const LimitDecision &Decision : Limits.takeDecisions())
///     answer(Decision);
/// \endcode
class RateLimits : private LimiterRoute {
public:
  RateLimits(LimitOptions Options, base::TimePoint Start);
  RateLimits(const RateLimits &) = delete;
  RateLimits &operator=(const RateLimits &) = delete;

  /// Applies the rates of configuration \p ConfigurationNumber, unless it is
  /// older than the one in force.
  void setRates(std::uint64_t ConfigurationNumber,
                const std::vector<OrganisationRate> &Rates,
                base::TimePoint Now);

  /// Replaces the set of live peers, which follows from the heartbeats.
  void setLivePeers(const std::vector<base::InstanceId> &Live,
                    base::TimePoint Now);

  /// Requests one admission of \p Organisation. The decision carries \p Ticket
  /// and is made at the latest when \p Deadline has passed.
  void admit(std::uint64_t Ticket, const base::OrganisationId &Organisation,
             base::TimePoint Deadline, base::TimePoint Now,
             messages::Outbox &Out);

  /// Withdraws the request: there will be no decision on it.
  void cancel(std::uint64_t Ticket) { m_Client.cancel(Ticket); }

  void onMessage(const base::InstanceId &From,
                 const messages::LimitMessage &Message, base::TimePoint Now,
                 messages::Outbox &Out);

  /// Must be called every few milliseconds.
  void onTick(base::TimePoint Now, messages::Outbox &Out);

  /// Planned stop: releases each limiter role once its outstanding transfers
  /// are settled. The process must call onTick until isReleased.
  void release(base::TimePoint Now, messages::Outbox &Out);

  std::vector<LimitDecision> takeDecisions() {
    return m_Client.takeDecisions();
  }

  /// Whether this process holds no limiter role.
  bool isReleased() const { return m_Limiters.empty(); }

  std::vector<HeldLease> heldLeases(base::TimePoint Now) const;
  const LimitCounters &counters() const { return m_Counters; }

  /// The level of \p Organisation's bucket if this process runs its limiter, or
  /// zero.
  MicroTokens level(const base::OrganisationId &Organisation) const;

private:
  std::optional<base::InstanceId> limiter(std::uint32_t Shard,
                                          std::size_t Attempt,
                                          base::TimePoint Now) override;
  Limiter *localLimiter(std::uint32_t Shard, base::TimePoint Now);
  std::uint32_t shardOf(const std::string &Organisation) const;

  void applyLeaseChanges(base::TimePoint Now);
  void drainLimiters(messages::Outbox &Out);
  void dispatch(base::TimePoint Now, messages::Outbox &Out);
  bool dispatchFromClient(base::TimePoint Now, messages::Outbox &Out);
  bool dispatchFromLimiters(base::TimePoint Now, messages::Outbox &Out);
  void flushReports(messages::Outbox &Out);

  void onTokenRequest(const base::InstanceId &From,
                      const messages::TokenAsk &Request, base::TimePoint Now,
                      messages::Outbox &Out);
  void onTokenReply(const base::InstanceId &From,
                    const messages::TokenReply &Reply, base::TimePoint Now);
  void onLoanRequest(const base::InstanceId &From,
                     const messages::LoanAsk &Request, base::TimePoint Now,
                     messages::Outbox &Out);
  void onLoanReply(const base::InstanceId &From,
                   const messages::LoanReply &Reply, base::TimePoint Now);
  void sendLoanRequest(std::uint32_t Shard, OutgoingLoanRequest Outgoing,
                       base::TimePoint Now, messages::Outbox &Out);
  void recordRedirect(const base::InstanceId &From, std::uint32_t Shard,
                      const std::string &Holder, base::TimePoint Now);

  LimitOptions m_Options;
  FleetTopology m_Topology;
  RateTable m_Rates;
  IdGenerator m_Ids;
  LimitCounters m_Counters;
  ShardLeases m_Leases;
  LimitClient m_Client;
  std::map<std::uint32_t, std::unique_ptr<Limiter>> m_Limiters; ///< By shard.
  std::map<base::InstanceId, messages::TokenReports> m_TokenReports;
  std::map<std::pair<base::InstanceId, std::uint32_t>, messages::LoanReports>
      m_LoanReports; ///< By lender and shard.
};

} // namespace psp::limits

#endif
