/// \file
/// Learns how fast each engine of a service is.

#ifndef PSP_TURNS_ENGINESPEED_H
#define PSP_TURNS_ENGINESPEED_H

#include "base/Time.h"
#include "turns/LineFit.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace psp::turns {

struct EngineSpeedOptions {
  /// Assumed until the first reports of the service: time between two events on
  /// an idle engine, ...
  double m_InitialGapMs = 30;
  /// ... time to the first event without a prompt, ...
  double m_InitialStartMs = 10;
  /// ... and time to prefill a token, in milliseconds.
  double m_InitialPrefillMsPerToken = 1.0 / 80;
  /// Reports after which a service's earlier one has lost most of its weight.
  double m_ServiceMemory = 1000;
  /// The same for an engine's own reports.
  double m_EngineMemory = 30;
  /// An engine whose last reports are this many times slower than its own
  /// earlier ones is ill.
  double m_IllFactor = 1.4;
  /// An engine that is ill for this long is slow by nature.
  base::Duration m_NatureTime = base::seconds(30);
  /// An ill engine that has reported nothing for this long is tried again.
  base::Duration m_IllRetryTime = base::seconds(4);
  /// Time constant with which the other reports of an engine lose their weight.
  base::Duration m_ForgetTime = base::seconds(60);
};

/// What is expected of an engine for the next turn.
struct SpeedEstimate {
  double m_GapMs = 0;             ///< Between two events, on an idle engine.
  double m_GapGrowthMs = 0;       ///< For each turn that runs beside it.
  double m_StartMs = 0;           ///< To the first event, without a prompt.
  double m_PrefillMsPerToken = 0; ///< Added for each token to be read.
  double m_Samples = 0;           ///< Weight of the engine's own reports.

  bool operator==(const SpeedEstimate &) const = default;
};

/// Load pattern: the engines of a service differ in speed by nature, some turn
/// slow for a while, and each report alone is noisy, since other turns run
/// beside its turn. An engine that little is known of takes the speed of the
/// others.
class EngineSpeed {
public:
  explicit EngineSpeed(EngineSpeedOptions Options = {})
      : m_Options(Options), m_Gap(Options.m_ServiceMemory),
        m_FirstEvent(Options.m_ServiceMemory) {}

  struct Sample {
    double m_GapMs = 0;        ///< Zero: unknown.
    double m_FirstEventMs = 0; ///< Zero: unknown.
    /// Turns that ran beside it.
    double m_Beside = 0;
    /// Prompt tokens that the engine had to read; negative: unknown.
    double m_ReadTokens = -1;
  };
  void observe(const std::string &Engine, const Sample &Observed,
               base::TimePoint Now);
  /// Forgets \p Engine, which has started again or is gone.
  void forget(const std::string &Engine) { m_Engines.erase(Engine); }

  /// \p Unheard is the number of turns that run on the engine. As long as it
  /// has reported little, each of them lowers what is expected of it.
  SpeedEstimate estimate(const std::string &Engine, double Unheard,
                         base::TimePoint Now) const;
  /// How many times slower than the service's line \p Engine is by nature.
  double nature(const std::string &Engine) const;
  bool isIll(const std::string &Engine) const;

private:
  /// How many times longer than the service's line an engine takes.
  class Factor {
  public:
    void observe(double Ratio, double Prior, const EngineSpeedOptions &Options,
                 base::TimePoint Now);
    /// By nature, with \p Prior weighted like one report.
    double nature(double Prior) const;
    /// Of the next turn, beside \p Unheard others that nothing is known of.
    double expected(double Prior, double Unheard,
                    const EngineSpeedOptions &Options,
                    base::TimePoint Now) const;
    double samples(const EngineSpeedOptions &Options,
                   base::TimePoint Now) const;
    bool isIll() const { return m_Ill; }
    bool hasReports() const { return m_Weight > 0; }

  private:
    void restartAt(double Ratio);

    double m_Weight = 0; ///< Of the reports in m_Sum.
    double m_Sum = 0;
    double m_Recent = 0; ///< Smoothed over the last few reports.
    bool m_Ill = false;
    base::TimePoint m_IllSince;
    base::TimePoint m_LastAt;
  };
  struct Engine {
    Factor m_Steps;
    Factor m_FirstEvents;
  };

  /// Recomputes what engines that little is known of are taken to be.
  void updatePrior();
  double gapMs(double Beside) const;
  double firstEventMs(double Tokens) const;
  double gapGrowthMs() const;
  double prefillMsPerToken() const;

  EngineSpeedOptions m_Options;
  LineFit m_Gap;        ///< Over the turns beside it; of an engine of factor 1.
  LineFit m_FirstEvent; ///< Over the tokens read; of an engine of factor 1.
  std::map<std::string, Engine> m_Engines;
  double m_MedianFactor = 1;
  double m_FastFactor = 1; ///< Of the faster quarter.
};

} // namespace psp::turns

#endif
