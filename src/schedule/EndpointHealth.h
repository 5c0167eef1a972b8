/// \file
/// Decides from the results of recent calls whether an endpoint may get work.
/// An endpoint that fails several calls in a row is ejected. After a back-off,
/// which doubles with each failed probe, it is probed with a single call.

#ifndef PSP_SCHEDULE_ENDPOINTHEALTH_H
#define PSP_SCHEDULE_ENDPOINTHEALTH_H

#include "base/Time.h"

#include <memory>
#include <string_view>

namespace psp::schedule {

enum class HealthState { Healthy, Ejected, Probing };

std::string_view healthStateName(HealthState State);

struct HealthOptions {
  unsigned m_FailuresToEject = 3; ///< Consecutive failures.
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

  /// \p Jitter, between 0 and 1, spreads the probes of several instances.
  void noteFailure(base::TimePoint Time, double Jitter);

  /// Starts probing when the back-off has elapsed at \p Time.
  void advance(base::TimePoint Time);

  HealthState state() const { return m_State; }

  /// When an ejected endpoint is probed next.
  base::TimePoint probeTime() const;

private:
  class Machine;
  std::unique_ptr<Machine> m_Machine;
  HealthState m_State = HealthState::Healthy;
};

} // namespace psp::schedule

#endif
