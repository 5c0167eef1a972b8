/// \file
/// The role of a voter as a state machine. A transition that the protocol does
/// not define is an internal error.

#ifndef PSP_CONTROL_ROLE_H
#define PSP_CONTROL_ROLE_H

#include <memory>

namespace psp::control {

enum class RoleKind { Follower, PreCandidate, Candidate, Leader };

/// "follower", "pre-candidate", "candidate" or "leader".
const char *roleName(RoleKind Kind);

class Role {
public:
  Role();
  ~Role();

  RoleKind kind() const;

  /// Starts to check whether an election can be won. Invalid for a leader.
  void startPreVote();

  /// A majority granted the pre-vote. Valid from PreCandidate only.
  void startElection();

  /// A majority granted its vote. Valid from Candidate only.
  void winElection();

  /// Another leader, a higher term, or loss of the quorum. Valid from any role.
  void follow();

private:
  struct Machine;
  std::unique_ptr<Machine> m_Machine;
};

} // namespace psp::control

#endif
