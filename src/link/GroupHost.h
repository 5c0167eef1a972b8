/// \file
/// Runs one member of a replicated group in a process: its journal, its timer,
/// its messages to other members, and its part in changes of the membership.

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

#include <filesystem>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace psp::link {

struct GroupHostOptions {
  messages::fleet::GroupKind m_Kind = messages::fleet::GROUP_CONTROL;
  messages::fleet::NodeKind m_Nodes = messages::fleet::NODE_CONTROL;
  std::filesystem::path m_Folder;
  /// Identity of the disk if it is empty.
  std::string m_FreshIdentity;
  consensus::GroupOptions m_Group;
  std::size_t m_TargetMembers = 3;
  /// A member that is silent for this long is replaced if a substitute is
  /// there: well above an election, and so low that a substitute has caught up
  /// before the next loss has to be borne.
  base::Duration m_SilenceLimit = base::milliseconds(1800);
  /// How often the leader looks at the membership.
  base::Duration m_PlanInterval = base::milliseconds(400);
};

class GroupHost {
public:
  struct Handlers {
    /// After each event: commits, reads and a changed role are to be looked at.
    std::function<void()> m_OnProgress;
  };

  GroupHost(boost::asio::io_context &Io, GroupHostOptions Options,
            consensus::StateMachine &Machine, Hub &Links,
            fleet::NodeDirectory &Nodes, logging::EventLog &Log,
            Handlers Handle);

  void start();
  void found(const messages::fleet::GroupMembership &Founders);
  void onMessage(const consensus::Group::Message &Received);
  std::optional<std::uint64_t> propose(const std::string &Command);
  std::optional<std::uint64_t> beginRead();
  void handOver();
  /// Nodes that must not be members.
  void setRetiring(std::set<std::string> NodeNames);

  consensus::Group &group() { return m_Group; }
  const consensus::Group &group() const { return m_Group; }
  /// Name of the leader's node, empty while unknown.
  std::string leaderNode() const;
  bool isMemberNode(const std::string &Node) const;

private:
  void settleSoon();
  void settle();
  void send(consensus::Group::Message Message);
  void armTimer();
  void plan();
  consensus::MembershipPlanInput planInput(base::TimePoint Now) const;
  bool leaderIsRetiring() const;
  void reportRole();

  boost::asio::io_context &m_Io;
  boost::asio::steady_timer m_Timer;
  GroupHostOptions m_Options;
  Hub &m_Links;
  fleet::NodeDirectory &m_Nodes;
  logging::EventLog &m_Log;
  Handlers m_Handle;
  /// Stands for the journal until that is open: opening it hands the records to
  /// the group one by one, instead of holding all of them at once.
  class JournalSink : public base::RecordSink {
  public:
    std::uint64_t append(std::string_view Record) override {
      return m_Target->append(Record);
    }
    base::RecordSink *m_Target = nullptr;
  };
  JournalSink m_Sink;
  consensus::Group m_Group;
  storage::FileJournal m_Journal;
  std::set<std::string> m_Retiring;
  base::TimePoint m_PlanAt;
  consensus::GroupRole m_ReportedRole = consensus::GroupRole::Follower;
  std::string m_ReportedLeader;
  bool m_Settling = false;
  bool m_SettleQueued = false;
};

} // namespace psp::link

#endif
