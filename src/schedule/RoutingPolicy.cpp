#include "schedule/RoutingPolicy.h"

#include "base/Error.h"

#include <algorithm>
#include <random>

namespace psp::schedule {
namespace {

/// Relative increase of the time per token for each further call that runs
/// concurrently.
constexpr double SlowdownPerConcurrentCall = 0.03;

/// Weighs the cached prefix of an endpoint against its queue: chooses the
/// endpoint where the answer is expected to be complete first.
class PrefixAffinity : public RoutingPolicy {
public:
  std::size_t choose(const RoutingRequest &Request,
                     const std::vector<RoutingCandidate> &Candidates) override {
    std::size_t Best = 0;
    double BestSeconds = 0.0;
    for (std::size_t I = 0; I < Candidates.size(); ++I) {
      const RoutingCandidate &Candidate = Candidates[I];
      if (!Candidate.m_CanAccept && Candidate.m_CachedTokens <= 0.0)
        continue;
      const double Seconds = expectedSeconds(Request, Candidate);
      if (BestSeconds > 0.0 && Seconds >= BestSeconds)
        continue;
      Best = I;
      BestSeconds = Seconds;
    }
    return Best;
  }
};

class LeastLoaded : public RoutingPolicy {
public:
  std::size_t choose(const RoutingRequest &,
                     const std::vector<RoutingCandidate> &Candidates) override {
    std::size_t Best = Candidates.size();
    for (std::size_t I = 0; I < Candidates.size(); ++I) {
      if (!Candidates[I].m_CanAccept)
        continue;
      if (Best == Candidates.size() ||
          Candidates[I].m_Load < Candidates[Best].m_Load)
        Best = I;
    }
    return Best;
  }
};

class PowerOfTwoChoices : public RoutingPolicy {
public:
  explicit PowerOfTwoChoices(std::uint64_t Seed) : m_Random(Seed) {}

  std::size_t choose(const RoutingRequest &,
                     const std::vector<RoutingCandidate> &Candidates) override {
    m_Accepting.clear();
    for (std::size_t I = 0; I < Candidates.size(); ++I) {
      if (Candidates[I].m_CanAccept)
        m_Accepting.push_back(I);
    }
    const std::size_t Left = m_Accepting[m_Random() % m_Accepting.size()];
    const std::size_t Right = m_Accepting[m_Random() % m_Accepting.size()];
    return Candidates[Right].m_Load < Candidates[Left].m_Load ? Right : Left;
  }

private:
  std::mt19937_64 m_Random;
  std::vector<std::size_t> m_Accepting;
};

} // namespace

double expectedSeconds(const RoutingRequest &Request,
                       const RoutingCandidate &Candidate) {
  const double CachedTokens =
      std::min(Candidate.m_CachedTokens, Request.m_PromptTokens);
  const double Running = std::min(Candidate.m_Load, Candidate.m_Slots);
  // Computing a prompt also delays each call that runs there.
  const double PrefillSeconds = (Request.m_PromptTokens - CachedTokens) *
                                Candidate.m_SecondsPerPromptToken *
                                (1.0 + Running);
  const double AnswerSeconds = Request.m_AnswerTokens *
                               Candidate.m_SecondsPerToken *
                               (1.0 + SlowdownPerConcurrentCall * Running);
  const double ExcessCalls =
      std::max(0.0, Candidate.m_Load - Candidate.m_Slots + 1.0);
  const double QueueSeconds = ExcessCalls / Candidate.m_Slots * AnswerSeconds;
  const double WaitSeconds =
      Candidate.m_CanAccept ? 0.0 : Candidate.m_SecondsToFreeSlot;
  return PrefillSeconds + AnswerSeconds + std::max(QueueSeconds, WaitSeconds);
}

std::unique_ptr<RoutingPolicy> makeRoutingPolicy(RoutingStrategy Strategy,
                                                 std::uint64_t Seed) {
  switch (Strategy) {
  case RoutingStrategy::LeastLoaded:
    return std::make_unique<LeastLoaded>();
  case RoutingStrategy::PowerOfTwoChoices:
    return std::make_unique<PowerOfTwoChoices>(Seed);
  case RoutingStrategy::PrefixAffinity:
    break;
  }
  return std::make_unique<PrefixAffinity>();
}

} // namespace psp::schedule
