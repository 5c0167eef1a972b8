/// \file
/// Runs this machine's members of replicated groups in a process: their shared
/// journal, timers, messages to other members, and their part in changes of
/// the memberships.

#ifndef PSP_LINK_GROUPHOST_H
#define PSP_LINK_GROUPHOST_H

#include "consensus/Group.h"
#include "consensus/MembershipPlan.h"
#include "fleet/NodeDirectory.h"
#include "link/Hub.h"
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

struct GroupHostOptions {
  messages::fleet::GroupKind m_Kind = messages::fleet::GROUP_CONTROL;
  messages::fleet::NodeKind m_Nodes = messages::fleet::NODE_CONTROL;
  std::filesystem::path m_Folder;
  /// Identity of the disk if it is empty.
  std::string m_FreshIdentity;
  /// A group that this machine hosts also before it hears of it.
  std::optional<std::uint32_t> m_Always = {};
  /// Of each group; the seed is mixed with the group's number.
  consensus::GroupOptions m_Group;
  std::size_t m_TargetMembers = 3;
  /// Nodes beyond the members that receive a group's log all the time, so that
  /// one can take a lost member's place at once. With none a substitute
  /// receives it once a member is missing.
  std::size_t m_StandingLearners = 0;
  /// A member that is silent for this long is replaced if a substitute is
  /// there: well above an election, and so low that a substitute has caught up
  /// before the next loss has to be borne.
  base::Duration m_SilenceLimit = base::milliseconds(1800);
  /// How often leaders look at their membership.
  base::Duration m_PlanInterval = base::milliseconds(400);
  /// Length of a segment of the journal, in bytes.
  std::uint64_t m_SegmentBytes = 4U << 20U;
};

/// Load pattern: many groups on one machine, all busy. They share one journal,
/// so that one sync serves all that is ready, whichever group it belongs to.
class GroupHost {
public:
  struct Handlers {
    /// The state of a group that this machine hosts from now on.
    std::function<consensus::StateMachine &(std::uint32_t Number)> m_MakeState;
    /// After each event: commits, reads and a changed role are to be looked at.
    std::function<void(std::uint32_t Number)> m_OnProgress;
  };

  GroupHost(boost::asio::io_context &Io, GroupHostOptions Options, Hub &Links,
            fleet::NodeDirectory &Nodes, logging::EventLog &Log,
            Handlers Handle);

  /// Starts the groups that the journal holds.
  void start();
  void found(std::uint32_t Number,
             const messages::fleet::GroupMembership &Founders);
  /// Messages of a group that this machine doesn't host make it a learner.
  void onMessage(const consensus::Group::Message &Received);
  std::optional<std::uint64_t> propose(std::uint32_t Number,
                                       const std::string &Command);
  std::optional<std::uint64_t> beginRead(std::uint32_t Number);
  std::vector<std::uint64_t> takeReads(std::uint32_t Number);
  /// Hands the leadership of all groups to others.
  void handOver();
  void handOver(std::uint32_t Number);
  /// Forgets the group; see consensus::Group::leave().
  void leave(std::uint32_t Number);
  /// Disks that must not be members, by identity.
  void setRetiring(std::set<std::string> Members);
  /// How many groups there are in all.
  void setGroupCount(std::size_t Count) { m_GroupCount = Count; }

  /// Identity of this machine's disk.
  const std::string &identity() const { return m_Identity; }
  /// Null if this machine doesn't host the group.
  const consensus::Group *find(std::uint32_t Number) const;
  std::vector<std::uint32_t> hosted() const;
  /// Name of the leader's node, empty while unknown.
  std::string leaderNode(std::uint32_t Number) const;
  std::uint64_t diskBytes() const { return m_Journal.diskBytes(); }

private:
  struct Hosted {
    std::unique_ptr<consensus::Group> m_Group;
    consensus::GroupRole m_ReportedRole = consensus::GroupRole::Follower;
    std::string m_ReportedLeader;
  };

  void restore(std::uint64_t Sequence, std::string_view Record);
  Hosted &open(std::uint32_t Number);
  void writeIdentity();
  consensus::Group &groupOf(std::uint32_t Number);
  void changed(std::uint32_t Number);
  void settle();
  void sendAll(std::vector<consensus::Group::Message> Messages);
  void releaseJournal();
  void armTimer();
  void onTimer();
  void shedLeadership(std::size_t Led);
  void plan(std::uint32_t Number);
  consensus::MembershipPlanInput planInput(std::uint32_t Number,
                                           base::TimePoint Now) const;
  void reportRole(std::uint32_t Number);

  boost::asio::io_context &m_Io;
  boost::asio::steady_timer m_Timer;
  GroupHostOptions m_Options;
  Hub &m_Links;
  fleet::NodeDirectory &m_Nodes;
  logging::EventLog &m_Log;
  Handlers m_Handle;
  /// Stands for the journal until that is open: opening it hands the records to
  /// the groups one by one, instead of holding all of them at once.
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
  std::size_t m_Shed = 0; ///< Rotates between groups to be handed over.
  std::map<std::uint32_t, Hosted> m_Hosted;
  storage::FileJournal m_Journal;
  std::set<std::string> m_Retiring;
  base::TimePoint m_PlanAt;
  std::set<std::uint32_t> m_Changed; ///< Groups to be settled.
  bool m_Settling = false;
  bool m_SettleQueued = false;
};

} // namespace psp::link

#endif
