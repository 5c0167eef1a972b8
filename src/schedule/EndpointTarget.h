/// \file
/// One endpoint as the scheduler sees it: what it announced, this instance's
/// window at it, its health, and what its answers have cost so far.

#ifndef PSP_SCHEDULE_ENDPOINTTARGET_H
#define PSP_SCHEDULE_ENDPOINTTARGET_H

#include "schedule/Calls.h"
#include "schedule/EndpointHealth.h"
#include "schedule/EndpointRegistry.h"
#include "schedule/EndpointWindow.h"

#include <cstdint>

namespace psp::schedule {

/// What a finished call tells about its endpoint.
struct CallTiming {
  base::TimePoint m_Sent;
  base::TimePoint m_FirstByte; ///< As m_Ended when no byte was reported.
  base::TimePoint m_Ended;
  double m_AnswerTokens = 0.0;
  double m_ComputedPromptTokens = 0.0;
  double m_LoadWhenSent = 0.0;
};

/// Costs in seconds, learned from answers.
struct EndpointCosts {
  double m_PerToken = 0.0;       ///< When nothing else runs; zero: unknown.
  double m_PerPromptToken = 0.0; ///< Zero: unknown.
  double m_PerCall = 0.0;        ///< Mean time that a call holds its slot.
  base::TimePoint m_LearnedAt;
};

class EndpointTarget {
public:
  EndpointTarget(Endpoint Announced, const WindowOptions &Window,
                 const HealthOptions &Health);

  /// A newer announcement; \p Cold when the endpoint joins anew.
  void announce(const Endpoint &Announced, std::uint32_t ShareCount, bool Cold);
  void setShareCount(std::uint32_t ShareCount);
  void advance(base::TimePoint Time) { m_Health.advance(Time); }

  void noteSent() { m_Window.noteSent(); }
  void noteSucceeded(const CallTiming &Timing);
  void noteFailed(base::TimePoint Time, double Jitter);
  void noteCancelled() { m_Window.noteEnded(); }
  void notePrefixUse(double ExpectedTokens, double HeldTokens);

  void park() { ++m_Parked; }
  void unpark() { --m_Parked; }

  const Endpoint &endpoint() const { return m_Endpoint; }
  const EndpointWindow &window() const { return m_Window; }
  const EndpointHealth &health() const { return m_Health; }
  const EndpointCosts &costs() const { return m_Costs; }
  std::uint32_t parked() const { return m_Parked; }

  /// May it get one more call now? A slot is kept back for alarms.
  bool hasRoom(CallClass Class, base::TimePoint Time) const;

  /// Calls that run or wait there: the own ones, and those of others by the
  /// last report, which lags.
  double load() const { return m_Window.outstanding() + m_LoadOfOthers; }

  /// Calls that it runs at once.
  double slots() const { return m_Slots; }

  /// Share of an expected prefix that it still held, on average.
  double prefixHitShare() const { return m_PrefixHitShare; }

private:
  void noteReport();
  void updateCap();

  // A routing decision reads these of each endpoint, so they stand together.
  base::TimePoint m_UsableUntil; ///< Past when it is leaving.
  double m_LoadOfOthers = 0.0;
  double m_Slots = 0.0;
  double m_PrefixHitShare = 1.0;
  std::uint32_t m_Parked = 0;
  EndpointCosts m_Costs;
  EndpointHealth m_Health;
  EndpointWindow m_Window;

  std::uint32_t m_ShareCount = 1;
  std::uint32_t m_OwnAtReport = 0;
  std::uint32_t m_OwnAtPreviousReport = 0;
  Endpoint m_Endpoint;
};

} // namespace psp::schedule

#endif
