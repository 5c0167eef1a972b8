#include "schedule/EndpointHealth.h"

#include "base/Error.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>

namespace psp::schedule {
namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;

struct Succeeded {};
struct Failed {
  base::TimePoint m_Time;
  double m_Jitter;
};
struct TimePassed {
  base::TimePoint m_Time;
};

struct Healthy : front::state<> {};
struct Ejected : front::state<> {};
struct Probing : front::state<> {};

struct ResetFailures {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event &, Fsm &Machine, From &, To &) {
    Machine.m_ConsecutiveFailures = 0;
    Machine.m_Backoff = Machine.m_Options.m_FirstBackoff;
  }
};

struct CountFailure {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event &, Fsm &Machine, From &, To &) {
    ++Machine.m_ConsecutiveFailures;
  }
};

struct Eject {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event &Failure, Fsm &Machine, From &, To &) {
    const auto JitteredBackoff =
        static_cast<double>(Machine.m_Backoff.count()) *
        (0.5 + Failure.m_Jitter);
    Machine.m_ProbeTime =
        Failure.m_Time +
        base::Duration(static_cast<base::Duration::rep>(JitteredBackoff));
    Machine.m_Backoff =
        std::min(Machine.m_Backoff * 2, Machine.m_Options.m_MaxBackoff);
  }
};

struct TooManyFailures {
  template <typename Event, typename Fsm, typename From, typename To>
  bool operator()(const Event &, Fsm &Machine, From &, To &) {
    return Machine.m_ConsecutiveFailures + 1 >=
           Machine.m_Options.m_FailuresToEject;
  }
};

struct BackoffElapsed {
  template <typename Event, typename Fsm, typename From, typename To>
  bool operator()(const Event &Passed, Fsm &Machine, From &, To &) {
    return Passed.m_Time >= Machine.m_ProbeTime;
  }
};

/// Boost.MSM numbers the states in the order of their first use in the table
/// below. The order must match HealthState.
struct HealthMachine : front::state_machine_def<HealthMachine> {
  using initial_state = Healthy; // NOLINT(readability-identifier-naming)
  using None = front::none;
  // Among rows with the same state and event, the last row whose guard holds is
  // taken.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
      : boost::mpl::vector<
            front::Row<Healthy, Succeeded, None, ResetFailures, None>,
            front::Row<Healthy, Failed, None, CountFailure, None>,
            front::Row<Healthy, Failed, Ejected, Eject, TooManyFailures>,
            front::Row<Ejected, TimePassed, Probing, None, BackoffElapsed>,
            front::Row<Probing, Succeeded, Healthy, ResetFailures, None>,
            front::Row<Probing, Failed, Ejected, Eject, None>> {};

  template <typename Event, typename Fsm>
  void no_transition(const Event &, Fsm &, int) {
    // Late results of earlier calls change nothing while the endpoint is
    // ejected.
  }

  HealthOptions m_Options;
  unsigned m_ConsecutiveFailures = 0;
  base::Duration m_Backoff{};
  base::TimePoint m_ProbeTime;
};

} // namespace

class EndpointHealth::Machine : public msm::back::state_machine<HealthMachine> {
};

std::string_view healthStateName(HealthState State) {
  switch (State) {
  case HealthState::Healthy:
    return "healthy";
  case HealthState::Ejected:
    return "ejected";
  case HealthState::Probing:
    return "probing";
  }
  throw base::InternalError("expected a health state, found an unknown value");
}

EndpointHealth::EndpointHealth(const HealthOptions &Options)
    : m_Machine(std::make_unique<Machine>()) {
  m_Machine->m_Options = Options;
  m_Machine->m_Backoff = Options.m_FirstBackoff;
  m_Machine->start();
}

EndpointHealth::~EndpointHealth() = default;
EndpointHealth::EndpointHealth(EndpointHealth &&) noexcept = default;
EndpointHealth &EndpointHealth::operator=(EndpointHealth &&) noexcept = default;

void EndpointHealth::noteSuccess() {
  m_Machine->process_event(Succeeded{});
  m_State = static_cast<HealthState>(m_Machine->current_state()[0]);
}

void EndpointHealth::noteFailure(base::TimePoint Time, double Jitter) {
  m_Machine->process_event(Failed{Time, Jitter});
  m_State = static_cast<HealthState>(m_Machine->current_state()[0]);
}

void EndpointHealth::advance(base::TimePoint Time) {
  if (m_State != HealthState::Ejected)
    return;
  m_Machine->process_event(TimePassed{Time});
  m_State = static_cast<HealthState>(m_Machine->current_state()[0]);
}

base::TimePoint EndpointHealth::probeTime() const {
  return m_Machine->m_ProbeTime;
}

} // namespace psp::schedule
