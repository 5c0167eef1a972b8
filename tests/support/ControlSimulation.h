/// \file
/// A deterministic single-threaded simulation of the ledgers and learners of
/// the control log. A seed determines message loss, delay, duplication and
/// reordering, crashes that lose unsynced records, wiped disks, network
/// partitions, freezes and clocks of different rates. The invariants of the log
/// are checked after each event.

#ifndef PSP_TESTS_SUPPORT_CONTROLSIMULATION_H
#define PSP_TESTS_SUPPORT_CONTROLSIMULATION_H

#include "control/Learner.h"
#include "control/LogVoter.h"
#include "support/MemoryJournal.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace psp::tests {

struct SimulationOptions {
  std::size_t m_Voters = 3;
  std::size_t m_Learners = 2;
  std::uint64_t m_Seed = 1;
  double m_Loss = 0.05;
  double m_Duplication = 0.05;
  bool m_Faults = true; ///< Crashes, wiped disks, partitions and freezes.
  std::uint64_t m_CheckpointEntries = 30;
};

/// Counts of a run, by which a test verifies that the faults took place.
struct SimulationCounts {
  std::size_t m_Crashes = 0;
  std::size_t m_PowerLosses = 0;
  std::size_t m_Wipes = 0;
  std::size_t m_Partitions = 0;
  std::size_t m_Freezes = 0;
  std::size_t m_Answers = 0;
  std::size_t m_Resends = 0;
  std::size_t m_Checkpoints = 0;
  std::uint64_t m_Committed = 0;
  std::uint64_t m_Terms = 0;
};

class ControlSimulation {
public:
  explicit ControlSimulation(SimulationOptions Options);

  /// Throws std::runtime_error or base::InternalError on a broken invariant.
  void run(base::Duration Length);

  /// Ends all faults, continues for \p Length, and checks that all nodes have
  /// reached the same state with every committed entry.
  void healAndCheck(base::Duration Length);

  const SimulationCounts &counts() const { return m_Counts; }

  /// The leader with the highest term; throws when there is none.
  std::size_t leader() const;
  const control::LogVoter &voter(std::size_t Index) const {
    return *m_Nodes[Index]->m_Voter;
  }

  /// Separates \p Index from all other nodes.
  void isolate(std::size_t Index) { m_Nodes[Index]->m_PartitionSide = 1; }
  void reconnect(std::size_t Index) { m_Nodes[Index]->m_PartitionSide = 0; }

private:
  struct Event {
    base::Duration m_At{};
    std::uint64_t m_Order = 0;
    std::function<void()> m_Action;
    bool operator<(const Event &Other) const {
      return std::pair(Other.m_At, Other.m_Order) < std::pair(m_At, m_Order);
    }
  };
  struct Node {
    base::InstanceId m_Id;
    MemoryJournal m_Journal;
    std::unique_ptr<control::LogVoter> m_Voter;
    std::unique_ptr<control::Learner> m_Learner;
    double m_ClockRate = 1;
    std::uint64_t m_Incarnation = 0; ///< Grows with each crash.
    std::uint64_t m_Wipes = 0;
    int m_PartitionSide = 0; ///< Different sides are disconnected.
    bool m_Frozen = false;
    bool m_Syncing = false;
    std::vector<messages::Outgoing>
        m_AwaitingSync;                        ///< Sent after the journal sync.
    std::vector<messages::Envelope> m_Backlog; ///< Received while frozen.
    std::uint64_t m_LastIndex = 0;
    std::uint64_t m_LastNumber = 0;
  };
  struct Request {
    messages::ControlCommand m_Command;
    bool m_IsAnswered = false;
    messages::ControlResult m_Answer;
  };

  using NodeAction = std::function<void(Node &, messages::Outbox &)>;

  void at(base::Duration Delay, std::function<void()> Action);
  void runUntil(base::Duration End);
  base::Now localTime(const Node &Replica) const;
  std::uint64_t below(std::uint64_t Limit) { return m_Random() % Limit; }
  bool chance(double Probability);
  base::Duration between(std::int64_t LowUs, std::int64_t HighUs);

  void startNode(Node &Replica);
  void crash(Node &Replica);
  bool mayWipe();
  void tick(std::size_t Index, std::uint64_t Incarnation);
  void handle(Node &Replica, const NodeAction &Action);
  void send(Node &From, messages::Outgoing Message);
  void deliver(Node &To, const messages::Envelope &Message);
  void startSync(Node &Replica);
  void finishSync(Node &Replica, std::uint64_t Sequence);
  void takeCheckpoint(Node &Replica);
  void collectResults(Node &Replica);
  void checkNode(Node &Replica);
  void checkState(Node &Replica, const control::ControlState &State);

  void injectFault();
  void simulatePowerLoss();
  void restartLater(Node &Replica);
  void submitRandomRequest();
  messages::ControlCommand newCommand();

  SimulationOptions m_Options;
  std::mt19937_64 m_Random;
  base::Duration m_Time{};
  std::uint64_t m_Order = 0;
  std::priority_queue<Event> m_Events;
  std::vector<std::unique_ptr<Node>> m_Nodes; ///< Voters, then learners.
  std::vector<base::InstanceId> m_VoterIds;
  std::vector<Request> m_Requests; ///< Indexed by ticket.
  bool m_IsBootstrapped = false;   ///< All voters had a vote at some time.
  bool m_IsHealed = false;

  std::map<std::uint64_t, base::InstanceId> m_LeaderOfTerm;
  std::map<std::uint64_t, base::Digest> m_DigestAt;
  SimulationCounts m_Counts;
};

} // namespace psp::tests

#endif
