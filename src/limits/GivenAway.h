/// \file
/// What a limiter gave away and must count until it is settled: tokens granted
/// to entry instances, and loans to other limiters.

#ifndef PSP_LIMITS_GIVENAWAY_H
#define PSP_LIMITS_GIVENAWAY_H

#include "generated/limits.pb.h"
#include "limits/TokenBucket.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace psp::limits {

/// How much of one bucket's held amount is no longer held.
struct Settlement {
  TokenBucket *m_Bucket = nullptr;
  MicroTokens m_Settled = 0;  ///< Used or run out.
  MicroTokens m_Returned = 0; ///< Handed back unused.

  auto operator<=>(const Settlement &) const = default;
};

/// Applies \p Change to its bucket.
void applySettlement(const Settlement &Change, base::TimePoint Now);

/// The gifts of one limiter that are not settled, each backed by an amount
/// that its bucket holds.
class GivenAway {
public:
  /// One unit of a report counts as \p Unit; \p HoldTime is how long a gift
  /// may be used.
  GivenAway(MicroTokens Unit, base::Duration HoldTime)
      : m_Unit(Unit), m_HoldTime(HoldTime) {}

  /// Remembers that \p Amount of what \p Bucket holds went out as \p Id.
  void add(std::uint64_t Id, TokenBucket &Bucket, MicroTokens Amount,
           base::TimePoint Now);

  /// What a report of the receiver changes.
  Settlement report(const messages::UsageReport &Report);

  /// What has run out by \p Now.
  std::vector<Settlement> expire(base::TimePoint Now);

  bool empty() const { return m_Gifts.empty(); }
  std::size_t size() const { return m_Gifts.size(); }

private:
  struct Gift {
    TokenBucket *m_Bucket = nullptr;
    MicroTokens m_Held = 0;
    std::uint64_t m_Used = 0;
    std::uint64_t m_Returned = 0;
  };
  struct Expiry {
    base::TimePoint m_At;
    std::uint64_t m_Id = 0;
  };

  MicroTokens m_Unit;
  base::Duration m_HoldTime;
  std::unordered_map<std::uint64_t, Gift> m_Gifts;
  std::deque<Expiry> m_Expiries; ///< Soonest first.
};

} // namespace psp::limits

#endif
