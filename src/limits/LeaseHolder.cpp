#include "limits/LeaseHolder.h"

#include "base/Error.h"
#include "limits/LimitOptions.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace psp::limits {
namespace {

namespace msm = boost::msm;
using msm::front::Row;

struct RoundBegan {};
struct MajorityGranted {};
struct RoundAbandoned {};
struct LeaseExpired {};
struct StopRequested {};
struct Drained {};

template <LeasePhase Value> struct PhaseState : msm::front::state<> {};

struct MachineDefinition : msm::front::state_machine_def<MachineDefinition> {
  using Idle = PhaseState<LeasePhase::Idle>;
  using Requesting = PhaseState<LeasePhase::Requesting>;
  using Holding = PhaseState<LeasePhase::Holding>;
  using Draining = PhaseState<LeasePhase::Draining>;
  using Stopped = PhaseState<LeasePhase::Stopped>;
  using initial_state = Idle;

  // Boost.MSM's back end looks for this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
      : boost::mpl::vector<
            //  from      event            to
            Row<Idle, RoundBegan, Requesting>,
            Row<Requesting, MajorityGranted, Holding>,
            Row<Requesting, RoundAbandoned, Idle>,
            Row<Holding, LeaseExpired, Idle>, Row<Idle, StopRequested, Stopped>,
            Row<Requesting, StopRequested, Stopped>,
            Row<Holding, StopRequested, Draining>,
            Row<Draining, Drained, Stopped>,
            Row<Draining, LeaseExpired, Stopped>> {};

  template <class Machine, class Event>
  void no_transition(const Event &, Machine &, int) {
    throw base::InternalError(
        "expected a lease event that is valid in the current phase");
  }
};

} // namespace

class LeaseHolder::StateMachine
    : public msm::back::state_machine<MachineDefinition> {};

LeaseHolder::LeaseHolder(LeaseHolderOptions Options)
    : m_Options(Options), m_StateMachine(std::make_unique<StateMachine>()) {
  m_StateMachine->start();
}

LeaseHolder::~LeaseHolder() = default;
LeaseHolder::LeaseHolder(LeaseHolder &&) noexcept = default;
LeaseHolder &LeaseHolder::operator=(LeaseHolder &&) noexcept = default;

LeasePhase LeaseHolder::phase() const {
  // Boost.MSM's back end numbers the states in the order in which the
  // transition table first names them as a source, then the other targets.
  static constexpr LeasePhase PhaseByState[] = {
      LeasePhase::Idle, LeasePhase::Requesting, LeasePhase::Holding,
      LeasePhase::Draining, LeasePhase::Stopped};
  return PhaseByState[m_StateMachine->current_state()[0]];
}

std::uint64_t LeaseHolder::beginRound(base::TimePoint Now) {
  if (phase() != LeasePhase::Holding && phase() != LeasePhase::Draining)
    m_StateMachine->process_event(RoundBegan());
  m_GrantingVoters.clear();
  m_RoundStartedAt = Now;
  return ++m_RoundNumber;
}

bool LeaseHolder::onGrant(const base::InstanceId &Voter,
                          std::uint64_t RoundNumber, base::TimePoint Now) {
  const LeasePhase CurrentPhase = phase();
  if (RoundNumber != m_RoundNumber || CurrentPhase == LeasePhase::Idle ||
      CurrentPhase == LeasePhase::Stopped)
    return false;
  m_GrantingVoters.insert(Voter);
  if (m_GrantingVoters.size() < m_Options.m_Majority)
    return false;
  const base::TimePoint ExpiresAt =
      m_RoundStartedAt +
      shortenedForDrift(m_Options.m_LeaseDuration, m_Options.m_ClockDrift);
  if (Now >= ExpiresAt)
    return false;
  m_ExpiresAt = ExpiresAt;
  if (CurrentPhase != LeasePhase::Requesting)
    return false;
  m_StateMachine->process_event(MajorityGranted());
  return true;
}

void LeaseHolder::abandonRound() {
  m_GrantingVoters.clear();
  m_StateMachine->process_event(RoundAbandoned());
}

bool LeaseHolder::expire(base::TimePoint Now) {
  const LeasePhase CurrentPhase = phase();
  if (CurrentPhase != LeasePhase::Holding &&
      CurrentPhase != LeasePhase::Draining)
    return false;
  if (Now < m_ExpiresAt)
    return false;
  m_StateMachine->process_event(LeaseExpired());
  return true;
}

void LeaseHolder::stop() {
  const LeasePhase CurrentPhase = phase();
  if (CurrentPhase != LeasePhase::Stopped &&
      CurrentPhase != LeasePhase::Draining)
    m_StateMachine->process_event(StopRequested());
}

void LeaseHolder::finishDraining() { m_StateMachine->process_event(Drained()); }

bool LeaseHolder::holds(base::TimePoint Now) const {
  const LeasePhase CurrentPhase = phase();
  return (CurrentPhase == LeasePhase::Holding ||
          CurrentPhase == LeasePhase::Draining) &&
         Now < m_ExpiresAt;
}

} // namespace psp::limits
