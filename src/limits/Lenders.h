/// \file
/// What a limiter believes that the other data centres' limiters could lend
/// for one organisation, and how soon it may ask them again.

#ifndef PSP_LIMITS_LENDERS_H
#define PSP_LIMITS_LENDERS_H

#include "limits/Fleet.h"
#include "limits/TokenBucket.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace psp::limits {

struct BackOff {
  base::Duration m_First{0};
  base::Duration m_Longest{0};

  auto operator<=>(const BackOff &) const = default;
};

/// Lenders are named by the position of their data centre. Every lender's
/// slice is taken to be like the own one. One that had nothing to lend is
/// left alone for a pause that doubles each time, so that an organisation at
/// several times its rate causes no storm of messages.
class Lenders {
public:
  Lenders(std::size_t DataCentres, std::size_t OwnPosition, BackOff Pause,
          base::TimePoint Start);

  /// The lender that is believed to have most, if all that may be asked now
  /// have at least \p Missing together; else one not heard of for a while.
  std::optional<std::size_t> choose(MicroTokens Missing, const Slice &Share,
                                    base::TimePoint Now) const;

  /// The lender that is believed to have most of those that may be asked now,
  /// if it has at least \p Least.
  std::optional<std::size_t> richest(MicroTokens Least, const Slice &Share,
                                     base::TimePoint Now) const;

  /// What \p Lender is believed to have now.
  MicroTokens levelOf(std::size_t Lender, const Slice &Share,
                      base::TimePoint Now) const {
    return estimate(m_Beliefs[Lender], Share, Now);
  }

  /// What the lenders that may be asked now are believed to have at \p When.
  MicroTokens expected(const Slice &Share, base::TimePoint Now,
                       base::TimePoint When) const;

  /// Whether a lender that may only be asked later had at least \p Missing
  /// when it was last heard of.
  bool mayHelpLater(MicroTokens Missing, const Slice &Share,
                    base::TimePoint Now) const;

  /// \p Lent arrived, and \p Left stayed with the lender.
  void onReply(std::size_t Lender, MicroTokens Lent, MicroTokens Left,
               base::TimePoint Now);
  /// The instance that was asked is not the limiter there. The first time the
  /// right one may be asked at once.
  void onNotHolder(std::size_t Lender, base::TimePoint Now);
  /// The lender could not be asked, did not answer, or had nothing.
  void onFailure(std::size_t Lender, base::TimePoint Now);

private:
  struct Belief {
    std::optional<MicroTokens> m_Level; ///< Unset: believed to be full.
    base::TimePoint m_At;
    base::TimePoint m_NotBefore;
    base::Duration m_Pause{0};
    bool m_Redirected = false; ///< Since it last lent anything.
  };

  std::optional<std::size_t> longestUnheard(base::TimePoint Now) const;
  MicroTokens estimate(const Belief &Lender, const Slice &Share,
                       base::TimePoint Now) const;

  std::size_t m_OwnPosition;
  BackOff m_Pause;
  std::vector<Belief> m_Beliefs; ///< By position.
};

} // namespace psp::limits

#endif
