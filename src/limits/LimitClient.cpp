#include "limits/LimitClient.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace psp::limits {
namespace {

/// Length of the window in which arrivals are counted.
constexpr base::Duration ArrivalWindow = base::milliseconds(50);

/// Maximum number of tokens that are requested ahead of need.
constexpr std::uint32_t MaxPrefetchTokens = 8;

/// Maximum time after a limiter's refusal during which further requests are
/// refused without sending a token request.
constexpr base::Duration MaxLocalRefusalTime = base::milliseconds(10);

/// Pause after all limiters were tried, before the first one is tried again.
constexpr base::Duration RetryPause = base::milliseconds(25);

/// Unused tokens are returned after the token validity divided by this.
constexpr int ReturnAfterDivisor = 5;

/// Retry delay of requests that are refused because their wait has ended.
constexpr base::Duration DefaultRetryAfter = base::milliseconds(500);

} // namespace

LimitClient::LimitClient(const LimitOptions &Options, LimiterRoute &Route,
                         IdGenerator &Ids, LimitCounters &Counters)
    : m_Options(Options), m_Route(Route), m_Ids(Ids), m_Counters(Counters) {}

LimitClient::Demand &
LimitClient::demand(const base::OrganisationId &Organisation) {
  const auto It = m_Demands.find(Organisation);
  if (It != m_Demands.end())
    return It->second;
  Demand &Added = m_Demands[Organisation];
  Added.m_Organisation = Organisation;
  Added.m_Shard = static_cast<std::uint32_t>(
      base::stableHash(Organisation.str()) % m_Options.m_Shards);
  return Added;
}

std::uint32_t LimitClient::shardOf(const base::OrganisationId &Organisation) {
  return demand(Organisation).m_Shard;
}

bool LimitClient::hasWaiting(const base::OrganisationId &Organisation) const {
  const auto It = m_Demands.find(Organisation);
  return It != m_Demands.end() && !It->second.m_PendingRequests.empty();
}

void LimitClient::decide(LimitDecision Decision) {
  if (Decision.m_Admitted)
    ++m_Counters.m_Admitted;
  else
    ++m_Counters.m_Refused;
  m_Decisions.push_back(Decision);
}

void LimitClient::countArrival(Demand &OrgDemand, base::TimePoint Now) {
  if (Now >= OrgDemand.m_ArrivalWindowStart + ArrivalWindow) {
    const bool Adjacent =
        Now < OrgDemand.m_ArrivalWindowStart + 2 * ArrivalWindow;
    OrgDemand.m_PreviousArrivals = Adjacent ? OrgDemand.m_Arrivals : 0;
    OrgDemand.m_Arrivals = 0;
    OrgDemand.m_ArrivalWindowStart = Now;
  }
  ++OrgDemand.m_Arrivals;
}

void LimitClient::admit(std::uint64_t Ticket,
                        const base::OrganisationId &Organisation,
                        base::TimePoint Deadline, base::TimePoint Now) {
  Demand &OrgDemand = demand(Organisation);
  countArrival(OrgDemand, Now);
  if (OrgDemand.m_PendingRequests.empty() &&
      consumeUnusedToken(OrgDemand, Now)) {
    decide({.m_Ticket = Ticket, .m_Admitted = true});
    return;
  }
  if (Now < OrgDemand.m_RefuseUntil || Now >= Deadline) {
    decide({.m_Ticket = Ticket,
            .m_Admitted = false,
            .m_RetryAfter = Now >= Deadline ? DefaultRetryAfter
                                            : OrgDemand.m_RefuseUntil - Now});
    return;
  }
  OrgDemand.m_PendingRequests.push_back(
      {.m_Ticket = Ticket,
       .m_WaitDeadline = std::min(Deadline, Now + m_Options.m_MaxClientWait)});
  requestTokens(OrgDemand, Now);
}

void LimitClient::cancel(std::uint64_t Ticket) {
  for (auto &[Organisation, OrgDemand] : m_Demands) {
    const auto ErasedCount = std::erase_if(OrgDemand.m_PendingRequests,
                                           [&](const PendingRequest &Request) {
                                             return Request.m_Ticket == Ticket;
                                           });
    if (ErasedCount > 0)
      return;
  }
}

bool LimitClient::consumeUnusedToken(Demand &OrgDemand, base::TimePoint Now) {
  for (UnusedTokens &Tokens : OrgDemand.m_UnusedTokens) {
    if (Tokens.m_Unused == 0 || Now >= Tokens.m_ValidUntil)
      continue;
    --Tokens.m_Unused;
    ++Tokens.m_Used;
    addReport(OrgDemand, Tokens, 0);
    return true;
  }
  return false;
}

void LimitClient::requestTokens(Demand &OrgDemand, base::TimePoint Now) {
  std::size_t RequestedCount = 0;
  for (const TokenRequest &Sent : OrgDemand.m_TokenRequests) {
    if (Sent.m_TimedOut)
      continue;
    if (!Sent.m_Answered)
      return; // More are requested once this one is answered.
    RequestedCount += Sent.m_UnansweredTokens;
  }
  if (OrgDemand.m_PendingRequests.size() <= RequestedCount ||
      Now < OrgDemand.m_RequestNotBefore)
    return;
  const auto Limiter =
      m_Route.limiter(OrgDemand.m_Shard, OrgDemand.m_Attempt, Now);
  if (!Limiter) {
    OrgDemand.m_Attempt = 0;
    OrgDemand.m_RequestNotBefore = Now + RetryPause;
    return;
  }
  messages::TokenAsk Request;
  Request.set_request(m_Ids.next());
  Request.set_organisation(OrgDemand.m_Organisation.str());
  const auto Needed = static_cast<std::uint32_t>(
      OrgDemand.m_PendingRequests.size() - RequestedCount);
  Request.set_needed(Needed);
  if (*Limiter != m_Options.m_Self)
    Request.set_extra(
        std::min(MaxPrefetchTokens, OrgDemand.m_PreviousArrivals / 2));
  const base::TimePoint WaitDeadline =
      OrgDemand.m_PendingRequests.back().m_WaitDeadline;
  Request.set_wait_us(static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, (WaitDeadline - Now).count())));
  OrgDemand.m_TokenRequests.push_back({.m_Id = Request.request(),
                                       .m_Limiter = *Limiter,
                                       .m_RequestedAt = Now,
                                       .m_UnansweredTokens = Needed,
                                       .m_Answered = false,
                                       .m_TimedOut = false,
                                       .m_SeenSequences = {}});
  m_OutgoingRequests.push_back(
      {.m_To = *Limiter, .m_Request = std::move(Request)});
}

void LimitClient::requestFromNextLimiter(Demand &OrgDemand,
                                         base::TimePoint Now) {
  ++OrgDemand.m_Attempt;
  requestTokens(OrgDemand, Now);
}

void LimitClient::onReply(const base::InstanceId &From,
                          const messages::TokenReply &Reply,
                          base::TimePoint Now) {
  const auto DemandIt =
      m_Demands.find(base::OrganisationId(Reply.organisation()));
  if (DemandIt == m_Demands.end())
    return;
  Demand &OrgDemand = DemandIt->second;
  const auto RequestIt = std::find_if(
      OrgDemand.m_TokenRequests.begin(), OrgDemand.m_TokenRequests.end(),
      [&](const TokenRequest &Request) {
        return Request.m_Id == Reply.request() && Request.m_Limiter == From;
      });
  if (RequestIt == OrgDemand.m_TokenRequests.end() ||
      !RequestIt->m_SeenSequences.insert(Reply.sequence()).second)
    return;
  RequestIt->m_Answered = true;
  const base::TimePoint RequestedAt = RequestIt->m_RequestedAt;
  const bool TimedOut = RequestIt->m_TimedOut;
  const std::uint32_t Refused =
      std::min(Reply.refused(), RequestIt->m_UnansweredTokens);
  RequestIt->m_UnansweredTokens -= Refused;
  RequestIt->m_UnansweredTokens -=
      std::min(RequestIt->m_UnansweredTokens, Reply.granted());
  if (Reply.not_holder())
    RequestIt->m_UnansweredTokens = 0;
  if (RequestIt->m_UnansweredTokens == 0)
    OrgDemand.m_TokenRequests.erase(RequestIt);
  if (Reply.granted() > 0) {
    const base::Duration Validity =
        std::min(base::Duration(static_cast<std::int64_t>(Reply.valid_us())),
                 m_Options.m_TokenValidity);
    receiveGrant(
        OrgDemand,
        {.m_Limiter = From,
         .m_GrantId = Reply.grant(),
         .m_Unused = Reply.granted(),
         .m_Used = 0,
         .m_ReturnAt = Now + m_Options.m_TokenValidity / ReturnAfterDivisor,
         .m_ValidUntil =
             RequestedAt + shortenedForDrift(Validity, m_Options.m_ClockDrift)},
        Now);
    if (!TimedOut)
      OrgDemand.m_Attempt = 0;
  }
  if (Refused > 0 && !TimedOut) {
    const base::Duration RetryAfter(
        static_cast<std::int64_t>(Reply.retry_after_us()));
    refuseNewest(OrgDemand, Refused, RetryAfter);
    OrgDemand.m_RefuseUntil = Now + std::min(RetryAfter, MaxLocalRefusalTime);
    OrgDemand.m_Attempt = 0;
  }
  if (Reply.not_holder() && !TimedOut)
    requestFromNextLimiter(OrgDemand, Now);
  else
    requestTokens(OrgDemand, Now);
}

void LimitClient::receiveGrant(Demand &OrgDemand, UnusedTokens Tokens,
                               base::TimePoint Now) {
  if (Now >= Tokens.m_ValidUntil) {
    m_Counters.m_TokensExpired += Tokens.m_Unused;
    return;
  }
  while (Tokens.m_Unused > 0 && !OrgDemand.m_PendingRequests.empty()) {
    decide({.m_Ticket = OrgDemand.m_PendingRequests.front().m_Ticket,
            .m_Admitted = true});
    OrgDemand.m_PendingRequests.pop_front();
    --Tokens.m_Unused;
    ++Tokens.m_Used;
  }
  if (Tokens.m_Used > 0)
    addReport(OrgDemand, Tokens, 0);
  if (Tokens.m_Unused > 0)
    OrgDemand.m_UnusedTokens.push_back(Tokens);
}

void LimitClient::refuseNewest(Demand &OrgDemand, std::uint32_t Count,
                               base::Duration RetryAfter) {
  for (; Count > 0 && !OrgDemand.m_PendingRequests.empty(); --Count) {
    decide({.m_Ticket = OrgDemand.m_PendingRequests.back().m_Ticket,
            .m_Admitted = false,
            .m_RetryAfter = RetryAfter});
    OrgDemand.m_PendingRequests.pop_back();
  }
}

void LimitClient::addReport(const Demand &OrgDemand, const UnusedTokens &Tokens,
                            std::uint32_t Returned) {
  messages::UsageReport Report;
  Report.set_organisation(OrgDemand.m_Organisation.str());
  Report.set_grant(Tokens.m_GrantId);
  Report.set_used(Tokens.m_Used);
  Report.set_returned(Returned);
  m_Reports.push_back(
      {.m_To = Tokens.m_Limiter, .m_Report = std::move(Report)});
}

void LimitClient::refuseExpired(Demand &OrgDemand, base::TimePoint Now) {
  std::erase_if(OrgDemand.m_PendingRequests,
                [&](const PendingRequest &Request) {
                  if (Now < Request.m_WaitDeadline)
                    return false;
                  decide({.m_Ticket = Request.m_Ticket,
                          .m_Admitted = false,
                          .m_RetryAfter = DefaultRetryAfter});
                  return true;
                });
}

void LimitClient::abandonTimedOut(Demand &OrgDemand, base::TimePoint Now) {
  bool AnyTimedOut = false;
  for (TokenRequest &Request : OrgDemand.m_TokenRequests) {
    const base::Duration Timeout =
        Request.m_Answered
            ? m_Options.m_MaxLimiterWait + 2 * m_Options.m_RequestTimeout
            : m_Options.m_RequestTimeout;
    if (Request.m_TimedOut || Now < Request.m_RequestedAt + Timeout)
      continue;
    Request.m_TimedOut = true;
    Request.m_UnansweredTokens = 0;
    AnyTimedOut = true;
  }
  std::erase_if(OrgDemand.m_TokenRequests, [&](const TokenRequest &Request) {
    return Now >= Request.m_RequestedAt + m_Options.m_TokenValidity;
  });
  if (AnyTimedOut)
    requestFromNextLimiter(OrgDemand, Now);
}

void LimitClient::returnUnusedTokens(Demand &OrgDemand, base::TimePoint Now) {
  std::erase_if(OrgDemand.m_UnusedTokens, [&](UnusedTokens &Tokens) {
    if (Tokens.m_Unused == 0)
      return true;
    if (Now >= Tokens.m_ValidUntil) {
      m_Counters.m_TokensExpired += Tokens.m_Unused;
      return true;
    }
    if (Now < Tokens.m_ReturnAt)
      return false;
    m_Counters.m_TokensReturned += Tokens.m_Unused;
    addReport(OrgDemand, Tokens, Tokens.m_Unused);
    return true;
  });
}

void LimitClient::onTick(base::TimePoint Now) {
  for (auto &[Organisation, OrgDemand] : m_Demands) {
    if (OrgDemand.m_PendingRequests.empty() &&
        OrgDemand.m_TokenRequests.empty() && OrgDemand.m_UnusedTokens.empty())
      continue;
    refuseExpired(OrgDemand, Now);
    abandonTimedOut(OrgDemand, Now);
    returnUnusedTokens(OrgDemand, Now);
    requestTokens(OrgDemand, Now);
  }
}

std::vector<OutgoingTokenRequest> LimitClient::takeTokenRequests() {
  return std::exchange(m_OutgoingRequests, {});
}

std::vector<OutgoingUsageReport> LimitClient::takeReports() {
  return std::exchange(m_Reports, {});
}

std::vector<LimitDecision> LimitClient::takeDecisions() {
  return std::exchange(m_Decisions, {});
}

} // namespace psp::limits
