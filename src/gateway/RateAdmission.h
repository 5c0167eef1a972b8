/// \file
/// Decides which of an organisation's tokens a call may use.

#ifndef PSP_GATEWAY_RATEADMISSION_H
#define PSP_GATEWAY_RATEADMISSION_H

#include "base/Time.h"
#include "fleet/ServingConfiguration.h"
#include "gateway/RateShares.h"
#include "gateway/RecentPrograms.h"

#include <cstdint>
#include <optional>
#include <string>

namespace psp::gateway {

/// What the admission of a call needs next.
enum class RateStep {
  Pass,
  RequestTokens, ///< Tokens of the control leader; onTokens() takes its reply.
  FindProgram,   ///< Whether the program has begun; see onProgram().
  Refuse,
};

/// Load pattern: an organisation is near its rate, so only the tokens that are
/// reserved for programs that have begun are left, and the turns of a program
/// come through many instances. A turn that names no earlier one is the first
/// of its program as far as an instance knows that has seen no other. Before
/// such a turn is refused, the program's history group is asked, since a
/// refused turn delays a program that has begun and wastes the work done for
/// it.
///
/// A token that accrues soon is granted in advance, since a refused caller
/// would be away for longer; the call waits until it may be used.
///
/// Decides without I/O.
class RateAdmission {
public:
  struct CallOptions {
    std::string m_Program;
    bool m_NamesNoEarlierTurn = false; ///< May be the first turn.
  };

  RateAdmission(RateShares &Shares, const RecentPrograms &Programs,
                const fleet::OrganisationSpec &Organisation,
                const CallOptions &Call)
      : m_Shares(Shares), m_Organisation(Organisation),
        m_BeginsProgram(Call.m_NamesNoEarlierTurn &&
                        !Programs.contains(Call.m_Program)) {}

  RateStep start(base::TimePoint Now);
  /// \p Count: number of tokens granted; empty if no control leader replied.
  /// \p Wait: until a granted token may be used, or a refused caller should
  /// come back; zero: now, or not known.
  RateStep onTokens(std::optional<std::uint32_t> Count, base::TimePoint Now,
                    base::Duration Wait = base::Duration(0));
  /// \p HasBegun: whether a turn of the program has begun, as far as known.
  RateStep onProgram(bool HasBegun, base::TimePoint Now);

  /// Whether the call counts as the first of its program.
  bool beginsProgram() const { return m_BeginsProgram; }
  /// After Pass: how long the call has to wait until its token may be used.
  base::Duration waitForToken() const { return m_TokenWait; }
  /// After Refuse: when the caller should come back; zero: not known.
  base::Duration retryAfter() const { return m_RetryAfter; }
  /// Number of tokens to request.
  std::uint32_t tokensToRequest() const;

private:
  RateShares &m_Shares;
  const fleet::OrganisationSpec &m_Organisation;
  bool m_BeginsProgram;
  base::Duration m_TokenWait{0};
  base::Duration m_RetryAfter{0};
};

} // namespace psp::gateway

#endif
