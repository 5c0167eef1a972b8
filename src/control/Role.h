/// \file
/// The role of a voter as a state machine. Transitions that the protocol
/// doesn't have are internal errors.

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

  /// Asks whether an election could be won. Not for a leader.
  void startPreVote();

  /// A majority would vote: from PreCandidate only.
  void startElection();

  /// A majority has voted: from Candidate only.
  void winElection();

  /// Another leader, a higher term, or no quorum: from any role.
  void follow();

private:
  struct Machine;
  std::unique_ptr<Machine> m_Machine;
};

} // namespace psp::control

#endif
