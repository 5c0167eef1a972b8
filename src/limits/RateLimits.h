/// \file
/// Rates and bursts of the organisations over the whole fleet, as one process
/// sees them: it votes on the limiter leases of its data centre, is the
/// limiter of the shards whose lease it holds, and asks limiters for tokens.
/// TokenBucket.h says why no organisation ever gets more than its rate and
/// burst.

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

/// One limiter role held by this process.
struct HeldLease {
  std::uint32_t m_Shard = 0;
  base::Duration m_Remaining{0};
  std::size_t m_Organisations = 0;

  auto operator<=>(const HeldLease &) const = default;
};

/// Example:
/// \code
///   Limits.admit(Ticket, Organisation, Deadline, Now, Out);
///   for (const LimitDecision &Each : Limits.takeDecisions())
///     answer(Each);
/// \endcode
class RateLimits : private LimiterRoute {
public:
  RateLimits(LimitOptions Options, base::TimePoint Start);
  RateLimits(const RateLimits &) = delete;
  RateLimits &operator=(const RateLimits &) = delete;

  /// Puts the rates of configuration \p Number in force here. An older number
  /// than the one in force changes nothing.
  void setRates(std::uint64_t Number,
                const std::vector<OrganisationRate> &Rates,
                base::TimePoint Now);

  /// The peers that are alive, from the heartbeats.
  void setReachable(const std::vector<base::InstanceId> &Live,
                    base::TimePoint Now);

  /// Asks for one admission of \p Organisation. The decision bears \p Ticket
  /// and comes at the latest when \p Deadline has passed.
  void admit(std::uint64_t Ticket, const base::OrganisationId &Organisation,
             base::TimePoint Deadline, base::TimePoint Now,
             messages::Outbox &Out);

  /// The request is gone; there will be no decision on it.
  void cancel(std::uint64_t Ticket) { m_Client.cancel(Ticket); }

  void onMessage(const base::InstanceId &From,
                 const messages::LimitMessage &Message, base::TimePoint Now,
                 messages::Outbox &Out);

  /// To be called every few milliseconds.
  void onTick(base::TimePoint Now, messages::Outbox &Out);

  /// Planned stop: hands the limiter roles over once nothing that was granted
  /// is left. The process goes on calling onTick until isReleased.
  void release(base::TimePoint Now, messages::Outbox &Out);

  std::vector<LimitDecision> takeDecisions() {
    return m_Client.takeDecisions();
  }

  /// Whether no limiter role is held here.
  bool isReleased() const { return m_Limiters.empty(); }

  std::vector<HeldLease> heldLeases(base::TimePoint Now) const;
  const LimitCounters &counters() const { return m_Counters; }

  /// The whole tokens' worth, in millionths, in the bucket of \p Organisation
  /// if its limiter is here, or zero.
  MicroTokens level(const base::OrganisationId &Organisation) const;

private:
  std::optional<base::InstanceId> limiter(std::uint32_t Shard,
                                          std::size_t Attempt,
                                          base::TimePoint Now) override;
  Limiter *localLimiter(std::uint32_t Shard, base::TimePoint Now);
  std::uint32_t shardOf(const std::string &Organisation) const;

  void applyLeaseChanges(base::TimePoint Now);
  void drainLimiters(messages::Outbox &Out);
  void pump(base::TimePoint Now, messages::Outbox &Out);
  bool pumpClient(base::TimePoint Now, messages::Outbox &Out);
  bool pumpLimiters(base::TimePoint Now, messages::Outbox &Out);
  void flushReports(messages::Outbox &Out);

  void onTokenAsk(const base::InstanceId &From, const messages::TokenAsk &Ask,
                  base::TimePoint Now, messages::Outbox &Out);
  void onTokenReply(const base::InstanceId &From,
                    const messages::TokenReply &Reply, base::TimePoint Now);
  void onLoanAsk(const base::InstanceId &From, const messages::LoanAsk &Ask,
                 base::TimePoint Now, messages::Outbox &Out);
  void onLoanReply(const base::InstanceId &From,
                   const messages::LoanReply &Reply, base::TimePoint Now);
  void sendLoanAsk(std::uint32_t Shard, LoanAskTo Each, base::TimePoint Now,
                   messages::Outbox &Out);
  void noteRedirect(const base::InstanceId &From, std::uint32_t Shard,
                    const std::string &Holder, base::TimePoint Now);

  LimitOptions m_Options;
  Fleet m_Fleet;
  RateTable m_Rates;
  IdSource m_Ids;
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
