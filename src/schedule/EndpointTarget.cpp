#include "schedule/EndpointTarget.h"

#include <algorithm>
#include <cmath>

namespace psp::schedule {
namespace {

/// Weight of the newest sample in the exponential moving averages.
constexpr double SampleWeight = 0.1;

/// Relative increase of the time per token for each further call that runs
/// concurrently.
constexpr double SlowdownPerConcurrentCall = 0.03;

/// Slots of each endpoint that are reserved for alarms.
constexpr std::uint32_t ReservedAlarmSlots = 1;

/// Assumed slots of an endpoint that announces none.
constexpr double DefaultSlots = 16.0;

/// With fewer computed prompt tokens, the time to the first byte gives no
/// usable time per token.
constexpr double MinPromptSampleTokens = 256.0;

double secondsBetween(base::TimePoint From, base::TimePoint To) {
  return std::chrono::duration<double>(To - From).count();
}

/// Calls beyond the window that a call of class \p Class may be admitted to.
std::uint32_t alarmReserve(CallClass Class) {
  return Class == CallClass::Alarm ? ReservedAlarmSlots : 0;
}

void updateMean(double &Mean, double Sample) {
  Mean = Mean == 0.0 ? Sample : Mean + SampleWeight * (Sample - Mean);
}

} // namespace

EndpointTarget::EndpointTarget(Endpoint Announced, const WindowOptions &Window,
                               const HealthOptions &Health)
    : m_Health(Health), m_Window(Window), m_Endpoint(std::move(Announced)) {
  applyReport();
}

void EndpointTarget::announce(const Endpoint &Announced,
                              std::uint32_t ShareCount, bool Cold) {
  m_Endpoint = Announced;
  m_ShareCount = ShareCount;
  m_OwnCallsAtPreviousReport = m_OwnCallsAtReport;
  m_OwnCallsAtReport = m_Window.outstanding();
  applyReport();
  updateWindowCap();
  if (Cold) {
    m_Window.restart();
    m_PrefixHitShare = 1.0;
  }
}

void EndpointTarget::setShareCount(std::uint32_t ShareCount) {
  m_ShareCount = ShareCount;
  updateWindowCap();
}

void EndpointTarget::noteSucceeded(const CallTiming &Timing) {
  m_Window.noteEnded();
  const bool WasUnhealthy = m_Health.state() != HealthState::Healthy;
  m_Health.noteSuccess();
  if (WasUnhealthy && m_Health.state() == HealthState::Healthy)
    m_Window.restart();
  const double HeldSeconds = secondsBetween(Timing.m_SentAt, Timing.m_EndedAt);
  const Work FinishedWork = WorkPerCall + Timing.m_AnswerTokens +
                            Timing.m_ComputedPromptTokens * WorkPerPromptToken;
  m_Window.noteLatency(HeldSeconds / FinishedWork);
  updateMean(m_Costs.m_SecondsPerCall, HeldSeconds);
  m_Costs.m_UpdatedAt = Timing.m_EndedAt;
  if (Timing.m_AnswerTokens >= 2.0) {
    const double StreamSeconds =
        secondsBetween(Timing.m_FirstByteAt, Timing.m_EndedAt);
    const double Slowdown =
        1.0 + SlowdownPerConcurrentCall * Timing.m_LoadWhenSent;
    updateMean(m_Costs.m_SecondsPerToken,
               StreamSeconds / (Timing.m_AnswerTokens - 1.0) / Slowdown);
  }
  if (Timing.m_ComputedPromptTokens >= MinPromptSampleTokens) {
    const double SecondsToFirstByte =
        secondsBetween(Timing.m_SentAt, Timing.m_FirstByteAt);
    updateMean(m_Costs.m_SecondsPerPromptToken,
               SecondsToFirstByte / Timing.m_ComputedPromptTokens);
  }
}

void EndpointTarget::noteFailed(base::TimePoint Time, double Jitter) {
  m_Window.noteEnded();
  m_Window.noteFailure();
  m_Health.noteFailure(Time, Jitter);
}

void EndpointTarget::notePrefixUse(double ExpectedTokens, double CachedTokens) {
  if (ExpectedTokens <= 0.0)
    return;
  const double Share = std::clamp(CachedTokens / ExpectedTokens, 0.0, 1.0);
  m_PrefixHitShare += SampleWeight * (Share - m_PrefixHitShare);
}

bool EndpointTarget::canAccept(CallClass Class, base::TimePoint Time) const {
  if (Time >= m_UsableUntil)
    return false;
  switch (m_Health.state()) {
  case HealthState::Healthy:
    return m_Window.outstanding() < m_Window.allowed() + alarmReserve(Class);
  case HealthState::Probing:
    return m_Window.outstanding() == 0;
  case HealthState::Ejected:
    break;
  }
  return false;
}

void EndpointTarget::applyReport() {
  m_UsableUntil =
      m_Endpoint.m_Leaving ? base::TimePoint() : m_Endpoint.m_LeaseEnd;
  m_Slots = m_Endpoint.m_Slots == 0 ? DefaultSlots : m_Endpoint.m_Slots;
  // The report contains the load as of one announcement earlier.
  const double Reported = m_Endpoint.m_Running + m_Endpoint.m_Waiting;
  m_OtherInstancesLoad = std::max(0.0, Reported - m_OwnCallsAtPreviousReport);
}

void EndpointTarget::updateWindowCap() {
  if (m_Endpoint.m_Slots == 0) {
    m_Window.setCap(0.0);
    return;
  }
  // Each instance has an equal share of the slots. Of the slots that were free
  // according to the last report, each may use an equal share in addition. The
  // total of all instances stays within the slots as long as the reports are
  // accurate.
  const double Slots = std::max(1.0, m_Slots - ReservedAlarmSlots);
  const double Share = std::floor(Slots / m_ShareCount);
  const double Reported = m_Endpoint.m_Running + m_Endpoint.m_Waiting;
  const double Free = std::max(0.0, Slots - Reported);
  const double OwnAndFreeShare =
      m_OwnCallsAtPreviousReport + std::floor(Free / m_ShareCount);
  m_Window.setCap(
      std::max(1.0, std::min(Slots, std::max(Share, OwnAndFreeShare))));
}

} // namespace psp::schedule
