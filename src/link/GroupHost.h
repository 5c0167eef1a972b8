/// \file
/// Hosts this node's members of replicated groups: their shared journal, their
/// timers, the messages to other members, and changes of the memberships.

#ifndef PSP_LINK_GROUPHOST_H
#define PSP_LINK_GROUPHOST_H

#include "consensus/Group.h"
#include "consensus/MembershipPlan.h"
#include "fleet/NodeDirectory.h"
#include "link/LinkManager.h"
#include "logging/EventLog.h"
#include "storage/FileJournal.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace psp::link {

/// Of one command, in bytes: with its entry it has to fit into a message.
inline constexpr std::size_t MaxCommandBytes = MaxMessageBytes - (64U << 10U);

struct GroupHostOptions {
  messages::fleet::GroupKind m_Kind = messages::fleet::GROUP_CONTROL;
  messages::fleet::NodeKind m_NodeKind = messages::fleet::NODE_CONTROL;
  std::filesystem::path m_Folder;
  /// Identity that the disk gets if it is empty.
  std::string m_NewDiskIdentity;
  /// A group that this node hosts from its start, before it has received a
  /// message of the group.
  std::optional<std::uint32_t> m_InitialGroup = {};
  /// Options of each group. The group's number is added to the seed.
  consensus::GroupOptions m_Group;
  std::size_t m_TargetMembers = 3;
  /// Maximum number of nodes besides the members that receive a group's log all
  /// the time, so that one of them can replace a lost member at once. If zero,
  /// a replacement only receives the log once a member has to be replaced.
  std::size_t m_MaxPermanentLearners = 0;
  /// A member that hasn't replied for this long is replaced if another node is
  /// available. Well above the duration of an election, and low enough that the
  /// replacement has caught up before the next failure that must be tolerated.
  base::Duration m_InactivityTimeout = base::milliseconds(1800);
  /// How often leaders check their group's membership.
  base::Duration m_MembershipCheckInterval = base::milliseconds(400);
  /// See storage::FileJournalOptions.
  std::uint64_t m_SegmentBytes = 4U << 20U;
};

/// A node may host many groups that are all busy. They share one journal, so
/// that one sync makes the pending records of all groups durable.
class GroupHost {
public:
  struct Handlers {
    /// Makes the state of a group that this node starts to host.
    std::function<consensus::StateMachine &(std::uint32_t Number)>
        m_MakeStateMachine;
    /// Called after each event of a group, which may have committed entries,
    /// made reads ready or changed the role.
    std::function<void(std::uint32_t Number)> m_OnProgress;
  };

  GroupHost(boost::asio::io_context &Io, GroupHostOptions Options,
            LinkManager &Links, fleet::NodeDirectory &Nodes,
            logging::EventLog &Log, Handlers Handle);

  /// Starts the groups that the journal holds, and the initial group, if any.
  /// An empty disk gets its identity.
  void start();
  /// Makes this node an initial member of the group; see
  /// consensus::Group::bootstrap().
  void bootstrap(std::uint32_t Number,
                 const messages::fleet::GroupMembership &InitialMembers);
  /// Passes the message to its group, unless it is for another disk. A message
  /// of a group that this node doesn't host yet makes it a learner of that
  /// group.
  void onMessage(const consensus::Group::Message &Received);
  // See the functions of consensus::Group. The first two also return nothing if
  // this node doesn't host the group, and the first one if the command is too
  // long.
  std::optional<std::uint64_t> propose(std::uint32_t Number,
                                       const std::string &Command);
  std::optional<std::uint64_t> beginRead(std::uint32_t Number);
  std::vector<std::uint64_t> takeReadyReads(std::uint32_t Number);
  /// Transfers the leadership of all groups that this node leads.
  void transferLeadership();
  void transferLeadership(std::uint32_t Number);
  /// Discards the group's log and state; see consensus::Group::leave().
  void leave(std::uint32_t Number);
  /// Sets the disks, by identity, that must not be members of any group.
  void setRetiringMembers(std::set<std::string> Members);
  /// Sets the number of groups in the whole deployment.
  void setGroupCount(std::size_t Count) { m_GroupCount = Count; }

  /// Identity of this node's disk.
  const std::string &identity() const { return m_Identity; }
  /// Null if this node doesn't host the group.
  const consensus::Group *find(std::uint32_t Number) const;
  std::vector<std::uint32_t> hostedGroups() const;
  /// Name of the leader's node, or empty if it is unknown.
  std::string leaderNode(std::uint32_t Number) const;
  std::uint64_t diskBytes() const { return m_Journal.diskBytes(); }

private:
  struct HostedGroup {
    std::unique_ptr<consensus::Group> m_Group;
    consensus::GroupRole m_ReportedRole = consensus::GroupRole::Follower;
    std::string m_ReportedLeader;
  };

  void restore(std::uint64_t Sequence, std::string_view Record);
  HostedGroup &openGroup(std::uint32_t Number);
  void writeIdentity();
  consensus::Group &groupOf(std::uint32_t Number);
  void markChanged(std::uint32_t Number);
  void flushChanges();
  void sendAll(std::vector<consensus::Group::Message> Messages);
  void releaseJournal();
  void armTimer();
  void onTimer();
  void balanceLeadership(std::size_t LedCount);
  void updateMembership(std::uint32_t Number);
  consensus::MembershipPlanInput makePlanInput(std::uint32_t Number,
                                               base::TimePoint Now) const;
  void reportRole(std::uint32_t Number);

  boost::asio::io_context &m_Io;
  boost::asio::steady_timer m_Timer;
  GroupHostOptions m_Options;
  LinkManager &m_Links;
  fleet::NodeDirectory &m_Nodes;
  logging::EventLog &m_Log;
  Handlers m_Handle;
  /// Lets groups refer to the journal before it is open. Opening the journal
  /// passes its records to the groups one by one, so that they don't have to be
  /// held in memory all at once.
  class JournalStore : public base::RecordStore {
  public:
    std::uint64_t append(std::string_view Record) override {
      return m_Target->append(Record);
    }
    std::string read(std::uint64_t Sequence) const override {
      return m_Target->read(Sequence);
    }
    storage::FileJournal *m_Target = nullptr;
  };
  JournalStore m_Store;
  std::string m_Identity;
  std::uint64_t m_IdentitySequence = 0;
  std::size_t m_GroupCount = 1;
  std::size_t m_TransferCount = 0; ///< Selects the next group to transfer.
  std::map<std::uint32_t, HostedGroup> m_Groups;
  storage::FileJournal m_Journal;
  std::set<std::string> m_Retiring;
  base::TimePoint m_MembershipCheckAt;
  std::optional<base::TimePoint> m_ArmedFor; ///< Expiry of the pending timer.
  std::set<std::uint32_t> m_ChangedGroups;   ///< Groups to be flushed.
  bool m_Flushing = false;
  bool m_FlushQueued = false;
};

} // namespace psp::link

#endif
