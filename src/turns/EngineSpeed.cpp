#include "turns/EngineSpeed.h"

#include <algorithm>
#include <cmath>

namespace psp::turns {

namespace {

/// Weight of the newest report in what tells whether an engine is ill.
constexpr double RecentWeight = 0.3;
/// What is assumed of an engine counts like this many reports of its own.
constexpr double PriorWeight = 1;
/// Below this weight of reports an engine counts as new.
constexpr double NewEngineSamples = 0.5;
/// Weight that reports keep when an engine has changed for good.
constexpr double RestartWeight = 3;
/// Bounds of one report against what is expected, so that a stalled caller or a
/// stopped clock doesn't decide for minutes.
constexpr double MinRatio = 0.1;
constexpr double MaxRatio = 10;
/// Bounds of what a turn adds to the time of a step of the turns beside it, as
/// a share of that time on an idle engine: engines batch, so it is never
/// nothing, and less than that of the turn alone.
constexpr double MinGapGrowth = 0.03;
constexpr double MaxGapGrowth = 0.5;
/// Longest time to prefill a token, in milliseconds.
constexpr double MaxPrefillMsPerToken = 1;

/// Most that one report of an engine moves the service's line.
constexpr double MaxLineRatio = 2;

/// Adds a sample, at most MaxLineRatio off what \p Fit says for it.
void addBounded(LineFit &Fit, double X, double Y, double Expected) {
  Fit.add(X, std::clamp(Y, Expected / MaxLineRatio, Expected * MaxLineRatio));
}

double secondsBetween(base::TimePoint From, base::TimePoint To) {
  return std::max(0.0, std::chrono::duration<double>(To - From).count());
}

double decay(base::TimePoint Since, base::TimePoint Now, base::Duration Time) {
  return std::exp(-secondsBetween(Since, Now) /
                  std::chrono::duration<double>(Time).count());
}

} // namespace

void EngineSpeed::Factor::restartAt(double Ratio) {
  m_Ill = false;
  m_Weight = std::min(std::max(m_Weight, 1.0), RestartWeight);
  m_Sum = m_Weight * Ratio;
}

void EngineSpeed::Factor::observe(double Ratio, double Prior,
                                  const EngineSpeedOptions &Options,
                                  base::TimePoint Now) {
  Ratio = std::clamp(Ratio, MinRatio, MaxRatio);
  const double Faded =
      m_Weight > 0 ? decay(m_LastAt, Now, Options.m_ForgetTime) : 1;
  m_Weight *= Faded;
  m_Sum *= Faded;
  m_LastAt = Now;
  const double Nature = nature(Prior);
  // An ill engine is tried rarely, so one sound report has to do.
  const bool IsWellAgain = m_Ill && Ratio <= Options.m_IllFactor * Nature;
  m_Recent = m_Recent <= 0 || IsWellAgain
                 ? Ratio
                 : RecentWeight * Ratio + (1 - RecentWeight) * m_Recent;
  if (m_Weight >= RestartWeight) {
    if (m_Recent > Options.m_IllFactor * Nature) {
      if (!m_Ill)
        m_IllSince = Now;
      m_Ill = true;
      if (Now - m_IllSince >= Options.m_NatureTime)
        restartAt(m_Recent);
      return;
    }
    if (m_Recent * Options.m_IllFactor < Nature) {
      restartAt(m_Recent);
      return;
    }
  }
  m_Ill = false;
  const double Keep = 1 - 1 / Options.m_EngineMemory;
  m_Weight = Keep * m_Weight + 1;
  m_Sum = Keep * m_Sum + Ratio;
}

double EngineSpeed::Factor::nature(double Prior) const {
  return (m_Sum + PriorWeight * Prior) / (m_Weight + PriorWeight);
}

double EngineSpeed::Factor::expected(double Prior, double Unheard,
                                     const EngineSpeedOptions &Options,
                                     base::TimePoint Now) const {
  const double Own = samples(Options, Now);
  const double Share = m_Weight > 0 ? Own / m_Weight : 0;
  const double Nature =
      (Share * m_Sum + PriorWeight * Prior) / (Own + PriorWeight);
  if (m_Ill && Now - m_LastAt >= Options.m_IllRetryTime)
    return Nature * (1 + Unheard);
  return m_Ill ? std::max(m_Recent, Nature) : Nature;
}

double EngineSpeed::Factor::samples(const EngineSpeedOptions &Options,
                                    base::TimePoint Now) const {
  return m_Weight > 0 ? m_Weight * decay(m_LastAt, Now, Options.m_ForgetTime)
                      : 0;
}

double EngineSpeed::gapGrowthMs() const {
  // The line's value without other turns is the mean less the growth up to it.
  const double Mean = m_Gap.empty() ? m_Options.m_InitialGapMs : m_Gap.meanY();
  const double Beside = m_Gap.meanX();
  return m_Gap.slope(MinGapGrowth * Mean / (1 + MinGapGrowth * Beside),
                     MaxGapGrowth * Mean / (1 + MaxGapGrowth * Beside));
}

double EngineSpeed::gapMs(double Beside) const {
  const double Mean = m_Gap.empty() ? m_Options.m_InitialGapMs : m_Gap.meanY();
  return Mean + gapGrowthMs() * (Beside - m_Gap.meanX());
}

double EngineSpeed::prefillMsPerToken() const {
  if (m_FirstEvent.empty())
    return m_Options.m_InitialPrefillMsPerToken;
  return m_FirstEvent.slope(0, MaxPrefillMsPerToken);
}

double EngineSpeed::firstEventMs(double Tokens) const {
  const double Mean =
      m_FirstEvent.empty() ? m_Options.m_InitialStartMs : m_FirstEvent.meanY();
  return std::max(0.0,
                  Mean + prefillMsPerToken() * (Tokens - m_FirstEvent.meanX()));
}

void EngineSpeed::observe(const std::string &Id, const Sample &Observed,
                          base::TimePoint Now) {
  Engine &Reported = m_Engines[Id];
  if (Observed.m_GapMs > 0) {
    if (m_Gap.empty())
      m_Gap.add(Observed.m_Beside, Observed.m_GapMs);
    Reported.m_Steps.observe(Observed.m_GapMs / gapMs(Observed.m_Beside),
                             m_MedianFactor, m_Options, Now);
    addBounded(m_Gap, Observed.m_Beside,
               Observed.m_GapMs / Reported.m_Steps.nature(m_MedianFactor),
               gapMs(Observed.m_Beside));
    updatePrior();
  }
  if (Observed.m_FirstEventMs > 0 && Observed.m_ReadTokens >= 0) {
    if (m_FirstEvent.empty())
      m_FirstEvent.add(Observed.m_ReadTokens, Observed.m_FirstEventMs);
    const double Prior = Reported.m_Steps.nature(m_MedianFactor);
    Reported.m_FirstEvents.observe(
        Observed.m_FirstEventMs /
            std::max(firstEventMs(Observed.m_ReadTokens), 1e-3),
        Prior, m_Options, Now);
    addBounded(m_FirstEvent, Observed.m_ReadTokens,
               Observed.m_FirstEventMs / Reported.m_FirstEvents.nature(Prior),
               firstEventMs(Observed.m_ReadTokens));
  }
}

void EngineSpeed::updatePrior() {
  std::vector<double> Factors;
  for (const auto &[Id, Known] : m_Engines)
    if (Known.m_Steps.hasReports())
      Factors.push_back(Known.m_Steps.nature(m_MedianFactor));
  if (Factors.empty())
    return;
  const auto At = [&](std::size_t Index) {
    const auto It = Factors.begin() + static_cast<std::ptrdiff_t>(Index);
    std::nth_element(Factors.begin(), It, Factors.end());
    return *It;
  };
  m_MedianFactor = At(Factors.size() / 2);
  m_FastFactor = At(Factors.size() / 4);
}

SpeedEstimate EngineSpeed::estimate(const std::string &Id, double Unheard,
                                    base::TimePoint Now) const {
  const auto It = m_Engines.find(Id);
  const Engine Known = It == m_Engines.end() ? Engine{} : It->second;
  const double Samples = Known.m_Steps.samples(m_Options, Now);
  double Steps = Known.m_Steps.expected(m_FastFactor, Unheard, m_Options, Now);
  // Without any reports of the service nothing tells its engines apart.
  if (Samples < NewEngineSamples && !m_Gap.empty())
    Steps = m_FastFactor * (1 + Unheard);
  const double FirstEvents =
      Known.m_FirstEvents.expected(Steps, Unheard, m_Options, Now);
  return {.m_GapMs = Steps * gapMs(0),
          .m_GapGrowthMs = Steps * gapGrowthMs(),
          .m_StartMs = FirstEvents * firstEventMs(0),
          .m_PrefillMsPerToken = FirstEvents * prefillMsPerToken(),
          .m_Samples = Samples};
}

double EngineSpeed::nature(const std::string &Id) const {
  const auto It = m_Engines.find(Id);
  return It == m_Engines.end() ? m_MedianFactor
                               : It->second.m_Steps.nature(m_MedianFactor);
}

bool EngineSpeed::isIll(const std::string &Id) const {
  const auto It = m_Engines.find(Id);
  return It != m_Engines.end() && It->second.m_Steps.isIll();
}

} // namespace psp::turns
