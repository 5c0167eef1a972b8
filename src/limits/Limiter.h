/// \file
/// The limiter role of one shard in one data centre: the token buckets of the
/// shard's organisations, the waiting token requests, and the loans to and from
/// other data centres. It exists while this process holds the shard's lease.

#ifndef PSP_LIMITS_LIMITER_H
#define PSP_LIMITS_LIMITER_H

#include "limits/Account.h"
#include "limits/RateTable.h"
#include "limits/TransferredTokens.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace psp::limits {

/// Generates ids that no other message of any run of any process uses.
class IdGenerator {
public:
  IdGenerator(const base::InstanceId &Self, std::uint64_t Incarnation);
  std::uint64_t next() { return ++m_Last; }

private:
  std::uint64_t m_Last;
};

/// Options and state that a limiter shares with the rest of its process.
struct LimiterContext {
  const LimitOptions &m_Options;
  const RateTable &m_Rates;
  std::size_t m_DataCentres = 1; ///< Number of those that have a slice.
  std::size_t m_OwnPosition = 0;
  IdGenerator &m_Ids;
  LimitCounters &m_Counters;
};

/// A reply to be sent to \c m_To.
struct OutgoingTokenReply {
  base::InstanceId m_To;
  messages::TokenReply m_Reply;
};

/// A request for a loan, to be sent to the limiter of a data centre.
struct OutgoingLoanRequest {
  std::size_t m_DataCentre = 0; ///< By position.
  messages::LoanAsk m_Request;
};
/// A usage report on a loan, to be sent to the lender.
struct OutgoingLoanReport {
  base::InstanceId m_To;
  messages::UsageReport m_Report;
};

class Limiter {
public:
  /// Starts with empty buckets that accrue from \p Start, when the lease was
  /// acquired.
  Limiter(LimiterContext Context, std::uint32_t Shard, base::TimePoint Start);

  /// Sets the time at which the lease expires.
  void setLeaseExpiry(base::TimePoint ExpiresAt) {
    m_LeaseExpiresAt = ExpiresAt;
  }

  /// Takes one token for immediate use by a request of this process. Returns
  /// false when there is none or other requests wait for one.
  bool tryConsume(const base::OrganisationId &Organisation,
                  base::TimePoint Now);

  void onRequest(const base::InstanceId &From,
                 const messages::TokenAsk &Request, base::TimePoint Now);
  void onReport(const messages::UsageReport &Report, base::TimePoint Now);

  messages::LoanReply onLoanRequest(const messages::LoanAsk &Request,
                                    base::TimePoint Now);
  void onLoanReply(const base::InstanceId &From,
                   const messages::LoanReply &Reply, std::size_t Lender,
                   base::TimePoint Now);
  void onLoanReport(const messages::UsageReport &Report, base::TimePoint Now);

  /// Replies "not holder" to all waiting requests, since the lease is ending,
  /// so that they go to another limiter.
  void redirectWaitingRequests();

  /// Applies the slices in force to all buckets.
  void onRatesChanged(base::TimePoint Now);
  void onTick(base::TimePoint Now);

  /// Whether a grant or loan made now expires before the lease does.
  bool canTransfer(base::TimePoint Now) const {
    return Now + m_Context.m_Options.m_TokenValidity <= m_LeaseExpiresAt;
  }
  /// Whether no grant or loan is outstanding.
  bool isSettled() const {
    return m_OutstandingGrants.empty() && m_OutstandingLoans.empty();
  }

  std::vector<OutgoingTokenReply> takeReplies();
  std::vector<OutgoingLoanRequest> takeLoanRequests();
  std::vector<OutgoingLoanReport> takeLoanReports();

  /// The level of \p Organisation's bucket at its last change.
  MicroTokens level(const base::OrganisationId &Organisation) const;
  std::size_t accounts() const { return m_Accounts.size(); }

private:
  Account *account(const base::OrganisationId &Organisation,
                   base::TimePoint Now);
  void serveWaitingRequests(Account &OrgAccount, base::TimePoint Now);
  void grantWaiting(Account &OrgAccount, base::TimePoint Now);
  Borrowing &borrowing(Account &OrgAccount, base::TimePoint Now);
  void borrow(Account &OrgAccount, base::TimePoint Now);
  void rebalance(Account &OrgAccount, base::TimePoint Now);
  void requestLoan(Account &OrgAccount, std::size_t Lender, MicroTokens Needed,
                   MicroTokens Extra, base::TimePoint Now);
  void refuseUnservable(Account &OrgAccount, base::TimePoint Now);
  void refuse(Account &OrgAccount, WaitingRequest &Waiting,
              std::uint32_t Count);
  void settleReceivedLoans(Account &OrgAccount, base::TimePoint Now);
  void expireBorrowing(Account &OrgAccount, base::TimePoint Now);
  std::uint32_t grant(Account &OrgAccount, WaitingRequest &Waiting,
                      std::uint32_t Count, base::TimePoint Now);
  messages::TokenReply &reply(const Account &OrgAccount,
                              WaitingRequest &Waiting);
  void addLoanReport(const Account &OrgAccount, const ReceivedLoan &Loan);

  LimiterContext m_Context;
  std::uint32_t m_Shard;
  base::TimePoint m_Start;
  base::TimePoint m_LeaseExpiresAt;
  /// Accounts are never removed, since outstanding transfers point to buckets.
  std::unordered_map<base::OrganisationId, Account> m_Accounts;
  TransferredTokens m_OutstandingGrants;
  TransferredTokens m_OutstandingLoans;
  std::vector<OutgoingTokenReply> m_Replies;
  std::vector<OutgoingLoanRequest> m_LoanRequests;
  std::vector<OutgoingLoanReport> m_LoanReports;
};

} // namespace psp::limits

#endif
