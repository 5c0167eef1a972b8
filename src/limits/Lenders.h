/// \file
/// A limiter's estimates of what the limiters of the other data centres could
/// lend for one organisation, and when it may send them the next request.

#ifndef PSP_LIMITS_LENDERS_H
#define PSP_LIMITS_LENDERS_H

#include "limits/FleetTopology.h"
#include "limits/TokenBucket.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace psp::limits {

/// The range of the pause after a failed request, which doubles each time.
struct BackOff {
  base::Duration m_Initial{0};
  base::Duration m_Max{0};

  auto operator<=>(const BackOff &) const = default;
};

/// Lenders are identified by the position of their data centre. Every lender's
/// slice is assumed to equal the own one. A lender that had nothing to lend
/// gets no request for a pause that doubles each time, so that an organisation
/// at several times its rate doesn't cause a flood of messages.
class Lenders {
public:
  Lenders(std::size_t DataCentres, std::size_t OwnPosition, BackOff PauseRange,
          base::TimePoint Start);

  /// The lender with the highest estimated level, if the estimates of all that
  /// may get a request now add up to at least \p Missing. Otherwise the one
  /// with the oldest estimate, if that is due for a check.
  std::optional<std::size_t> chooseLender(MicroTokens Missing,
                                          const Slice &OwnSlice,
                                          base::TimePoint Now) const;

  /// The lender with the highest estimated level of those that may get a
  /// request now, if it is at least \p MinLevel.
  std::optional<std::size_t> fullestLender(MicroTokens MinLevel,
                                           const Slice &OwnSlice,
                                           base::TimePoint Now) const;

  /// The estimated level of \p Lender at \p Now.
  MicroTokens estimatedLevel(std::size_t Lender, const Slice &OwnSlice,
                             base::TimePoint Now) const {
    return levelAt(m_Estimates[Lender], OwnSlice, Now);
  }

  /// The sum of the levels, as estimated for \p When, of the lenders that may
  /// get a request at \p Now.
  MicroTokens estimatedTotal(const Slice &OwnSlice, base::TimePoint Now,
                             base::TimePoint When) const;

  /// Whether all lenders together may lend at least \p Missing. Those that may
  /// only get a request later count with the level of their last estimate.
  bool mayLendLater(MicroTokens Missing, const Slice &OwnSlice,
                    base::TimePoint Now) const;

  /// The lender lent \p Lent and has \p LenderLevel left.
  void onReply(std::size_t Lender, MicroTokens Lent, MicroTokens LenderLevel,
               base::TimePoint Now);
  /// The instance that got the request is not the limiter of its data centre.
  /// After the first such reply the right one may get a request at once.
  void onNotHolder(std::size_t Lender, base::TimePoint Now);
  /// The lender could not be reached, sent no reply in time, or had nothing to
  /// lend.
  void onFailure(std::size_t Lender, base::TimePoint Now);

private:
  struct LenderEstimate {
    std::optional<MicroTokens> m_Level; ///< Unset: assumed to be full.
    base::TimePoint m_UpdatedAt;
    base::TimePoint m_NotBefore; ///< Of the next request.
    base::Duration m_NextPause{0};
    bool m_Redirected = false; ///< Since its last loan.
  };

  std::optional<std::size_t> leastRecentlyUpdated(base::TimePoint Now) const;
  MicroTokens levelAt(const LenderEstimate &Estimate, const Slice &OwnSlice,
                      base::TimePoint Now) const;

  std::size_t m_OwnPosition;
  BackOff m_PauseRange;
  std::vector<LenderEstimate> m_Estimates; ///< By position.
};

} // namespace psp::limits

#endif
