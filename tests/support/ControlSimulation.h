/// \file
/// Ledgers and learners of the control log in one thread, driven from a seed
/// through loss, delay, doubling, reordering, crashes that forget unsynced
/// records, wiped disks, cuts, freezes and clocks that run unequally fast.
/// After each event the invariants of the log are checked.

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
  double m_Doubling = 0.05;
  bool m_Faults = true; ///< Crashes, wiped disks, cuts and freezes.
  std::uint64_t m_CheckpointEntries = 30;
};

/// What a run did, so that a test can tell that the faults took place.
struct SimulationCounts {
  std::size_t m_Crashes = 0;
  std::size_t m_PowerLosses = 0;
  std::size_t m_Wipes = 0;
  std::size_t m_Cuts = 0;
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

  /// Ends all faults, runs on, and checks that everyone has reached one state
  /// with all that was ever committed.
  void healAndCheck(base::Duration Length);

  const SimulationCounts &counts() const { return m_Counts; }

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
    int m_Side = 0; ///< Nodes of different sides don't reach one another.
    bool m_Frozen = false;
    bool m_Syncing = false;
    std::vector<messages::Outgoing> m_Waiting; ///< For the journal.
    std::vector<messages::Envelope> m_Backlog; ///< While frozen.
    std::uint64_t m_SeenIndex = 0;
    std::uint64_t m_SeenNumber = 0;
  };
  struct Request {
    messages::ControlCommand m_Command;
    bool m_IsAnswered = false;
    messages::ControlResult m_Answer;
  };

  using Step = std::function<void(Node &, messages::Outbox &)>;

  void at(base::Duration Delay, std::function<void()> Action);
  void runUntil(base::Duration End);
  base::Now clockOf(const Node &Each) const;
  std::uint64_t below(std::uint64_t Limit) { return m_Random() % Limit; }
  bool chance(double Probability);
  base::Duration between(std::int64_t LowUs, std::int64_t HighUs);

  void boot(Node &Each);
  void crash(Node &Each);
  bool mayWipe();
  void tick(std::size_t Index, std::uint64_t Incarnation);
  void handle(Node &Each, const Step &Do);
  void send(Node &From, messages::Outgoing Message);
  void deliver(Node &To, const messages::Envelope &Message);
  void startSync(Node &Each);
  void finishSync(Node &Each, std::uint64_t Sequence);
  void takeCheckpoint(Node &Each);
  void takeAnswers(Node &Each);
  void checkNode(Node &Each);
  void checkState(Node &Each, const control::ControlState &State);

  void injectFault();
  void losePower();
  void restartLater(Node &Each);
  void submitSomething();
  messages::ControlCommand newCommand();

  SimulationOptions m_Options;
  std::mt19937_64 m_Random;
  base::Duration m_Time{};
  std::uint64_t m_Order = 0;
  std::priority_queue<Event> m_Events;
  std::vector<std::unique_ptr<Node>> m_Nodes; ///< Voters, then learners.
  std::vector<base::InstanceId> m_VoterIds;
  std::vector<Request> m_Requests; ///< The ticket is the position.
  bool m_IsFounded = false; ///< Once all voters were seen to have a vote.
  bool m_IsHealed = false;

  std::map<std::uint64_t, base::InstanceId> m_LeaderOfTerm;
  std::map<std::uint64_t, base::Digest> m_DigestAt;
  SimulationCounts m_Counts;
};

} // namespace psp::tests

#endif
