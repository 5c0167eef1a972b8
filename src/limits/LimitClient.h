/// \file
/// The client side of the rate limits in an entry instance: requests that wait
/// for a token, token requests sent to limiters, and unused tokens.
///
/// A token must be used within its validity period, which counts from before it
/// was requested, or it expires. The limiter relies on that. Used and returned
/// tokens are reported, so that the limiter stops counting them as outstanding.

#ifndef PSP_LIMITS_LIMITCLIENT_H
#define PSP_LIMITS_LIMITCLIENT_H

#include "generated/limits.pb.h"
#include "limits/LimitOptions.h"
#include "limits/Limiter.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace psp::limits {

/// Selects the limiter for a token request.
class LimiterRoute {
public:
  virtual ~LimiterRoute() = default;

  /// The limiter for attempt number \p Attempt, starting at zero with that of
  /// the own data centre, or nothing when there is none left to try.
  virtual std::optional<base::InstanceId>
  limiter(std::uint32_t Shard, std::size_t Attempt, base::TimePoint Now) = 0;
};

/// A token request, to be sent to the limiter \c m_To.
struct OutgoingTokenRequest {
  base::InstanceId m_To;
  messages::TokenAsk m_Request;
};
/// A usage report on a grant, to be sent to the limiter \c m_To.
struct OutgoingUsageReport {
  base::InstanceId m_To;
  messages::UsageReport m_Report;
};

class LimitClient {
public:
  /// All references must outlive this object.
  LimitClient(const LimitOptions &Options, LimiterRoute &Route,
              IdGenerator &Ids, LimitCounters &Counters);

  /// The shard whose limiters are responsible for \p Organisation.
  std::uint32_t shardOf(const base::OrganisationId &Organisation);

  /// Whether requests of \p Organisation wait for a token in this instance.
  bool hasWaiting(const base::OrganisationId &Organisation) const;

  /// Admits the request if there is an unused token and no other request of the
  /// organisation waits. Otherwise refuses it if \p Deadline has passed or a
  /// limiter refused a request of the organisation just before; else it waits
  /// until \p Deadline, at most for LimitOptions::m_MaxClientWait.
  void admit(std::uint64_t Ticket, const base::OrganisationId &Organisation,
             base::TimePoint Deadline, base::TimePoint Now);
  /// Withdraws a request that waits. A decision that was made already stands.
  void cancel(std::uint64_t Ticket);
  /// Ignores repeated replies, and those to no known request to \p From.
  void onReply(const base::InstanceId &From, const messages::TokenReply &Reply,
               base::TimePoint Now);
  /// Refuses requests whose wait has ended, tries the next limiter when one
  /// hasn't replied in time, and returns tokens that weren't used.
  void onTick(base::TimePoint Now);

  // Each returns what has accumulated since its last call.
  std::vector<OutgoingTokenRequest> takeTokenRequests();
  std::vector<OutgoingUsageReport> takeReports();
  std::vector<LimitDecision> takeDecisions();

  /// Records a decision. Called from outside for a request that needed no token
  /// request.
  void decide(LimitDecision Decision);

private:
  /// A request that waits for a token.
  struct PendingRequest {
    std::uint64_t m_Ticket = 0;
    base::TimePoint m_WaitDeadline;
  };
  /// A grant with tokens that are not used yet.
  struct UnusedTokens {
    base::InstanceId m_Limiter;
    std::uint64_t m_GrantId = 0;
    std::uint32_t m_Unused = 0;
    std::uint32_t m_Used = 0;
    base::TimePoint m_ReturnAt; ///< Unused tokens are returned then.
    base::TimePoint m_ValidUntil;
  };
  /// A token request that was sent to a limiter.
  struct TokenRequest {
    std::uint64_t m_Id = 0;
    base::InstanceId m_Limiter;
    base::TimePoint m_RequestedAt;
    std::uint32_t m_UnansweredTokens = 0; ///< Neither granted nor refused yet.
    bool m_Answered = false;              ///< Whether any reply has arrived.
    bool m_TimedOut = false;
    std::set<std::uint32_t> m_SeenSequences; ///< Of the replies received.
  };
  /// The requests and tokens of one organisation.
  struct Demand {
    base::OrganisationId m_Organisation;
    std::uint32_t m_Shard = 0;
    std::deque<PendingRequest> m_PendingRequests; ///< Oldest first.
    std::vector<TokenRequest> m_TokenRequests;
    std::vector<UnusedTokens> m_UnusedTokens;
    std::size_t m_Attempt = 0;
    base::TimePoint m_RequestNotBefore;
    base::TimePoint m_RefuseUntil;
    base::TimePoint m_ArrivalWindowStart; ///< Start of the current window.
    std::uint32_t m_Arrivals = 0;         ///< In the current window.
    std::uint32_t m_PreviousArrivals = 0; ///< In the window before it.
  };

  Demand &demand(const base::OrganisationId &Organisation);
  void countArrival(Demand &OrgDemand, base::TimePoint Now);
  bool consumeUnusedToken(Demand &OrgDemand, base::TimePoint Now);
  void requestTokens(Demand &OrgDemand, base::TimePoint Now);
  void requestFromNextLimiter(Demand &OrgDemand, base::TimePoint Now);
  void receiveGrant(Demand &OrgDemand, UnusedTokens Tokens,
                    base::TimePoint Now);
  void refuseNewest(Demand &OrgDemand, std::uint32_t Count,
                    base::Duration RetryAfter);
  void refuseExpired(Demand &OrgDemand, base::TimePoint Now);
  void abandonTimedOut(Demand &OrgDemand, base::TimePoint Now);
  void returnUnusedTokens(Demand &OrgDemand, base::TimePoint Now);
  void addReport(const Demand &OrgDemand, const UnusedTokens &Tokens,
                 std::uint32_t Returned);

  const LimitOptions &m_Options;
  LimiterRoute &m_Route;
  IdGenerator &m_Ids;
  LimitCounters &m_Counters;
  std::unordered_map<base::OrganisationId, Demand> m_Demands;
  std::vector<OutgoingTokenRequest> m_OutgoingRequests;
  std::vector<OutgoingUsageReport> m_Reports;
  std::vector<LimitDecision> m_Decisions;
};

} // namespace psp::limits

#endif
