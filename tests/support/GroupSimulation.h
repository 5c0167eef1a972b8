/// \file
/// A seeded simulation of a replicated group: messages are delayed, lost and
/// reordered; members crash, lose their disks, are partitioned and replaced.

#ifndef PSP_TESTS_SUPPORT_GROUPSIMULATION_H
#define PSP_TESTS_SUPPORT_GROUPSIMULATION_H

#include "consensus/Group.h"
#include "consensus/MembershipPlan.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace psp::testsupport {

/// A disk that loses unsynced records in a power failure.
class SimulatedDisk : public base::RecordStore {
public:
  explicit SimulatedDisk(std::string Identity)
      : m_Identity(std::move(Identity)) {}

  const std::string &identity() const { return m_Identity; }
  std::uint64_t append(std::string_view Record) override {
    m_Pending.emplace_back(Record);
    return ++m_Appended;
  }
  void sync() {
    for (std::string &Record : m_Pending)
      m_Synced.emplace_back(m_Next++, std::move(Record));
    m_Pending.clear();
  }
  std::string read(std::uint64_t Sequence) const override;
  /// Drops records before \p Sequence, but only complete segments, as a real
  /// journal does.
  void release(std::uint64_t Sequence);
  void losePower() {
    m_Pending.clear();
    m_Appended = m_Next - 1;
  }
  const std::vector<std::pair<std::uint64_t, std::string>> &records() const {
    return m_Synced;
  }

private:
  std::string m_Identity;
  std::vector<std::pair<std::uint64_t, std::string>> m_Synced;
  std::vector<std::string> m_Pending;
  std::uint64_t m_Appended = 0;
  std::uint64_t m_Next = 1;
};

/// Holds all applied commands in order, and refers to the entries of the last
/// few.
class CommandList : public consensus::StateMachine {
public:
  static constexpr std::size_t ReferredEntries = 25;

  void apply(std::uint64_t Index, std::string_view Command,
             std::uint64_t) override;
  std::string snapshot() const override;
  void restore(std::string_view Snapshot) override;
  std::optional<std::uint64_t> oldestEntry() const override;

  std::vector<std::string> m_Commands;
  std::deque<std::uint64_t> m_Entries; ///< Indexes of the last commands.
};

struct GroupSimulationOptions {
  std::uint64_t m_Seed = 1;
  std::size_t m_Nodes = 3;
  std::size_t m_InitialMembers = 3;
  std::size_t m_TargetMembers = 3;
  double m_LossProbability = 0.02;
  std::uint64_t m_SnapshotThresholdBytes = 3000;
  /// Nodes besides the members receive the log all the time, otherwise only
  /// while a member is missing.
  bool m_PermanentLearners = true;
  /// Messages between two nodes keep their order, as on one connection.
  bool m_KeepsMessageOrder = false;
};

class GroupSimulation {
public:
  explicit GroupSimulation(GroupSimulationOptions Options);

  /// Advances the time in steps of a few milliseconds.
  void pass(base::Duration Length);

  void crash(std::size_t Node); ///< Loses unsynced records.
  void wipe(std::size_t Node);  ///< Crashes and loses the disk.
  void restart(std::size_t Node);
  /// Suspends the node: no messages arrive and no timers run.
  void freeze(std::size_t Node, bool Frozen);
  void partition(std::size_t Left, std::size_t Right, bool IsPartitioned);
  void healAll();

  /// Transfers the leadership, as at a planned stop of the leader's process.
  void transferLeadership();

  bool isRunning(std::size_t Node) const {
    return m_Nodes[Node].m_Group != nullptr;
  }
  std::optional<std::size_t> leader() const;
  /// Proposes \p Command to the current leader. Returns false if there is none.
  bool submit(const std::string &Command);
  /// Commands that a leader has reported as committed.
  const std::set<std::string> &acknowledged() const { return m_Acknowledged; }
  const std::vector<std::string> &applied(std::size_t Node) const {
    return m_Nodes[Node].m_Machine->m_Commands;
  }
  std::size_t memberCount() const;
  bool isCurrent(std::size_t Node) const {
    return m_Nodes[Node].m_Group->isCurrent();
  }
  /// Number of entries in all messages so far, including repetitions.
  std::uint64_t entriesSent() const { return m_EntriesSent; }
  std::mt19937_64 &random() { return m_Random; }
  std::size_t size() const { return m_Nodes.size(); }
  /// Returns a command that the state of \p Node refers to but that can't be
  /// read from its log.
  std::optional<std::string> findUnreadable(std::size_t Node) const;
  /// Makes the node leave the group if it isn't in the leader's committed
  /// membership.
  void leaveIfRemoved(std::size_t Node);
  /// Number of records on the node's disk.
  std::size_t recordCount(std::size_t Node) const {
    return m_Nodes[Node].m_Disk->records().size();
  }
  /// Describes a position at which two nodes have applied different commands.
  std::optional<std::string> findDivergence() const;

private:
  struct Node {
    std::unique_ptr<SimulatedDisk> m_Disk;
    std::unique_ptr<CommandList> m_Machine;
    std::unique_ptr<consensus::Group> m_Group;
    std::string m_Identity;
    bool m_Frozen = false;
    std::map<std::uint64_t, std::string> m_Proposed; ///< By index.
    std::uint64_t m_ProposedTerm = 0;
  };
  struct InFlightMessage {
    base::TimePoint m_At;
    std::size_t m_From = 0;
    std::size_t m_To = 0;
    consensus::Group::Message m_Message;
  };

  std::unique_ptr<SimulatedDisk> makeDisk();
  void startNode(std::size_t Node);
  void syncAndSend(std::size_t Node);
  void send(std::size_t From,
            const std::vector<consensus::Group::Message> &Messages);
  void deliver();
  void updateMembership(std::size_t Node);
  base::Now now() const;

  GroupSimulationOptions m_Options;
  std::mt19937_64 m_Random;
  base::TimePoint m_Time{base::seconds(1)};
  std::vector<Node> m_Nodes;
  std::vector<InFlightMessage> m_InFlight;
  std::set<std::pair<std::size_t, std::size_t>> m_Partitions;
  std::set<std::string> m_Acknowledged;
  std::uint64_t m_Disks = 0;
  std::uint64_t m_EntriesSent = 0;
};

} // namespace psp::testsupport

#endif
