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
struct StopAsked {};
struct Drained {};

template <LeasePhase Value> struct PhaseState : msm::front::state<> {};

struct MachineDefinition : msm::front::state_machine_def<MachineDefinition> {
  using Idle = PhaseState<LeasePhase::Idle>;
  using Asking = PhaseState<LeasePhase::Asking>;
  using Holding = PhaseState<LeasePhase::Holding>;
  using Draining = PhaseState<LeasePhase::Draining>;
  using Stopped = PhaseState<LeasePhase::Stopped>;
  using initial_state = Idle;

  // The back end looks for this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
      : boost::mpl::vector<
            //  from      event            to
            Row<Idle, RoundBegan, Asking>,
            Row<Asking, MajorityGranted, Holding>,
            Row<Asking, RoundAbandoned, Idle>, Row<Holding, LeaseExpired, Idle>,
            Row<Idle, StopAsked, Stopped>, Row<Asking, StopAsked, Stopped>,
            Row<Holding, StopAsked, Draining>, Row<Draining, Drained, Stopped>,
            Row<Draining, LeaseExpired, Stopped>> {};

  template <class Machine, class Event>
  void no_transition(const Event &, Machine &, int) {
    throw base::InternalError("expected no such event in this lease phase");
  }
};

} // namespace

class LeaseHolder::Machine
    : public msm::back::state_machine<MachineDefinition> {};

LeaseHolder::LeaseHolder(LeaseHolderOptions Options)
    : m_Options(Options), m_Machine(std::make_unique<Machine>()) {
  m_Machine->start();
}

LeaseHolder::~LeaseHolder() = default;
LeaseHolder::LeaseHolder(LeaseHolder &&) noexcept = default;
LeaseHolder &LeaseHolder::operator=(LeaseHolder &&) noexcept = default;

LeasePhase LeaseHolder::phase() const {
  // The back end numbers the states in the order in which the table first
  // names them as a source, and then the remaining targets.
  static constexpr LeasePhase Order[] = {
      LeasePhase::Idle, LeasePhase::Asking, LeasePhase::Holding,
      LeasePhase::Draining, LeasePhase::Stopped};
  return Order[m_Machine->current_state()[0]];
}

std::uint64_t LeaseHolder::beginRound(base::TimePoint Now) {
  if (phase() != LeasePhase::Holding && phase() != LeasePhase::Draining)
    m_Machine->process_event(RoundBegan());
  m_Grants.clear();
  m_AskedAt = Now;
  return ++m_Number;
}

bool LeaseHolder::onGrant(const base::InstanceId &Voter, std::uint64_t Number,
                          base::TimePoint Now) {
  const LeasePhase Phase = phase();
  if (Number != m_Number || Phase == LeasePhase::Idle ||
      Phase == LeasePhase::Stopped)
    return false;
  m_Grants.insert(Voter);
  if (m_Grants.size() < m_Options.m_Majority)
    return false;
  const base::TimePoint End =
      m_AskedAt + shortened(m_Options.m_Lease, m_Options.m_ClockDrift);
  if (Now >= End)
    return false;
  m_End = End;
  if (Phase != LeasePhase::Asking)
    return false;
  m_Machine->process_event(MajorityGranted());
  return true;
}

void LeaseHolder::abandonRound() {
  m_Grants.clear();
  m_Machine->process_event(RoundAbandoned());
}

bool LeaseHolder::expire(base::TimePoint Now) {
  const LeasePhase Phase = phase();
  if (Phase != LeasePhase::Holding && Phase != LeasePhase::Draining)
    return false;
  if (Now < m_End)
    return false;
  m_Machine->process_event(LeaseExpired());
  return true;
}

void LeaseHolder::stop() {
  const LeasePhase Phase = phase();
  if (Phase != LeasePhase::Stopped && Phase != LeasePhase::Draining)
    m_Machine->process_event(StopAsked());
}

void LeaseHolder::finishDraining() { m_Machine->process_event(Drained()); }

bool LeaseHolder::holds(base::TimePoint Now) const {
  const LeasePhase Phase = phase();
  return (Phase == LeasePhase::Holding || Phase == LeasePhase::Draining) &&
         Now < m_End;
}

} // namespace psp::limits
