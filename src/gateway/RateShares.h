/// \file
/// This instance's share of the rate limits of organisations.

#ifndef PSP_GATEWAY_RATESHARES_H
#define PSP_GATEWAY_RATESHARES_H

#include "base/Time.h"
#include "fleet/ServingConfiguration.h"

#include <cstdint>
#include <map>
#include <string>

namespace psp::gateway {

struct RateSharesOptions {
  /// A token request covers this much time at the organisation's rate.
  double m_PrefetchSeconds = 0.25;
  /// Fraction of a bucket that is reserved for programs that have begun.
  double m_ReservedShare = 0.3;
  /// Granted tokens that are not used within this time are dropped, so that
  /// they don't accumulate into a burst on top of the leader's bucket.
  base::Duration m_TokenLifetime = base::seconds(2);
};

enum class RateDecision {
  Pass,
  RequestTokens, ///< Tokens must be requested from the control leader first.
};

/// Half of a high rate is divided evenly over the instances. Demand beyond
/// that, and all of a low rate, is served from one token bucket at the control
/// leader. Load pattern: a few busy callers of an organisation use one
/// instance.
class RateShares {
public:
  explicit RateShares(RateSharesOptions Options = {}) : m_Options(Options) {}

  /// Sets the number of instances among which rates are divided. While it is
  /// zero, not known, this instance has no share, and all tokens are requested.
  void setInstances(std::uint32_t Count) { m_Instances = Count; }

  /// Takes a token of \p Organisation if there is one. A call that begins a
  /// program leaves the reserved tokens to programs that have begun; when only
  /// those are left, its token must be requested.
  RateDecision take(const fleet::OrganisationSpec &Organisation,
                    bool NewProgram, base::TimePoint Now);
  /// Number of tokens to request from the control leader at once.
  std::uint32_t
  tokensToRequest(const fleet::OrganisationSpec &Organisation) const;
  /// Adds \p Tokens that the control leader granted.
  void grant(const fleet::OrganisationSpec &Organisation, std::uint32_t Tokens,
             base::TimePoint Now);

private:
  struct Bucket {
    double m_Tokens = 0;
    base::TimePoint m_RefilledAt;
    /// Rate at the last take(). A change limits or clears m_Tokens.
    double m_Rate = -1;
    bool m_Refills = false; ///< Had a share of the rate at the last take().
  };

  RateSharesOptions m_Options;
  std::uint32_t m_Instances = 0;
  std::map<std::string, Bucket> m_Buckets;
};

} // namespace psp::gateway

#endif
