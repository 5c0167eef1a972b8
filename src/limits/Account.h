/// \file
/// What a limiter keeps for one organisation.

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

/// An ask that waits for tokens, or what is left of it.
struct Waiter {
  base::InstanceId m_Asker;
  std::uint64_t m_Request = 0;
  std::uint32_t m_Sequence = 0; ///< Of the next reply.
  std::uint32_t m_Count = 0;    ///< Tokens still wanted.
  base::TimePoint m_Received;
  base::TimePoint m_GiveUpAt;

  auto operator<=>(const Waiter &) const = default;
};

/// A loan that has arrived and isn't used up. The lender counts it until it
/// is reported as used or returned, or has run out.
struct Loan {
  base::InstanceId m_Lender;
  std::uint64_t m_Id = 0;
  MicroTokens m_Left = 0;
  MicroTokens m_Used = 0;     ///< Used, or taken into the own slice.
  MicroTokens m_Returned = 0; ///< Handed back.
  base::TimePoint m_Deadline;

  auto operator<=>(const Loan &) const = default;
};

/// A loan ask that was sent.
struct LoanRequest {
  std::uint64_t m_Request = 0;
  std::size_t m_Lender = 0; ///< Position of its data centre.
  base::TimePoint m_AskedAt;

  auto operator<=>(const LoanRequest &) const = default;
};

/// Borrowing for one organisation. Made when it is first needed.
struct Borrowing {
  Lenders m_Lenders;
  std::optional<std::uint64_t> m_Open; ///< The request that is waited for.
  std::vector<LoanRequest> m_Requests; ///< Those that may still be answered.
  std::vector<Loan> m_Pool;            ///< Oldest first.
  base::TimePoint m_BalanceNotBefore;
};

struct Account {
  base::OrganisationId m_Organisation;
  TokenBucket m_Bucket;
  std::vector<Waiter> m_Waiters; ///< Oldest first.
  std::uint32_t m_Waiting = 0;   ///< Tokens that all waiters want.
  std::unique_ptr<Borrowing> m_Borrowing;

  /// What can be granted at once: the level and the loans at hand.
  MicroTokens available() const {
    MicroTokens Sum = m_Bucket.level();
    if (m_Borrowing)
      for (const Loan &Each : m_Borrowing->m_Pool)
        Sum += Each.m_Left;
    return Sum;
  }
};

} // namespace psp::limits

#endif
