#include "control/Role.h"

#include "base/Error.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace psp::control {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct PreVoteStarted {};
struct ElectionStarted {};
struct ElectionWon {};
struct LeaderChanged {};

struct RoleDefinition : msm::front::state_machine_def<RoleDefinition> {
  struct Follower : msm::front::state<> {};
  struct PreCandidate : msm::front::state<> {};
  struct Candidate : msm::front::state<> {};
  struct Leader : msm::front::state<> {};
  using initial_state = Follower;

  // The states must first appear in the order of RoleKind, because kind()
  // converts their position. Boost.MSM requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  // clang-format off
  struct transition_table : boost::mpl::vector<
      //  From          Event            To
      Row<Follower,     PreVoteStarted,  PreCandidate, none, none>,
      Row<Follower,     LeaderChanged,   Follower,     none, none>,
      Row<PreCandidate, PreVoteStarted,  PreCandidate, none, none>,
      Row<PreCandidate, ElectionStarted, Candidate,    none, none>,
      Row<PreCandidate, LeaderChanged,   Follower,     none, none>,
      Row<Candidate,    PreVoteStarted,  PreCandidate, none, none>,
      Row<Candidate,    ElectionWon,     Leader,       none, none>,
      Row<Candidate,    LeaderChanged,   Follower,     none, none>,
      Row<Leader,       LeaderChanged,   Follower,     none, none>
      > {};
  // clang-format on
  // NOLINTEND(readability-identifier-naming)

  template <typename Fsm, typename Event>
  void no_transition(const Event &, Fsm &, int) {
    throw base::InternalError("invalid transition of a voter's role");
  }

  // Lets exceptions propagate; by default Boost.MSM would discard them.
  using no_exception_thrown = int;
};

} // namespace

struct Role::Machine : msm::back::state_machine<RoleDefinition> {};

const char *roleName(RoleKind Kind) {
  switch (Kind) {
  case RoleKind::Follower:
    return "follower";
  case RoleKind::PreCandidate:
    return "pre-candidate";
  case RoleKind::Candidate:
    return "candidate";
  case RoleKind::Leader:
    return "leader";
  }
  return "unknown";
}

Role::Role() : m_Machine(std::make_unique<Machine>()) { m_Machine->start(); }

Role::~Role() = default;

RoleKind Role::kind() const {
  return static_cast<RoleKind>(m_Machine->current_state()[0]);
}

void Role::startPreVote() { m_Machine->process_event(PreVoteStarted()); }

void Role::startElection() { m_Machine->process_event(ElectionStarted()); }

void Role::winElection() { m_Machine->process_event(ElectionWon()); }

void Role::follow() { m_Machine->process_event(LeaderChanged()); }

} // namespace psp::control
