#include "schedule/RoutingPolicy.h"

#include "base/Error.h"

#include <algorithm>
#include <random>

namespace psp::schedule {
namespace {

/// Share of the token time that each further running call adds.
constexpr double BatchCost = 0.03;

/// Weighs the prefix that an endpoint holds against its queue: the endpoint
/// where the answer is expected to be whole first.
class PrefixAffinity : public RoutingPolicy {
public:
  std::size_t choose(const RoutingRequest &Request,
                     const std::vector<RoutingCandidate> &Candidates) override {
    std::size_t Best = 0;
    double BestSeconds = 0.0;
    for (std::size_t I = 0; I < Candidates.size(); ++I) {
      const RoutingCandidate &Each = Candidates[I];
      if (!Each.m_HasRoom && Each.m_HeldTokens <= 0.0)
        continue;
      const double Seconds = expectedSeconds(Request, Each);
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
      if (!Candidates[I].m_HasRoom)
        continue;
      if (Best == Candidates.size() ||
          Candidates[I].m_Load < Candidates[Best].m_Load)
        Best = I;
    }
    return Best;
  }
};

class RandomOfTwo : public RoutingPolicy {
public:
  explicit RandomOfTwo(std::uint64_t Seed) : m_Random(Seed) {}

  std::size_t choose(const RoutingRequest &,
                     const std::vector<RoutingCandidate> &Candidates) override {
    m_WithRoom.clear();
    for (std::size_t I = 0; I < Candidates.size(); ++I) {
      if (Candidates[I].m_HasRoom)
        m_WithRoom.push_back(I);
    }
    const std::size_t Left = m_WithRoom[m_Random() % m_WithRoom.size()];
    const std::size_t Right = m_WithRoom[m_Random() % m_WithRoom.size()];
    return Candidates[Right].m_Load < Candidates[Left].m_Load ? Right : Left;
  }

private:
  std::mt19937_64 m_Random;
  std::vector<std::size_t> m_WithRoom;
};

} // namespace

double expectedSeconds(const RoutingRequest &Request,
                       const RoutingCandidate &Candidate) {
  const double Held = std::min(Candidate.m_HeldTokens, Request.m_PromptTokens);
  const double Running = std::min(Candidate.m_Load, Candidate.m_Slots);
  // Computing a prompt holds up each call that runs there as well.
  const double Prefill = (Request.m_PromptTokens - Held) *
                         Candidate.m_SecondsPerPromptToken * (1.0 + Running);
  const double Answer = Request.m_AnswerTokens * Candidate.m_SecondsPerToken *
                        (1.0 + BatchCost * Running);
  const double Excess =
      std::max(0.0, Candidate.m_Load - Candidate.m_Slots + 1.0);
  const double Queue = Excess / Candidate.m_Slots * Answer;
  const double Wait = Candidate.m_HasRoom ? 0.0 : Candidate.m_SecondsToFreeSlot;
  return Prefill + Answer + std::max(Queue, Wait);
}

std::unique_ptr<RoutingPolicy> makeRoutingPolicy(RoutingOrder Order,
                                                 std::uint64_t Seed) {
  switch (Order) {
  case RoutingOrder::LeastLoaded:
    return std::make_unique<LeastLoaded>();
  case RoutingOrder::RandomOfTwo:
    return std::make_unique<RandomOfTwo>(Seed);
  case RoutingOrder::PrefixAffinity:
    break;
  }
  return std::make_unique<PrefixAffinity>();
}

} // namespace psp::schedule
