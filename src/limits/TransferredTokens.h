/// \file
/// The tokens that a limiter has transferred to other processes and counts
/// until each is reported as used or returned, or has expired: grants to entry
/// instances, and loans to other limiters.

#ifndef PSP_LIMITS_TRANSFERREDTOKENS_H
#define PSP_LIMITS_TRANSFERREDTOKENS_H

#include "generated/limits.pb.h"
#include "limits/TokenBucket.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace psp::limits {

/// The part of one bucket's outstanding tokens that is no longer outstanding.
struct Settlement {
  TokenBucket *m_Bucket = nullptr;
  MicroTokens m_Settled = 0;  ///< Used or expired.
  MicroTokens m_Returned = 0; ///< Returned unused.

  auto operator<=>(const Settlement &) const = default;
};

/// Applies \p Change to its bucket.
void applySettlement(const Settlement &Change, base::TimePoint Now);

/// The outstanding transfers of one limiter, either grants or loans. Each is
/// backed by the same amount among the outstanding tokens of its bucket.
class TransferredTokens {
public:
  /// \p Unit is the amount for which one unit of a usage report stands. A
  /// transfer expires \p TokenValidity after it was added.
  TransferredTokens(MicroTokens Unit, base::Duration TokenValidity)
      : m_Unit(Unit), m_TokenValidity(TokenValidity) {}

  /// Adds the transfer \p Id, which is backed by \p Amount of the outstanding
  /// tokens of \p Bucket.
  void add(std::uint64_t Id, TokenBucket &Bucket, MicroTokens Amount,
           base::TimePoint Now);

  /// Applies a usage report of the receiver. Returns the resulting change for
  /// the bucket, which the caller applies.
  Settlement report(const messages::UsageReport &Report);

  /// Removes the transfers that have expired at \p Now and returns the
  /// resulting changes, which the caller applies.
  std::vector<Settlement> expire(base::TimePoint Now);

  bool empty() const { return m_Transfers.empty(); }
  std::size_t size() const { return m_Transfers.size(); }

private:
  struct Transfer {
    TokenBucket *m_Bucket = nullptr;
    MicroTokens m_Outstanding = 0;
    std::uint64_t m_Used = 0;
    std::uint64_t m_Returned = 0;
  };
  struct Expiry {
    base::TimePoint m_At;
    std::uint64_t m_Id = 0;
  };

  MicroTokens m_Unit;
  base::Duration m_TokenValidity;
  std::unordered_map<std::uint64_t, Transfer> m_Transfers;
  std::deque<Expiry> m_Expiries; ///< Earliest first.
};

} // namespace psp::limits

#endif
