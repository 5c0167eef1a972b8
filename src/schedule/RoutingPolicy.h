/// \file
/// Policies that choose the endpoint of a call.

#ifndef PSP_SCHEDULE_ROUTINGPOLICY_H
#define PSP_SCHEDULE_ROUTINGPOLICY_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace psp::schedule {

/// The properties of a call that routing needs.
struct RoutingRequest {
  double m_PromptTokens = 0.0;
  double m_AnswerTokens = 0.0;
};

/// An endpoint that may get the call.
struct RoutingCandidate {
  bool m_CanAccept = false;
  double m_Load = 0.0;  ///< Calls that run or wait there, as far as known.
  double m_Slots = 1.0; ///< Calls that it runs concurrently.
  double m_CachedTokens = 0.0; ///< Expected cached tokens of the call's prompt.
  /// Per answer token, without concurrent calls.
  double m_SecondsPerToken = 0.0;
  double m_SecondsPerPromptToken = 0.0;
  double m_SecondsToFreeSlot = 0.0; ///< Used if it can't accept the call now.
};

enum class RoutingStrategy { PrefixAffinity, LeastLoaded, PowerOfTwoChoices };

class RoutingPolicy {
public:
  virtual ~RoutingPolicy() = default;

  /// Returns an index into \p Candidates, of which at least one can accept the
  /// call. If the chosen one can't, the call should wait for it.
  virtual std::size_t
  choose(const RoutingRequest &Request,
         const std::vector<RoutingCandidate> &Candidates) = 0;
};

/// Expected seconds from now until the call's answer is complete.
double expectedSeconds(const RoutingRequest &Request,
                       const RoutingCandidate &Candidate);

std::unique_ptr<RoutingPolicy> makeRoutingPolicy(RoutingStrategy Strategy,
                                                 std::uint64_t Seed);

} // namespace psp::schedule

#endif
