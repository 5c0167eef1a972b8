#include "limits/LimitClient.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace psp::limits {
namespace {

/// Length of the window in which arrivals are counted.
constexpr base::Duration ArrivalWindow = base::milliseconds(50);

/// Most tokens that are asked for ahead of need.
constexpr std::uint32_t MaxExtra = 8;

/// Requests are refused without an ask for at most this long after a limiter
/// refused one.
constexpr base::Duration LongestQuietRefusal = base::milliseconds(10);

/// Pause after every limiter that could be asked was tried.
constexpr base::Duration RetryPause = base::milliseconds(25);

/// Unused tokens are handed back after this part of their validity.
constexpr int ReturnPart = 5;

constexpr base::Duration DefaultRetryAfter = base::milliseconds(500);

} // namespace

LimitClient::LimitClient(const LimitOptions &Options, LimiterRoute &Route,
                         IdSource &Ids, LimitCounters &Counters)
    : m_Options(Options), m_Route(Route), m_Ids(Ids), m_Counters(Counters) {}

LimitClient::Demand &
LimitClient::demand(const base::OrganisationId &Organisation) {
  const auto Found = m_Demands.find(Organisation);
  if (Found != m_Demands.end())
    return Found->second;
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
  const auto Found = m_Demands.find(Organisation);
  return Found != m_Demands.end() && !Found->second.m_Waiting.empty();
}

void LimitClient::decide(LimitDecision Decision) {
  if (Decision.m_Admitted)
    ++m_Counters.m_Admitted;
  else
    ++m_Counters.m_Refused;
  m_Decisions.push_back(Decision);
}

void LimitClient::countArrival(Demand &Of, base::TimePoint Now) {
  if (Now >= Of.m_WindowStart + ArrivalWindow) {
    const bool Adjacent = Now < Of.m_WindowStart + 2 * ArrivalWindow;
    Of.m_LastArrivals = Adjacent ? Of.m_Arrivals : 0;
    Of.m_Arrivals = 0;
    Of.m_WindowStart = Now;
  }
  ++Of.m_Arrivals;
}

void LimitClient::admit(std::uint64_t Ticket,
                        const base::OrganisationId &Organisation,
                        base::TimePoint Deadline, base::TimePoint Now) {
  Demand &Of = demand(Organisation);
  countArrival(Of, Now);
  if (Of.m_Waiting.empty() && useSpare(Of, Now)) {
    decide({.m_Ticket = Ticket, .m_Admitted = true});
    return;
  }
  if (Now < Of.m_RefuseUntil || Now >= Deadline) {
    decide({.m_Ticket = Ticket,
            .m_Admitted = false,
            .m_RetryAfter =
                Now >= Deadline ? DefaultRetryAfter : Of.m_RefuseUntil - Now});
    return;
  }
  Of.m_Waiting.push_back(
      {.m_Ticket = Ticket,
       .m_GiveUpAt = std::min(Deadline, Now + m_Options.m_MaxWait)});
  ask(Of, Now);
}

void LimitClient::cancel(std::uint64_t Ticket) {
  for (auto &[Organisation, Of] : m_Demands) {
    const auto Erased = std::erase_if(Of.m_Waiting, [&](const Pending &Each) {
      return Each.m_Ticket == Ticket;
    });
    if (Erased > 0)
      return;
  }
}

bool LimitClient::useSpare(Demand &Of, base::TimePoint Now) {
  for (Spare &Each : Of.m_Spares) {
    if (Each.m_Left == 0 || Now >= Each.m_ValidUntil)
      continue;
    --Each.m_Left;
    ++Each.m_Used;
    report(Of, Each, 0);
    return true;
  }
  return false;
}

void LimitClient::ask(Demand &Of, base::TimePoint Now) {
  std::size_t Asked = 0;
  for (const Request &Each : Of.m_Requests) {
    if (Each.m_Abandoned)
      continue;
    if (!Each.m_Answered)
      return; // More will be asked for once this one is answered.
    Asked += Each.m_Open;
  }
  if (Of.m_Waiting.size() <= Asked || Now < Of.m_AskNotBefore)
    return;
  const auto Limiter = m_Route.limiter(Of.m_Shard, Of.m_Attempt, Now);
  if (!Limiter) {
    Of.m_Attempt = 0;
    Of.m_AskNotBefore = Now + RetryPause;
    return;
  }
  messages::TokenAsk Ask;
  Ask.set_request(m_Ids.next());
  Ask.set_organisation(Of.m_Organisation.str());
  const auto Needed = static_cast<std::uint32_t>(Of.m_Waiting.size() - Asked);
  Ask.set_needed(Needed);
  if (*Limiter != m_Options.m_Self)
    Ask.set_extra(std::min(MaxExtra, Of.m_LastArrivals / 2));
  const base::TimePoint GiveUpAt = Of.m_Waiting.back().m_GiveUpAt;
  Ask.set_wait_us(static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, (GiveUpAt - Now).count())));
  Of.m_Requests.push_back({.m_Id = Ask.request(),
                           .m_Limiter = *Limiter,
                           .m_AskedAt = Now,
                           .m_Open = Needed,
                           .m_Answered = false,
                           .m_Abandoned = false,
                           .m_Seen = {}});
  m_Asks.push_back({.m_To = *Limiter, .m_Ask = std::move(Ask)});
}

void LimitClient::askNext(Demand &Of, base::TimePoint Now) {
  ++Of.m_Attempt;
  ask(Of, Now);
}

void LimitClient::onReply(const base::InstanceId &From,
                          const messages::TokenReply &Reply,
                          base::TimePoint Now) {
  const auto Known = m_Demands.find(base::OrganisationId(Reply.organisation()));
  if (Known == m_Demands.end())
    return;
  Demand &Of = Known->second;
  const auto Found = std::find_if(
      Of.m_Requests.begin(), Of.m_Requests.end(), [&](const Request &Each) {
        return Each.m_Id == Reply.request() && Each.m_Limiter == From;
      });
  if (Found == Of.m_Requests.end() ||
      !Found->m_Seen.insert(Reply.sequence()).second)
    return;
  Found->m_Answered = true;
  const base::TimePoint AskedAt = Found->m_AskedAt;
  const bool Abandoned = Found->m_Abandoned;
  const std::uint32_t Refused = std::min(Reply.refused(), Found->m_Open);
  Found->m_Open -= Refused;
  Found->m_Open -= std::min(Found->m_Open, Reply.granted());
  if (Reply.not_holder())
    Found->m_Open = 0;
  if (Found->m_Open == 0)
    Of.m_Requests.erase(Found);
  if (Reply.granted() > 0) {
    const base::Duration Valid =
        std::min(base::Duration(static_cast<std::int64_t>(Reply.valid_us())),
                 m_Options.m_HoldTime);
    take(Of,
         {.m_Limiter = From,
          .m_Grant = Reply.grant(),
          .m_Left = Reply.granted(),
          .m_Used = 0,
          .m_ReturnAt = Now + m_Options.m_HoldTime / ReturnPart,
          .m_ValidUntil = AskedAt + shortened(Valid, m_Options.m_ClockDrift)},
         Now);
    if (!Abandoned)
      Of.m_Attempt = 0;
  }
  if (Refused > 0 && !Abandoned) {
    const base::Duration RetryAfter(
        static_cast<std::int64_t>(Reply.retry_after_us()));
    refuseNewest(Of, Refused, RetryAfter);
    Of.m_RefuseUntil = Now + std::min(RetryAfter, LongestQuietRefusal);
    Of.m_Attempt = 0;
  }
  if (Reply.not_holder() && !Abandoned)
    askNext(Of, Now);
  else
    ask(Of, Now);
}

void LimitClient::take(Demand &Of, Spare Tokens, base::TimePoint Now) {
  if (Now >= Tokens.m_ValidUntil) {
    m_Counters.m_Dropped += Tokens.m_Left;
    return;
  }
  while (Tokens.m_Left > 0 && !Of.m_Waiting.empty()) {
    decide({.m_Ticket = Of.m_Waiting.front().m_Ticket, .m_Admitted = true});
    Of.m_Waiting.pop_front();
    --Tokens.m_Left;
    ++Tokens.m_Used;
  }
  if (Tokens.m_Used > 0)
    report(Of, Tokens, 0);
  if (Tokens.m_Left > 0)
    Of.m_Spares.push_back(Tokens);
}

void LimitClient::refuseNewest(Demand &Of, std::uint32_t Count,
                               base::Duration RetryAfter) {
  for (; Count > 0 && !Of.m_Waiting.empty(); --Count) {
    decide({.m_Ticket = Of.m_Waiting.back().m_Ticket,
            .m_Admitted = false,
            .m_RetryAfter = RetryAfter});
    Of.m_Waiting.pop_back();
  }
}

void LimitClient::report(const Demand &Of, const Spare &Tokens,
                         std::uint32_t Returned) {
  messages::UsageReport Report;
  Report.set_organisation(Of.m_Organisation.str());
  Report.set_grant(Tokens.m_Grant);
  Report.set_used(Tokens.m_Used);
  Report.set_returned(Returned);
  m_Reports.push_back(
      {.m_To = Tokens.m_Limiter, .m_Report = std::move(Report)});
}

void LimitClient::giveUpLate(Demand &Of, base::TimePoint Now) {
  std::erase_if(Of.m_Waiting, [&](const Pending &Each) {
    if (Now < Each.m_GiveUpAt)
      return false;
    decide({.m_Ticket = Each.m_Ticket,
            .m_Admitted = false,
            .m_RetryAfter = DefaultRetryAfter});
    return true;
  });
}

void LimitClient::abandonSilent(Demand &Of, base::TimePoint Now) {
  bool Silent = false;
  for (Request &Each : Of.m_Requests) {
    const base::Duration Patience =
        Each.m_Answered ? m_Options.m_LoanWait + 2 * m_Options.m_AskTimeout
                        : m_Options.m_AskTimeout;
    if (Each.m_Abandoned || Now < Each.m_AskedAt + Patience)
      continue;
    Each.m_Abandoned = true;
    Each.m_Open = 0;
    Silent = true;
  }
  std::erase_if(Of.m_Requests, [&](const Request &Each) {
    return Now >= Each.m_AskedAt + m_Options.m_HoldTime;
  });
  if (Silent)
    askNext(Of, Now);
}

void LimitClient::returnSpares(Demand &Of, base::TimePoint Now) {
  std::erase_if(Of.m_Spares, [&](Spare &Each) {
    if (Each.m_Left == 0)
      return true;
    if (Now >= Each.m_ValidUntil) {
      m_Counters.m_Dropped += Each.m_Left;
      return true;
    }
    if (Now < Each.m_ReturnAt)
      return false;
    m_Counters.m_Returned += Each.m_Left;
    report(Of, Each, Each.m_Left);
    return true;
  });
}

void LimitClient::onTick(base::TimePoint Now) {
  for (auto &[Organisation, Of] : m_Demands) {
    if (Of.m_Waiting.empty() && Of.m_Requests.empty() && Of.m_Spares.empty())
      continue;
    giveUpLate(Of, Now);
    abandonSilent(Of, Now);
    returnSpares(Of, Now);
    ask(Of, Now);
  }
}

std::vector<TokenAskTo> LimitClient::takeAsks() {
  return std::exchange(m_Asks, {});
}

std::vector<UsageReportTo> LimitClient::takeReports() {
  return std::exchange(m_Reports, {});
}

std::vector<LimitDecision> LimitClient::takeDecisions() {
  return std::exchange(m_Decisions, {});
}

} // namespace psp::limits
