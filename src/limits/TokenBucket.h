/// \file
/// The token bucket of one organisation in one data centre, which also counts
/// the tokens that were given away and may still be used.
///
/// Why no window is ever exceeded
/// ------------------------------
/// Each data centre d has a slice (b_d, r_d) of the organisation's burst B and
/// rate R, with sum(b_d) = B and sum(r_d) = R. At most one limiter holds the
/// slice at a time (LeaseVoter.h). For it, let
///   L = the level,
///   H = what it granted or lent that may still be used by someone else.
/// Every change of the bucket keeps
///   L + H <= b_d                                                          (1)
/// (a smaller slice may leave H > b_d for one hold time, and L = 0 then), and
/// L grows by accrual only, by at most r_d a second of true time: the rate is
/// reduced by the clock's possible error.
///
/// A unit leaves H only when it can't be used later as far as this slice is
/// concerned: it was used before, was handed back into L, has run out, or was
/// taken into another slice's L under (1) there. A grant runs out before the
/// limiter stops counting it, since the asker's clock starts before it asked
/// and the limiter's after that; a loan likewise; and neither outlives the
/// limiter's lease, so that a successor begins with L = H = 0 and nothing else
/// of the slice is left.
///
/// Take a window from s to s + t of true time. A token used in it was, at s,
/// in some L, or in some H, or not accrued yet. With (1) at the moment s:
///   used <= sum(L_d(s) + H_d(s)) + sum(r_d) * t <= B + R * t.
/// A takeover inside the window changes nothing: the successor adds r_d times
/// the time since it began, the predecessor r_d times the time until it ended.

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
  /// An empty bucket that accrues from \p Start.
  TokenBucket(Slice Share, base::TimePoint Start);

  /// Changes the slice from now on.
  void setSlice(Slice Share, base::TimePoint Now);

  /// Adds what has accrued up to \p Now. Every change below does this first:
  /// what accrues while (1) leaves no room is lost, and must not be made up
  /// for when there is room again.
  void accrue(base::TimePoint Now);

  /// Takes \p Amount out of the level, to be used at this moment.
  void use(MicroTokens Amount, base::TimePoint Now);
  /// Takes \p Amount out of the level, to be used by someone else later.
  void hold(MicroTokens Amount, base::TimePoint Now);
  /// \p Amount of what was held can't be used any more.
  void settle(MicroTokens Amount, base::TimePoint Now);
  /// \p Amount of what was held comes back into the level.
  void restore(MicroTokens Amount, base::TimePoint Now);
  /// Adds as much of \p Amount as the slice has room for, and returns that.
  MicroTokens absorb(MicroTokens Amount, base::TimePoint Now);

  MicroTokens level() const { return m_Level; }
  MicroTokens held() const { return m_Held; }
  const Slice &slice() const { return m_Slice; }

  /// Time from the last accrual until the level reaches \p Wanted.
  base::Duration timeUntil(MicroTokens Wanted) const;

private:
  MicroTokens room() const;
  void check() const;

  Slice m_Slice;
  MicroTokens m_Level = 0;
  MicroTokens m_Held = 0;
  std::int64_t m_Remainder = 0; ///< Accrued, in millionths of MicroTokens.
  base::TimePoint m_AccruedAt;
};

} // namespace psp::limits

#endif
