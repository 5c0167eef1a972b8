/// \file
/// The scheduler's state of one endpoint: its announcement, this instance's
/// window, its health, and the costs measured from its answers.

#ifndef PSP_SCHEDULE_ENDPOINTTARGET_H
#define PSP_SCHEDULE_ENDPOINTTARGET_H

#include "schedule/Calls.h"
#include "schedule/EndpointHealth.h"
#include "schedule/EndpointRegistry.h"
#include "schedule/EndpointWindow.h"

#include <cstdint>

namespace psp::schedule {

/// Measurements of a finished call, which update the costs of its endpoint.
struct CallTiming {
  base::TimePoint m_SentAt;
  /// Equals m_EndedAt when no byte was reported.
  base::TimePoint m_FirstByteAt;
  base::TimePoint m_EndedAt;
  double m_AnswerTokens = 0.0;
  double m_ComputedPromptTokens = 0.0;
  double m_LoadWhenSent = 0.0;
};

/// Mean costs, measured from an endpoint's answers.
struct EndpointCosts {
  /// Without concurrent calls; zero if unknown.
  double m_SecondsPerToken = 0.0;
  double m_SecondsPerPromptToken = 0.0; ///< Zero if unknown.
  double m_SecondsPerCall = 0.0; ///< Mean time that a call occupies its slot.
  base::TimePoint m_UpdatedAt;
};

class EndpointTarget {
public:
  EndpointTarget(Endpoint Announced, const WindowOptions &Window,
                 const HealthOptions &Health);

  /// Applies a newer announcement. \p Cold is set when the endpoint joins or
  /// rejoins.
  void announce(const Endpoint &Announced, std::uint32_t ShareCount, bool Cold);
  void setShareCount(std::uint32_t ShareCount);
  void advance(base::TimePoint Time) { m_Health.advance(Time); }

  void noteSent() { m_Window.noteSent(); }
  void noteSucceeded(const CallTiming &Timing);
  void noteFailed(base::TimePoint Time, double Jitter);
  void noteCancelled() { m_Window.noteEnded(); }
  void notePrefixUse(double ExpectedTokens, double CachedTokens);

  void park() { ++m_Parked; }
  void unpark() { --m_Parked; }

  const Endpoint &endpoint() const { return m_Endpoint; }
  const EndpointWindow &window() const { return m_Window; }
  const EndpointHealth &health() const { return m_Health; }
  const EndpointCosts &costs() const { return m_Costs; }
  std::uint32_t parked() const { return m_Parked; }

  /// Returns whether the endpoint may get one more call now. One slot is
  /// reserved for alarms.
  bool canAccept(CallClass Class, base::TimePoint Time) const;

  /// Calls that run or wait at the endpoint: those of this instance, and those
  /// of other instances by the last report, which lags.
  double load() const { return m_Window.outstanding() + m_OtherInstancesLoad; }

  /// Calls that the endpoint runs concurrently.
  double slots() const { return m_Slots; }

  /// Mean share of an expected prefix that the endpoint still had cached.
  double prefixHitShare() const { return m_PrefixHitShare; }

private:
  void applyReport();
  void updateWindowCap();

  // A routing decision reads these members of each endpoint, so they are
  // adjacent in memory.
  base::TimePoint m_UsableUntil; ///< In the past when the endpoint is leaving.
  double m_OtherInstancesLoad = 0.0;
  double m_Slots = 0.0;
  double m_PrefixHitShare = 1.0;
  std::uint32_t m_Parked = 0;
  EndpointCosts m_Costs;
  EndpointHealth m_Health;
  EndpointWindow m_Window;

  std::uint32_t m_ShareCount = 1;
  std::uint32_t m_OwnCallsAtReport = 0;
  std::uint32_t m_OwnCallsAtPreviousReport = 0;
  Endpoint m_Endpoint;
};

} // namespace psp::schedule

#endif
