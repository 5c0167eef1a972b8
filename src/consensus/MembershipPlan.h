/// \file
/// Plans changes of a group's membership.

#ifndef PSP_CONSENSUS_MEMBERSHIPPLAN_H
#define PSP_CONSENSUS_MEMBERSHIPPLAN_H

#include "base/Time.h"
#include "generated/fleet.pb.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace psp::consensus {

/// A node that is or may become a member, as seen by the leader.
struct MemberCandidate {
  std::string m_Identity;
  std::string m_Host;
  std::string m_DataCentre;
  bool m_Reachable = false; ///< Replied to the leader in time.
  bool m_CaughtUp = false;  ///< Lacks the last few entries at most.
  bool m_Retiring = false;  ///< Is being decommissioned.
};

struct MembershipPlanInput {
  messages::fleet::GroupMembership m_Current;
  std::string m_Leader; ///< Identity.
  std::vector<MemberCandidate> m_Candidates;
  std::size_t m_TargetMembers = 3; ///< Twice the tolerated failures plus one.
};

/// Returns the next membership, which differs by one member from the current
/// one, or nothing if no change is needed or possible:
///  - A member whose node has restarted with an empty disk is removed.
///  - Below the target size, a node that has caught up is added, from the data
///    centre with the fewest members.
///  - An unreachable or retiring member is removed once the group exceeds its
///    target size. The group may exceed it by one, to add a node that replaces
///    such a member.
///  - If a data centre has at least two members fewer than another one, a node
///    of the former is added and a member of the latter removed. The loss of
///    one data centre must not cost the group its majority when its members can
///    be spread.
std::optional<messages::fleet::GroupMembership>
planMembership(const MembershipPlanInput &Input);

/// Chooses the nodes that should receive the log without being members, so that
/// they can become members at once: all available ones, up to \p MaxLearners.
std::set<std::string> planLearners(const MembershipPlanInput &Input,
                                   std::size_t MaxLearners);

/// Chooses the node that should receive the log because a member is missing,
/// unreachable or retiring, or should be in another data centre. Empty if no
/// member has to be replaced.
std::set<std::string> planReplacementLearner(const MembershipPlanInput &Input);

/// Chooses the initial members of a group among \p Candidates: an odd number,
/// up to \p TargetSize, spread over data centres.
messages::fleet::GroupMembership
planInitialMembership(const std::vector<MemberCandidate> &Candidates,
                      std::size_t TargetSize);

/// Chooses the initial members of \p GroupCount groups, so that each candidate
/// is a member of about as many groups as any other.
std::vector<messages::fleet::GroupMembership>
planInitialMemberships(std::vector<MemberCandidate> Candidates,
                       std::size_t TargetSize, std::size_t GroupCount);

} // namespace psp::consensus

#endif
