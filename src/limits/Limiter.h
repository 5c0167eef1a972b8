/// \file
/// The limiter role of one shard in one data centre: the token buckets of the
/// shard's organisations, the asks that wait, and loans both ways. It exists
/// while this process holds the shard's lease.

#ifndef PSP_LIMITS_LIMITER_H
#define PSP_LIMITS_LIMITER_H

#include "limits/Account.h"
#include "limits/GivenAway.h"
#include "limits/RateTable.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace psp::limits {

/// Numbers that no other message of any run of any process bears.
class IdSource {
public:
  IdSource(const base::InstanceId &Self, std::uint64_t Incarnation);
  std::uint64_t next() { return ++m_Last; }

private:
  std::uint64_t m_Last;
};

/// What a limiter shares with the rest of its process.
struct LimiterContext {
  const LimitOptions &m_Options;
  const RateTable &m_Rates;
  std::size_t m_DataCentres = 1; ///< That have a slice.
  std::size_t m_OwnPosition = 0;
  IdSource &m_Ids;
  LimitCounters &m_Counters;
};

/// A reply that is to be sent.
struct TokenReplyTo {
  base::InstanceId m_To;
  messages::TokenReply m_Reply;
};

/// A loan ask or the reports on loans for one data centre's limiter.
struct LoanAskTo {
  std::size_t m_DataCentre = 0; ///< By position.
  messages::LoanAsk m_Ask;
};
struct LoanReportTo {
  base::InstanceId m_To;
  messages::UsageReport m_Report;
};

class Limiter {
public:
  /// Starts empty and accrues from \p Start, when the lease was won.
  Limiter(LimiterContext Context, std::uint32_t Shard, base::TimePoint Start);

  /// The lease is held until \p End.
  void setLeaseEnd(base::TimePoint End) { m_LeaseEnd = End; }

  /// Takes one token for a request of this process, to be used at this
  /// moment. Returns false when there is none, or others wait for one.
  bool tryUse(const base::OrganisationId &Organisation, base::TimePoint Now);

  void onAsk(const base::InstanceId &From, const messages::TokenAsk &Ask,
             base::TimePoint Now);
  void onReport(const messages::UsageReport &Report, base::TimePoint Now);

  messages::LoanReply onLoanAsk(const messages::LoanAsk &Ask,
                                base::TimePoint Now);
  void onLoanReply(const base::InstanceId &From,
                   const messages::LoanReply &Reply, std::size_t Lender,
                   base::TimePoint Now);
  void onLoanReport(const messages::UsageReport &Report, base::TimePoint Now);

  /// Sends all that wait to another limiter, since the lease is ending.
  void dismissWaiters();

  /// Takes over the rates in force.
  void onRatesChanged(base::TimePoint Now);
  void onTick(base::TimePoint Now);

  /// Whether a gift made now runs out before the lease does.
  bool canGive(base::TimePoint Now) const {
    return Now + m_Context.m_Options.m_HoldTime <= m_LeaseEnd;
  }
  /// Whether nothing that it gave away can still be used.
  bool isSettled() const { return m_Grants.empty() && m_Loans.empty(); }

  std::vector<TokenReplyTo> takeReplies();
  std::vector<LoanAskTo> takeLoanAsks();
  std::vector<LoanReportTo> takeLoanReports();

  /// The level of \p Organisation's bucket when it last changed.
  MicroTokens level(const base::OrganisationId &Organisation) const;
  std::size_t accounts() const { return m_Accounts.size(); }

private:
  Account *account(const base::OrganisationId &Organisation,
                   base::TimePoint Now);
  void serve(Account &Of, base::TimePoint Now);
  void grantWaiting(Account &Of, base::TimePoint Now);
  Borrowing &borrowing(Account &Of, base::TimePoint Now);
  void borrow(Account &Of, base::TimePoint Now);
  void balance(Account &Of, base::TimePoint Now);
  void askForLoan(Account &Of, std::size_t Lender, MicroTokens Needed,
                  MicroTokens Extra, base::TimePoint Now);
  void refuseHopeless(Account &Of, base::TimePoint Now);
  void refuse(Account &Of, Waiter &From, std::uint32_t Count);
  void settlePool(Account &Of, base::TimePoint Now);
  void expireBorrowing(Account &Of, base::TimePoint Now);
  std::uint32_t grant(Account &Of, Waiter &To, std::uint32_t Count,
                      base::TimePoint Now);
  messages::TokenReply &reply(const Account &Of, Waiter &To);
  void addLoanReport(const Account &Of, const Loan &From);

  LimiterContext m_Context;
  std::uint32_t m_Shard;
  base::TimePoint m_Start;
  base::TimePoint m_LeaseEnd;
  /// Buckets are pointed to by gifts, so accounts are never removed.
  std::unordered_map<base::OrganisationId, Account> m_Accounts;
  GivenAway m_Grants;
  GivenAway m_Loans;
  std::vector<TokenReplyTo> m_Replies;
  std::vector<LoanAskTo> m_LoanAsks;
  std::vector<LoanReportTo> m_LoanReports;
};

} // namespace psp::limits

#endif
