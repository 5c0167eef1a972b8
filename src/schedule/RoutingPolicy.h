/// \file
/// Which endpoint gets a call.

#ifndef PSP_SCHEDULE_ROUTINGPOLICY_H
#define PSP_SCHEDULE_ROUTINGPOLICY_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace psp::schedule {

/// The call, as far as routing needs it.
struct RoutingRequest {
  double m_PromptTokens = 0.0;
  double m_AnswerTokens = 0.0;
};

/// One endpoint that may get the call.
struct RoutingCandidate {
  bool m_HasRoom = false;
  double m_Load = 0.0;       ///< Calls that run or wait there, as far as known.
  double m_Slots = 1.0;      ///< Calls that it runs at once.
  double m_HeldTokens = 0.0; ///< Of the call's prompt, expected.
  double m_SecondsPerToken = 0.0; ///< Of an answer, when nothing else runs.
  double m_SecondsPerPromptToken = 0.0;
  double m_SecondsToFreeSlot = 0.0; ///< When it has no room.
};

enum class RoutingOrder { PrefixAffinity, LeastLoaded, RandomOfTwo };

class RoutingPolicy {
public:
  virtual ~RoutingPolicy() = default;

  /// Returns a position in \p Candidates, of which one at least has room. A
  /// candidate without room means that the call should wait for it.
  virtual std::size_t
  choose(const RoutingRequest &Request,
         const std::vector<RoutingCandidate> &Candidates) = 0;
};

/// Expected seconds from now until the call's answer is whole.
double expectedSeconds(const RoutingRequest &Request,
                       const RoutingCandidate &Candidate);

std::unique_ptr<RoutingPolicy> makeRoutingPolicy(RoutingOrder Order,
                                                 std::uint64_t Seed);

} // namespace psp::schedule

#endif
