/// \file
/// Whether an endpoint may get work, seen from how its last calls ended. One
/// that fails several calls in a row is left out, and is probed with a single
/// call after a back-off that doubles with each failed probe.

#ifndef PSP_SCHEDULE_ENDPOINTHEALTH_H
#define PSP_SCHEDULE_ENDPOINTHEALTH_H

#include "base/Time.h"

#include <memory>
#include <string_view>

namespace psp::schedule {

enum class HealthState { Healthy, LeftOut, Probing };

std::string_view healthStateName(HealthState State);

struct HealthOptions {
  unsigned m_FailuresInARow = 3;
  base::Duration m_FirstBackoff = base::seconds(1);
  base::Duration m_MaxBackoff = base::seconds(30);
};

class EndpointHealth {
public:
  explicit EndpointHealth(const HealthOptions &Options);
  ~EndpointHealth();
  EndpointHealth(EndpointHealth &&) noexcept;
  EndpointHealth &operator=(EndpointHealth &&) noexcept;

  void noteSuccess();

  /// \p Jitter, from 0 to 1, spreads the probes of several instances.
  void noteFailure(base::TimePoint Time, double Jitter);

  /// Lets the time pass: a back-off may be over.
  void advance(base::TimePoint Time);

  HealthState state() const { return m_State; }

  /// When a left-out endpoint is probed next.
  base::TimePoint probeTime() const;

private:
  class Machine;
  std::unique_ptr<Machine> m_Machine;
  HealthState m_State = HealthState::Healthy;
};

} // namespace psp::schedule

#endif
