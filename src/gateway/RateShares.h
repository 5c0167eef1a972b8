/// \file
/// This instance's part in the rates of organisations.

#ifndef PSP_GATEWAY_RATESHARES_H
#define PSP_GATEWAY_RATESHARES_H

#include "base/Time.h"
#include "fleet/ServingConfiguration.h"

#include <cstdint>
#include <map>
#include <string>

namespace psp::gateway {

struct RateSharesOptions {
  /// Tokens are asked for this long ahead, at the organisation's rate.
  double m_AskAheadSeconds = 0.25;
  /// Share of a bucket that is kept for programs that have begun.
  double m_KeptShare = 0.3;
  /// Granted tokens that were not used are dropped after this long, so that
  /// they don't add up to a burst beside the leader's bucket.
  base::Duration m_TokenLife = base::seconds(2);
};

enum class RateDecision {
  Pass,
  Ask, ///< Tokens have to be asked for first.
};

/// Half of a high rate is divided evenly over the instances; what is asked for
/// beyond that, and all of a low rate, comes from one bucket at the leader of
/// control. Load pattern: a few busy callers of an organisation on one
/// instance.
class RateShares {
public:
  explicit RateShares(RateSharesOptions Options = {}) : m_Options(Options) {}

  /// Instances among which rates are divided.
  void setInstances(std::uint32_t Count) { m_Instances = Count; }

  /// Takes a token of \p Sender if there is one. A call that begins a program
  /// leaves some for the calls of programs that have begun, or is asked for.
  RateDecision take(const fleet::OrganisationSpec &Sender, bool NewProgram,
                    base::TimePoint Now);
  std::uint32_t tokensToAsk(const fleet::OrganisationSpec &Sender) const;
  void grant(const fleet::OrganisationSpec &Sender, std::uint32_t Tokens,
             base::TimePoint Now);

private:
  struct Bucket {
    double m_Tokens = 0;
    base::TimePoint m_FilledAt;
    double m_Rate = -1; ///< Of the last fill; a change empties the bucket.
  };

  RateSharesOptions m_Options;
  std::uint32_t m_Instances = 1;
  std::map<std::string, Bucket> m_Buckets;
};

} // namespace psp::gateway

#endif
