/// \file
/// The asking side of the rate limits in an entry instance: requests that wait
/// for a token, asks on their way to limiters, and tokens at hand.
///
/// A token must be used within its validity, counted from before it was asked
/// for, or it is dropped; the limiter relies on that. What became of each
/// token is reported, so that the limiter needn't count it any longer.

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

/// Says which limiter to ask.
class LimiterRoute {
public:
  virtual ~LimiterRoute() = default;

  /// The limiter to ask on the \p Attempt-th try, the data centre's own one
  /// first, or nothing when there is none left to try.
  virtual std::optional<base::InstanceId>
  limiter(std::uint32_t Shard, std::size_t Attempt, base::TimePoint Now) = 0;
};

struct TokenAskTo {
  base::InstanceId m_To;
  messages::TokenAsk m_Ask;
};
struct UsageReportTo {
  base::InstanceId m_To;
  messages::UsageReport m_Report;
};

class LimitClient {
public:
  /// All references must outlive this object.
  LimitClient(const LimitOptions &Options, LimiterRoute &Route, IdSource &Ids,
              LimitCounters &Counters);

  /// The shard of \p Organisation's limiters.
  std::uint32_t shardOf(const base::OrganisationId &Organisation);

  /// Whether requests of \p Organisation wait here.
  bool hasWaiting(const base::OrganisationId &Organisation) const;

  void admit(std::uint64_t Ticket, const base::OrganisationId &Organisation,
             base::TimePoint Deadline, base::TimePoint Now);
  void cancel(std::uint64_t Ticket);
  void onReply(const base::InstanceId &From, const messages::TokenReply &Reply,
               base::TimePoint Now);
  void onTick(base::TimePoint Now);

  std::vector<TokenAskTo> takeAsks();
  std::vector<UsageReportTo> takeReports();
  std::vector<LimitDecision> takeDecisions();

  /// Records the decision on a request that needed no ask.
  void decide(LimitDecision Decision);

private:
  struct Pending {
    std::uint64_t m_Ticket = 0;
    base::TimePoint m_GiveUpAt;
  };
  /// Tokens at hand.
  struct Spare {
    base::InstanceId m_Limiter;
    std::uint64_t m_Grant = 0;
    std::uint32_t m_Left = 0;
    std::uint32_t m_Used = 0;
    base::TimePoint m_ReturnAt;
    base::TimePoint m_ValidUntil;
  };
  struct Request {
    std::uint64_t m_Id = 0;
    base::InstanceId m_Limiter;
    base::TimePoint m_AskedAt;
    std::uint32_t m_Open = 0; ///< Tokens that the limiter still owes an answer.
    bool m_Answered = false;
    bool m_Abandoned = false;
    std::set<std::uint32_t> m_Seen; ///< Sequences of replies.
  };
  struct Demand {
    base::OrganisationId m_Organisation;
    std::uint32_t m_Shard = 0;
    std::deque<Pending> m_Waiting; ///< Oldest first.
    std::vector<Request> m_Requests;
    std::vector<Spare> m_Spares;
    std::size_t m_Attempt = 0;
    base::TimePoint m_AskNotBefore;
    base::TimePoint m_RefuseUntil;
    base::TimePoint m_WindowStart; ///< Of the count of arrivals.
    std::uint32_t m_Arrivals = 0;
    std::uint32_t m_LastArrivals = 0;
  };

  Demand &demand(const base::OrganisationId &Organisation);
  void countArrival(Demand &Of, base::TimePoint Now);
  bool useSpare(Demand &Of, base::TimePoint Now);
  void ask(Demand &Of, base::TimePoint Now);
  void askNext(Demand &Of, base::TimePoint Now);
  void take(Demand &Of, Spare Tokens, base::TimePoint Now);
  void refuseNewest(Demand &Of, std::uint32_t Count, base::Duration RetryAfter);
  void giveUpLate(Demand &Of, base::TimePoint Now);
  void abandonSilent(Demand &Of, base::TimePoint Now);
  void returnSpares(Demand &Of, base::TimePoint Now);
  void report(const Demand &Of, const Spare &Tokens, std::uint32_t Returned);

  const LimitOptions &m_Options;
  LimiterRoute &m_Route;
  IdSource &m_Ids;
  LimitCounters &m_Counters;
  std::unordered_map<base::OrganisationId, Demand> m_Demands;
  std::vector<TokenAskTo> m_Asks;
  std::vector<UsageReportTo> m_Reports;
  std::vector<LimitDecision> m_Decisions;
};

} // namespace psp::limits

#endif
