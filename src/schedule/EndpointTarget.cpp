#include "schedule/EndpointTarget.h"

#include <algorithm>
#include <cmath>

namespace psp::schedule {
namespace {

/// Weight of the newest sample in the mean costs.
constexpr double SampleWeight = 0.1;

/// Share of the token time that each further running call adds.
constexpr double BatchCost = 0.03;

/// Slots of each endpoint that are kept back for alarms.
constexpr std::uint32_t AlarmSlots = 1;

/// Slots of an endpoint that announces none.
constexpr double DefaultSlots = 16.0;

/// Fewer computed prompt tokens say nothing about the time of one.
constexpr double MinPromptSample = 256.0;

double secondsBetween(base::TimePoint From, base::TimePoint To) {
  return std::chrono::duration<double>(To - From).count();
}

/// Calls beyond the window that a call of this class may add up to.
std::uint32_t reserve(CallClass Class) {
  return Class == CallClass::Alarm ? AlarmSlots : 0;
}

void learn(double &Mean, double Sample) {
  Mean = Mean == 0.0 ? Sample : Mean + SampleWeight * (Sample - Mean);
}

} // namespace

EndpointTarget::EndpointTarget(Endpoint Announced, const WindowOptions &Window,
                               const HealthOptions &Health)
    : m_Health(Health), m_Window(Window), m_Endpoint(std::move(Announced)) {
  noteReport();
}

void EndpointTarget::announce(const Endpoint &Announced,
                              std::uint32_t ShareCount, bool Cold) {
  m_Endpoint = Announced;
  m_ShareCount = ShareCount;
  m_OwnAtPreviousReport = m_OwnAtReport;
  m_OwnAtReport = m_Window.outstanding();
  noteReport();
  updateCap();
  if (Cold) {
    m_Window.restart();
    m_PrefixHitShare = 1.0;
  }
}

void EndpointTarget::setShareCount(std::uint32_t ShareCount) {
  m_ShareCount = ShareCount;
  updateCap();
}

void EndpointTarget::noteSucceeded(const CallTiming &Timing) {
  m_Window.noteEnded();
  const bool WasOut = m_Health.state() != HealthState::Healthy;
  m_Health.noteSuccess();
  if (WasOut && m_Health.state() == HealthState::Healthy)
    m_Window.restart();
  const double Held = secondsBetween(Timing.m_Sent, Timing.m_Ended);
  const Work Done = WorkPerCall + Timing.m_AnswerTokens +
                    Timing.m_ComputedPromptTokens * WorkPerPromptToken;
  m_Window.noteLatency(Held / Done);
  learn(m_Costs.m_PerCall, Held);
  m_Costs.m_LearnedAt = Timing.m_Ended;
  if (Timing.m_AnswerTokens >= 2.0) {
    const double Streamed = secondsBetween(Timing.m_FirstByte, Timing.m_Ended);
    const double Slowdown = 1.0 + BatchCost * Timing.m_LoadWhenSent;
    learn(m_Costs.m_PerToken,
          Streamed / (Timing.m_AnswerTokens - 1.0) / Slowdown);
  }
  if (Timing.m_ComputedPromptTokens >= MinPromptSample) {
    const double ToFirst = secondsBetween(Timing.m_Sent, Timing.m_FirstByte);
    learn(m_Costs.m_PerPromptToken, ToFirst / Timing.m_ComputedPromptTokens);
  }
}

void EndpointTarget::noteFailed(base::TimePoint Time, double Jitter) {
  m_Window.noteEnded();
  m_Window.noteFailure();
  m_Health.noteFailure(Time, Jitter);
}

void EndpointTarget::notePrefixUse(double ExpectedTokens, double HeldTokens) {
  if (ExpectedTokens <= 0.0)
    return;
  const double Share = std::clamp(HeldTokens / ExpectedTokens, 0.0, 1.0);
  m_PrefixHitShare += SampleWeight * (Share - m_PrefixHitShare);
}

bool EndpointTarget::hasRoom(CallClass Class, base::TimePoint Time) const {
  if (Time >= m_UsableUntil)
    return false;
  switch (m_Health.state()) {
  case HealthState::Healthy:
    return m_Window.outstanding() < m_Window.allowed() + reserve(Class);
  case HealthState::Probing:
    return m_Window.outstanding() == 0;
  case HealthState::LeftOut:
    break;
  }
  return false;
}

void EndpointTarget::noteReport() {
  m_UsableUntil =
      m_Endpoint.m_Leaving ? base::TimePoint() : m_Endpoint.m_LeaseEnd;
  m_Slots = m_Endpoint.m_Slots == 0 ? DefaultSlots : m_Endpoint.m_Slots;
  // The report shows the load of one announcement ago.
  const double Reported = m_Endpoint.m_Running + m_Endpoint.m_Waiting;
  m_LoadOfOthers = std::max(0.0, Reported - m_OwnAtPreviousReport);
}

void EndpointTarget::updateCap() {
  if (m_Endpoint.m_Slots == 0) {
    m_Window.setCap(0.0);
    return;
  }
  // Each instance has an equal share, and of the slots that were free by the
  // last report it may take an equal share as well. All of them together stay
  // within the slots as long as the reports are right.
  const double Slots = std::max(1.0, m_Slots - AlarmSlots);
  const double Share = std::floor(Slots / m_ShareCount);
  const double Reported = m_Endpoint.m_Running + m_Endpoint.m_Waiting;
  const double Free = std::max(0.0, Slots - Reported);
  const double Lent = m_OwnAtPreviousReport + std::floor(Free / m_ShareCount);
  m_Window.setCap(std::max(1.0, std::min(Slots, std::max(Share, Lent))));
}

} // namespace psp::schedule
