#include "bench/BatchEngine.h"

#include <algorithm>

namespace psp::bench {

BatchEngine::BatchEngine(const BatchEngineOptions &Options)
    : m_Options(Options) {}

void BatchEngine::submit(std::uint64_t Number, std::uint64_t UncachedTokens,
                         std::uint64_t AnswerTokens) {
  m_Waiting.push_back(
      {.m_Call = Number,
       .m_UncachedTokens = UncachedTokens,
       .m_RemainingTokens = std::max<std::uint64_t>(AnswerTokens, 1)});
}

void BatchEngine::cancel(std::uint64_t Number) {
  const auto IsIt = [Number](const Call &Each) {
    return Each.m_Call == Number;
  };
  std::erase_if(m_Waiting, IsIt);
  std::erase_if(m_Running, IsIt);
}

base::Duration BatchEngine::beginStep() {
  admit();
  if (m_Running.empty())
    return base::Duration::zero();
  const double Further = static_cast<double>(m_Running.size() - 1);
  const double Slowdown = 1.0 + m_Options.m_BatchCost * Further;
  const double TokenTime =
      static_cast<double>(m_Options.m_TokenTime.count()) * Slowdown;
  const auto Decode =
      base::Duration(static_cast<base::Duration::rep>(TokenTime));
  const std::uint64_t Computed = prefill();
  return Decode + m_Options.m_PrefillTimePerToken * Computed;
}

std::vector<Progress> BatchEngine::endStep() {
  std::vector<Progress> Result;
  for (Call &Each : m_Running) {
    if (Each.m_UncachedTokens > 0)
      continue;
    --Each.m_RemainingTokens;
    Result.push_back(
        {.m_Call = Each.m_Call, .m_Finished = Each.m_RemainingTokens == 0});
  }
  std::erase_if(m_Running,
                [](const Call &Each) { return Each.m_RemainingTokens == 0; });
  return Result;
}

void BatchEngine::admit() {
  while (!m_Waiting.empty() && m_Running.size() < m_Options.m_Slots) {
    m_Running.push_back(m_Waiting.front());
    m_Waiting.pop_front();
  }
}

std::uint64_t BatchEngine::prefill() {
  std::uint64_t Rest = m_Options.m_PrefillTokensPerStep;
  for (Call &Each : m_Running) {
    const std::uint64_t Computed = std::min(Rest, Each.m_UncachedTokens);
    Each.m_UncachedTokens -= Computed;
    Rest -= Computed;
  }
  return m_Options.m_PrefillTokensPerStep - Rest;
}

} // namespace psp::bench
