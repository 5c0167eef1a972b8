/// \file
/// The token bucket of one organisation in one data centre. It also counts the
/// outstanding tokens: those that were granted or lent to other processes and
/// may still be used there.
///
/// Why no time window ever exceeds the limit
/// -----------------------------------------
/// Each data centre d has a slice (b_d, r_d) of the organisation's burst B and
/// rate R, with sum(b_d) = B and sum(r_d) = R. At most one limiter holds the
/// slice at a time (LeaseVoter.h). For it, let
///   L = the level,
///   H = the outstanding tokens, which it granted or lent and which may still
///       be used by another process.
/// Every change of the bucket preserves the invariant
///   L + H <= b_d                                                          (1)
/// (after the slice was reduced, H > b_d is possible for one token validity
/// period, and L = 0 then), and L grows by accrual only, by at most r_d per
/// second of true time, since the rate is reduced by the maximum clock error.
///
/// An amount leaves H only when it can no longer be used as tokens of this
/// slice: it has been used, was returned to L, has expired, or was added to the
/// L of another slice under (1) there. A grant expires at the requester
/// before the limiter stops counting it, because the requester measures the
/// validity from before it sent the request, and the limiter from after that.
/// The same holds for a loan. Neither outlives the limiter's lease, so that a
/// successor begins with L = H = 0 and no other tokens of the slice are left.
///
/// Take a window from s to s + t of true time. A token used in it was, at s,
/// in some L, or in some H, or not accrued yet. With (1) at the moment s:
///   used <= sum(L_d(s) + H_d(s)) + sum(r_d) * t <= B + R * t.
/// A takeover inside the window doesn't change this: the successor adds r_d
/// times the time since its lease began, the predecessor r_d times the time
/// until its lease ended.

#ifndef PSP_LIMITS_TOKENBUCKET_H
#define PSP_LIMITS_TOKENBUCKET_H

#include "base/Time.h"

#include <compare>
#include <cstdint>

namespace psp::limits {

/// Millionths of a token.
using MicroTokens = std::int64_t;

inline constexpr MicroTokens OneToken = 1'000'000;

/// A data centre's share of an organisation's rate and burst.
struct Slice {
  MicroTokens m_RatePerSecond = 0;
  MicroTokens m_Burst = 0;

  auto operator<=>(const Slice &) const = default;
};

class TokenBucket {
public:
  /// Creates an empty bucket that accrues from \p Start.
  TokenBucket(Slice Initial, base::TimePoint Start);

  /// Replaces the slice. A level above the new burst less the outstanding
  /// tokens is reduced to that.
  void setSlice(Slice Next, base::TimePoint Now);

  /// Adds the tokens that have accrued up to \p Now. Every change below does
  /// this first: tokens that accrue while (1) leaves no headroom are lost, and
  /// must not be added later when there is headroom again.
  void accrue(base::TimePoint Now);

  /// Takes \p Amount out of the level for immediate use.
  void consume(MicroTokens Amount, base::TimePoint Now);
  /// Moves \p Amount from the level to the outstanding tokens, for later use by
  /// another process.
  void transferOut(MicroTokens Amount, base::TimePoint Now);
  /// Removes \p Amount of the outstanding tokens, which can't be used any more.
  void settle(MicroTokens Amount, base::TimePoint Now);
  /// Moves \p Amount of the outstanding tokens, which were returned, back into
  /// the level. The part for which there is no headroom is lost.
  void restore(MicroTokens Amount, base::TimePoint Now);
  /// Adds as much of \p Amount to the level as there is headroom, and returns
  /// the amount added.
  MicroTokens absorb(MicroTokens Amount, base::TimePoint Now);

  MicroTokens level() const { return m_Level; }
  MicroTokens outstanding() const { return m_Outstanding; }
  const Slice &slice() const { return m_Slice; }

  /// Time from the last accrual until the level reaches \p Wanted.
  base::Duration timeUntil(MicroTokens Wanted) const;

private:
  /// The amount by which the level may grow under (1).
  MicroTokens headroom() const;
  /// Checks (1).
  void check() const;

  Slice m_Slice;
  MicroTokens m_Level = 0;
  MicroTokens m_Outstanding = 0;
  std::int64_t m_Remainder = 0; ///< Accrued, in millionths of a MicroToken.
  base::TimePoint m_AccruedAt;
};

} // namespace psp::limits

#endif
