/// \file
/// The cost model of a model engine that batches continuously: one step
/// yields one token for each running call, and lasts longer the more calls
/// run and the more prompt tokens are computed in it.

#ifndef PSP_BENCH_BATCHENGINE_H
#define PSP_BENCH_BATCHENGINE_H

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace psp::bench {

struct BatchEngineOptions {
  base::Duration m_TokenTime = base::milliseconds(10); ///< With one call.
  double m_BatchCost = 0.03; ///< Added share for each further running call.
  base::Duration m_PrefillTimePerToken = base::microseconds(50);
  std::uint64_t m_PrefillTokensPerStep = 2048;
  std::size_t m_Slots = 16; ///< Calls that run at once; the others wait.
};

/// What one step did for one call.
struct Progress {
  std::uint64_t m_Call = 0;
  bool m_Finished = false; ///< That was its last token.
};

/// Example:
/// \code
///   Engine.submit(1, 500, 20);
///   wait(Engine.beginStep());
///   for (const Progress &Each : Engine.endStep())
///     sendToken(Each.m_Call);
/// \endcode
class BatchEngine {
public:
  explicit BatchEngine(const BatchEngineOptions &Options);

  /// Queues a call with \p UncachedTokens prompt tokens still to be computed
  /// and an answer of \p AnswerTokens tokens.
  void submit(std::uint64_t Call, std::uint64_t UncachedTokens,
              std::uint64_t AnswerTokens);

  void cancel(std::uint64_t Call);

  /// Admits waiting calls and returns how long the step lasts; zero when
  /// there is nothing to do.
  base::Duration beginStep();

  /// Ends the step and returns the calls that got a token, oldest first.
  std::vector<Progress> endStep();

  std::size_t running() const { return m_Running.size(); }
  std::size_t waiting() const { return m_Waiting.size(); }

private:
  struct Call {
    std::uint64_t m_Call = 0;
    std::uint64_t m_UncachedTokens = 0;
    std::uint64_t m_RemainingTokens = 0;
  };

  void admit();
  std::uint64_t prefill();

  BatchEngineOptions m_Options;
  std::vector<Call> m_Running;
  std::deque<Call> m_Waiting;
};

} // namespace psp::bench

#endif
