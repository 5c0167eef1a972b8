#include "consensus/MembershipPlan.h"

#include <algorithm>
#include <map>

namespace psp::consensus {

using messages::fleet::GroupMember;
using messages::fleet::GroupMembership;

namespace {

const MemberCandidate *findCandidate(const MembershipPlanInput &Input,
                                     const std::string &Identity) {
  for (const MemberCandidate &Candidate : Input.m_Candidates)
    if (Candidate.m_Identity == Identity)
      return &Candidate;
  return nullptr;
}

bool isMember(const GroupMembership &Membership, const std::string &Identity) {
  return std::ranges::any_of(
      Membership.members(),
      [&](const GroupMember &Member) { return Member.id() == Identity; });
}

/// Whether the member's node has restarted with another disk.
bool hasNewDisk(const MembershipPlanInput &Input, const GroupMember &Member) {
  return std::ranges::any_of(
      Input.m_Candidates, [&](const MemberCandidate &Candidate) {
        return Candidate.m_Host == Member.host() &&
               Candidate.m_Identity != Member.id() && Candidate.m_Reachable;
      });
}

bool needsReplacement(const MembershipPlanInput &Input,
                      const GroupMember &Member) {
  if (Member.id() == Input.m_Leader)
    return false;
  const MemberCandidate *Candidate = findCandidate(Input, Member.id());
  return !Candidate || !Candidate->m_Reachable || Candidate->m_Retiring;
}

GroupMembership without(const GroupMembership &Membership,
                        const std::string &Identity) {
  GroupMembership Next;
  for (const GroupMember &Member : Membership.members())
    if (Member.id() != Identity)
      *Next.add_members() = Member;
  return Next;
}

GroupMembership with(GroupMembership Membership, const MemberCandidate &Added) {
  GroupMember &Member = *Membership.add_members();
  Member.set_id(Added.m_Identity);
  Member.set_host(Added.m_Host);
  return Membership;
}

std::map<std::string, std::size_t>
membersByDataCentre(const MembershipPlanInput &Input) {
  std::map<std::string, std::size_t> Counts;
  for (const GroupMember &Member : Input.m_Current.members())
    if (const MemberCandidate *Candidate = findCandidate(Input, Member.id());
        Candidate && !needsReplacement(Input, Member))
      ++Counts[Candidate->m_DataCentre];
  return Counts;
}

/// Returns the node that should become a member next, or null if none can.
const MemberCandidate *pickReplacement(const MembershipPlanInput &Input,
                                       bool CaughtUp = true) {
  auto Counts = membersByDataCentre(Input);
  const MemberCandidate *Best = nullptr;
  for (const MemberCandidate &Candidate : Input.m_Candidates) {
    if (!Candidate.m_Reachable || (CaughtUp && !Candidate.m_CaughtUp) ||
        Candidate.m_Retiring || isMember(Input.m_Current, Candidate.m_Identity))
      continue;
    if (!Best || Counts[Candidate.m_DataCentre] < Counts[Best->m_DataCentre])
      Best = &Candidate;
  }
  return Best;
}

/// Whether some data centre has at least two members more than the data centre
/// of \p Added.
bool improvesSpread(const MembershipPlanInput &Input,
                    const MemberCandidate &Added) {
  auto Counts = membersByDataCentre(Input);
  const std::size_t OwnCount = Counts[Added.m_DataCentre];
  return std::ranges::any_of(
      Counts, [&](const auto &Count) { return Count.second >= OwnCount + 2; });
}

/// Returns the member that should be removed from a group with too many: one of
/// the data centre with the most members.
const GroupMember *pickSurplusMember(const MembershipPlanInput &Input) {
  auto Counts = membersByDataCentre(Input);
  const GroupMember *Surplus = nullptr;
  std::size_t MaxCount = 0;
  for (const GroupMember &Member : Input.m_Current.members()) {
    const MemberCandidate *Candidate = findCandidate(Input, Member.id());
    if (!Candidate || Member.id() == Input.m_Leader ||
        Counts[Candidate->m_DataCentre] < MaxCount)
      continue;
    MaxCount = Counts[Candidate->m_DataCentre];
    Surplus = &Member;
  }
  return Surplus;
}

} // namespace

std::optional<GroupMembership>
planMembership(const MembershipPlanInput &Input) {
  const GroupMembership &Current = Input.m_Current;
  const auto Size = static_cast<std::size_t>(Current.members_size());
  const GroupMember *Replaced = nullptr;
  for (const GroupMember &Member : Current.members()) {
    if (Member.id() != Input.m_Leader && hasNewDisk(Input, Member))
      return without(Current, Member.id());
    if (needsReplacement(Input, Member))
      Replaced = &Member;
  }
  if (Size > Input.m_TargetMembers) {
    const GroupMember *Surplus = Replaced ? Replaced : pickSurplusMember(Input);
    return Surplus ? std::optional(without(Current, Surplus->id()))
                   : std::nullopt;
  }
  const MemberCandidate *Replacement = pickReplacement(Input);
  if (!Replacement)
    return std::nullopt;
  if (Size < Input.m_TargetMembers || Replaced ||
      improvesSpread(Input, *Replacement))
    return with(Current, *Replacement);
  return std::nullopt;
}

std::set<std::string> planLearners(const MembershipPlanInput &Input,
                                   std::size_t MaxLearners) {
  std::set<std::string> Learners;
  for (const MemberCandidate &Candidate : Input.m_Candidates)
    if (Candidate.m_Reachable && !Candidate.m_Retiring &&
        Learners.size() < MaxLearners &&
        !isMember(Input.m_Current, Candidate.m_Identity))
      Learners.insert(Candidate.m_Identity);
  return Learners;
}

std::set<std::string> planReplacementLearner(const MembershipPlanInput &Input) {
  const auto &Members = Input.m_Current.members();
  const bool IsNeeded =
      static_cast<std::size_t>(Members.size()) < Input.m_TargetMembers ||
      std::ranges::any_of(Members, [&](const GroupMember &Member) {
        return needsReplacement(Input, Member);
      });
  const MemberCandidate *Replacement = pickReplacement(Input, false);
  return Replacement && (IsNeeded || improvesSpread(Input, *Replacement))
             ? std::set<std::string>{Replacement->m_Identity}
             : std::set<std::string>{};
}

GroupMembership
planInitialMembership(const std::vector<MemberCandidate> &Candidates,
                      std::size_t TargetSize) {
  MembershipPlanInput Input;
  Input.m_Candidates = Candidates;
  for (MemberCandidate &Candidate : Input.m_Candidates)
    Candidate.m_CaughtUp = true;
  while (static_cast<std::size_t>(Input.m_Current.members_size()) <
         TargetSize) {
    const MemberCandidate *Next = pickReplacement(Input);
    if (!Next)
      break;
    Input.m_Current = with(Input.m_Current, *Next);
  }
  const int Count = Input.m_Current.members_size();
  if (Count > 1 && Count % 2 == 0)
    Input.m_Current.mutable_members()->RemoveLast();
  return Input.m_Current;
}

std::vector<GroupMembership>
planInitialMemberships(std::vector<MemberCandidate> Candidates,
                       std::size_t TargetSize, std::size_t GroupCount) {
  std::map<std::string, std::size_t> MemberCounts;
  std::vector<GroupMembership> Memberships;
  while (Memberships.size() < GroupCount) {
    std::ranges::stable_sort(Candidates, {},
                             [&](const MemberCandidate &Candidate) {
                               return MemberCounts[Candidate.m_Identity];
                             });
    Memberships.push_back(planInitialMembership(Candidates, TargetSize));
    for (const GroupMember &Member : Memberships.back().members())
      ++MemberCounts[Member.id()];
  }
  return Memberships;
}

} // namespace psp::consensus
