/// \file
/// A replicated group under a seed: messages that are delayed, lost and
/// reordered, members that crash, lose their disks, are cut off and replaced.

#ifndef PSP_TESTS_SUPPORT_GROUPSIMULATION_H
#define PSP_TESTS_SUPPORT_GROUPSIMULATION_H

#include "consensus/Group.h"
#include "consensus/MembershipPlan.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace psp::testsupport {

/// A disk that forgets what wasn't synced.
class SimulatedDisk : public base::RecordSink {
public:
  std::uint64_t append(std::string_view Record) override {
    m_Pending.emplace_back(Record);
    return ++m_Appended;
  }
  void sync() {
    for (std::string &Each : m_Pending)
      m_Synced.emplace_back(m_Next++, std::move(Each));
    m_Pending.clear();
  }
  void replace(const consensus::GroupCheckpoint &Content) {
    sync();
    std::erase_if(m_Synced, [&](const auto &Each) {
      return Each.first <= Content.m_Covered;
    });
    m_Synced.insert(m_Synced.begin(), {Content.m_Covered, Content.m_Record});
  }
  void losePower() {
    m_Pending.clear();
    m_Appended = m_Next - 1;
  }
  const std::vector<std::pair<std::uint64_t, std::string>> &records() const {
    return m_Synced;
  }

private:
  std::vector<std::pair<std::uint64_t, std::string>> m_Synced;
  std::vector<std::string> m_Pending;
  std::uint64_t m_Appended = 0;
  std::uint64_t m_Next = 1;
};

/// Remembers every command that was applied, in order.
class CommandList : public consensus::StateMachine {
public:
  void apply(std::uint64_t, std::string_view Command, std::uint64_t) override {
    m_Commands.emplace_back(Command);
  }
  std::string snapshot() const override;
  void restore(std::string_view Snapshot) override;

  std::vector<std::string> m_Commands;
};

struct GroupSimulationOptions {
  std::uint64_t m_Seed = 1;
  std::size_t m_Nodes = 3;
  std::size_t m_Founders = 3;
  std::size_t m_TargetMembers = 3;
  double m_LossShare = 0.02;
  std::uint64_t m_CompactBytes = 3000;
  /// Messages between two nodes keep their order, as on one connection.
  bool m_KeepsOrder = false;
};

class GroupSimulation {
public:
  explicit GroupSimulation(GroupSimulationOptions Options);

  /// Lets time pass in steps of a few milliseconds.
  void pass(base::Duration Length);

  void crash(std::size_t Node); ///< Loses what wasn't synced.
  void wipe(std::size_t Node);  ///< Crashes and loses the disk.
  void restart(std::size_t Node);
  /// The node stands still: nothing arrives, no timer runs.
  void freeze(std::size_t Node, bool Frozen);
  void cut(std::size_t Left, std::size_t Right, bool IsCut);
  void healAll();

  /// The leader's process stops as planned.
  void handOver();

  bool isUp(std::size_t Node) const { return m_Nodes[Node].m_Group != nullptr; }
  std::optional<std::size_t> leader() const;
  /// Proposes at whoever leads; true if someone did.
  bool submit(const std::string &Command);
  /// Commands whose commit the leader has told.
  const std::set<std::string> &acknowledged() const { return m_Acknowledged; }
  const std::vector<std::string> &applied(std::size_t Node) const {
    return m_Nodes[Node].m_Machine->m_Commands;
  }
  std::size_t memberCount() const;
  bool isCurrent(std::size_t Node) const {
    return m_Nodes[Node].m_Group->isCurrent();
  }
  /// Entries in all messages so far, repeated ones too.
  std::uint64_t entriesSent() const { return m_EntriesSent; }
  std::mt19937_64 &random() { return m_Random; }
  std::size_t size() const { return m_Nodes.size(); }
  /// Whether any two nodes have applied different commands at one place.
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
  struct Flight {
    base::TimePoint m_At;
    std::size_t m_From = 0;
    std::size_t m_To = 0;
    consensus::Group::Message m_Message;
  };

  void boot(std::size_t Node, bool Found);
  void settle(std::size_t Node);
  void post(std::size_t From,
            const std::vector<consensus::Group::Message> &Messages);
  void deliver();
  void plan(std::size_t Node);
  base::Now now() const;

  GroupSimulationOptions m_Options;
  std::mt19937_64 m_Random;
  base::TimePoint m_Time{base::seconds(1)};
  std::vector<Node> m_Nodes;
  std::vector<Flight> m_Flights;
  std::set<std::pair<std::size_t, std::size_t>> m_Cuts;
  std::set<std::string> m_Acknowledged;
  std::uint64_t m_Boots = 0;
  std::uint64_t m_EntriesSent = 0;
};

} // namespace psp::testsupport

#endif
