/// \file
/// The state that a limiter keeps for one organisation.

#ifndef PSP_LIMITS_ACCOUNT_H
#define PSP_LIMITS_ACCOUNT_H

#include "base/Ids.h"
#include "limits/Lenders.h"
#include "limits/TokenBucket.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace psp::limits {

/// A token request (TokenAsk) that waits at the limiter, or the part of it that
/// isn't answered yet.
struct WaitingRequest {
  base::InstanceId m_Requester;
  std::uint64_t m_RequestId = 0;
  std::uint32_t m_NextSequence = 0; ///< Sequence number of the next reply.
  std::uint32_t m_TokensWanted = 0; ///< Neither granted nor refused yet.
  base::TimePoint m_ReceivedAt;
  base::TimePoint m_WaitDeadline; ///< What is still wanted then is refused.

  auto operator<=>(const WaitingRequest &) const = default;
};

/// A loan received from another data centre that isn't used up. The lender
/// counts it as outstanding until it is reported as used or returned, or has
/// expired.
struct ReceivedLoan {
  base::InstanceId m_Lender;
  std::uint64_t m_Id = 0;
  MicroTokens m_Unused = 0;
  MicroTokens m_Used = 0;     ///< Used, or added to the own bucket.
  MicroTokens m_Returned = 0; ///< Returned to the lender.
  base::TimePoint m_Deadline;

  auto operator<=>(const ReceivedLoan &) const = default;
};

/// A request for a loan (LoanAsk) that was sent.
struct LoanRequest {
  std::uint64_t m_RequestId = 0;
  std::size_t m_Lender = 0; ///< Position of the lender's data centre.
  base::TimePoint m_RequestedAt;

  auto operator<=>(const LoanRequest &) const = default;
};

/// The state of borrowing for one organisation, created when it is first
/// needed.
struct Borrowing {
  Lenders m_Lenders;
  /// The id of the request whose reply borrowing waits for, if any.
  std::optional<std::uint64_t> m_PendingRequest;
  std::vector<LoanRequest> m_Requests;       ///< May still be answered.
  std::vector<ReceivedLoan> m_ReceivedLoans; ///< Oldest first.
  base::TimePoint m_BalanceNotBefore; ///< Earliest time of the next balancing.
};

struct Account {
  base::OrganisationId m_Organisation;
  TokenBucket m_Bucket;
  std::vector<WaitingRequest> m_WaitingRequests; ///< Oldest first.
  std::uint32_t m_TotalTokensWanted = 0; ///< Sum over the waiting requests.
  std::unique_ptr<Borrowing> m_Borrowing;

  /// The amount that can be granted at once: the level of the bucket and the
  /// unused part of the received loans.
  MicroTokens available() const {
    MicroTokens Sum = m_Bucket.level();
    if (m_Borrowing)
      for (const ReceivedLoan &Loan : m_Borrowing->m_ReceivedLoans)
        Sum += Loan.m_Unused;
    return Sum;
  }
};

} // namespace psp::limits

#endif
