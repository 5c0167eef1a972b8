/// \file
/// A seeded simulation that runs the real decision code of three entry
/// instances and three ledgers with injected faults. Messages are delayed,
/// lost, duplicated and reordered; processes crash, are suspended and lose
/// their links; ledgers lose their disks.

#ifndef PSP_TESTS_PROGRAMWORLD_H
#define PSP_TESTS_PROGRAMWORLD_H

#include "ProgramFakes.h"
#include "program/ProgramTable.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace psp::tests {

inline constexpr int EntryCount = 3;
inline constexpr int LedgerCount = 3;

/// The faults that a simulation injects.
struct FaultPlan {
  double m_Loss = 0.05;
  double m_Doubling = 0.05;
  bool m_Crashes = true;
  bool m_Cuts = true;
  bool m_Freezes = true;
  bool m_Wipes = true;
  int m_MaxFaultGap = 300;   ///< Milliseconds between two faults.
  int m_MaxSync = 4;         ///< Milliseconds between two syncs of a disk.
  int m_MaxCallGap = 600;    ///< Milliseconds between two steps of a caller.
  double m_RaceChance = 0.2; ///< That a caller submits a call twice at once.
};

/// Receives the events of each entry instance's table.
using EventHandler =
    std::function<void(int Instance, const program::ProgramEvent &)>;

class ProgramWorld {
public:
  ProgramWorld(std::uint64_t Seed, FaultPlan Plan)
      : m_Random(Seed), m_Plan(Plan) {
    for (int I = 0; I < LedgerCount; ++I)
      m_Ledgers[I] = std::make_unique<FakeLedger>(
          base::InstanceId("ledger-" + std::to_string(I)));
    for (int I = 0; I < EntryCount; ++I)
      startEntry(I);
  }

  void onEvent(EventHandler Handler) { m_Handler = std::move(Handler); }

  /// Called after each crash of an entry instance.
  void onCrash(std::function<void(int)> Handler) {
    m_OnCrash = std::move(Handler);
  }

  program::ProgramTable &table(int Instance) {
    return *m_Entries[Instance].m_Table;
  }
  messages::Outbox &outbox(int Instance) { return m_Entries[Instance].m_Out; }
  FakeLedger &ledger(int Index) { return *m_Ledgers[Index]; }
  base::Now now() const { return m_Now; }
  int incarnation(int Instance) const {
    return m_Entries[Instance].m_Incarnation;
  }

  bool chance(double Probability) {
    return std::uniform_real_distribution<>(0, 1)(m_Random) < Probability;
  }
  int pick(int Count) {
    return std::uniform_int_distribution<>(0, Count - 1)(m_Random);
  }

  /// Executes \p Action on the instance after about \p Delay, unless the
  /// instance crashes before; a suspended instance executes it when it resumes.
  void later(int Instance, base::Duration Delay,
             const std::function<void()> &Action) {
    const int Incarnation = incarnation(Instance);
    at(Delay * (50 + pick(100)) / 100, [this, Instance, Incarnation, Action] {
      onEntry(Instance, Incarnation, Action);
    });
  }

  /// Executes \p Action after \p Delay, independently of any instance.
  void at(base::Duration Delay, std::function<void()> Action) {
    m_Queue.emplace(m_Now.m_Monotonic + Delay, std::move(Action));
  }

  /// Runs the simulation for \p Span of simulated time.
  void run(base::Duration Span) {
    const base::TimePoint End = m_Now.m_Monotonic + Span;
    while (!m_Queue.empty() && m_Queue.begin()->first <= End) {
      const auto Next = m_Queue.begin();
      m_Now.m_Monotonic = std::max(m_Now.m_Monotonic, Next->first);
      const std::function<void()> Action = std::move(Next->second);
      m_Queue.erase(Next);
      Action();
    }
    m_Now.m_Monotonic = End;
  }

  /// Starts the ticks, the syncs of the disks and the fault injection.
  void start() {
    for (int I = 0; I < EntryCount; ++I)
      tickEntry(I);
    for (int I = 0; I < LedgerCount; ++I)
      syncLedger(I);
    at(base::milliseconds(200), [this] { injectFault(); });
  }

  void stopFaults() {
    m_Plan = {.m_Loss = 0,
              .m_Doubling = 0,
              .m_Crashes = false,
              .m_Cuts = false,
              .m_Freezes = false,
              .m_Wipes = false};
    m_Cut.clear();
  }

  const FaultPlan &plan() const { return m_Plan; }
  int wipes() const { return m_Wipes; }
  int crashes() const { return m_Crashes; }

  /// Sends the instance's messages and handles its events. Must follow each
  /// call of the instance.
  void flush(int Instance) {
    Entry &Self = m_Entries[Instance];
    for (messages::Outgoing &Message : Self.m_Out.take())
      sendToLedger(Instance, Message);
    for (const program::ProgramEvent &Event : Self.m_Table->takeEvents())
      m_Handler(Instance, Event);
  }

private:
  struct Entry {
    std::unique_ptr<program::ProgramTable> m_Table;
    messages::Outbox m_Out;
    int m_Incarnation = 0;
    base::TimePoint m_FrozenUntil;
  };

  void startEntry(int Instance) {
    Entry &Self = m_Entries[Instance];
    Self.m_Out.take();
    ++Self.m_Incarnation;
    program::TableOptions Options = {
        .m_Self = base::InstanceId("entry-" + std::to_string(Instance)),
        .m_DataCentre = base::DataCentreId("brum-a"),
        .m_RetransmitInterval = base::milliseconds(20),
        .m_QuorumTimeout = base::milliseconds(400),
        .m_Seed = m_Random()};
    for (const auto &Ledger : m_Ledgers)
      Options.m_Ledgers.push_back(Ledger->self());
    Self.m_Table = std::make_unique<program::ProgramTable>(Options);
  }

  void onEntry(int Instance, int Incarnation,
               const std::function<void()> &Action) {
    const Entry &Self = m_Entries[Instance];
    if (Self.m_Incarnation != Incarnation)
      return;
    if (Self.m_FrozenUntil > m_Now.m_Monotonic) {
      m_Queue.emplace(Self.m_FrozenUntil,
                      [this, Instance, Incarnation, Action] {
                        onEntry(Instance, Incarnation, Action);
                      });
      return;
    }
    Action();
    flush(Instance);
  }

  void tickEntry(int Instance) {
    if (m_Entries[Instance].m_FrozenUntil <= m_Now.m_Monotonic) {
      table(Instance).onTick(m_Now, outbox(Instance));
      flush(Instance);
    }
    at(base::milliseconds(10), [this, Instance] { tickEntry(Instance); });
  }

  void syncLedger(int Index) {
    ledger(Index).sync();
    releaseReplies(Index);
    at(base::milliseconds(1 + pick(m_Plan.m_MaxSync)),
       [this, Index] { syncLedger(Index); });
  }

  base::Duration delay() {
    return base::microseconds(chance(0.05) ? pick(300000) : 500 + pick(5000));
  }

  /// The number of times that a message is delivered: 0, 1 or 2.
  int copies(int Instance, int Ledger) {
    if (m_Cut.contains({Instance, Ledger}) || chance(m_Plan.m_Loss))
      return 0;
    return chance(m_Plan.m_Doubling) ? 2 : 1;
  }

  void sendToLedger(int Instance, const messages::Outgoing &Message) {
    const int Index = Message.m_To.str().back() - '0';
    const base::InstanceId From("entry-" + std::to_string(Instance));
    for (int I = copies(Instance, Index); I > 0; --I)
      at(delay(), [this, Index, From, Body = Message.m_Message.program()] {
        ledger(Index).onMessage(From, Body, m_Now);
        releaseReplies(Index);
      });
  }

  void releaseReplies(int Index) {
    for (const messages::Outgoing &Reply : ledger(Index).takeSynced()) {
      const int Instance = Reply.m_To.str().back() - '0';
      for (int I = copies(Instance, Index); I > 0; --I)
        at(delay(), [this, Instance, Index, Body = Reply.m_Message.program()] {
          // A restarted instance also receives replies to its predecessor.
          onEntry(Instance, incarnation(Instance), [=, this] {
            table(Instance).onMessage(ledger(Index).self(), Body, m_Now,
                                      outbox(Instance));
          });
        });
    }
  }

  void injectFault() {
    const int Gap = m_Plan.m_MaxFaultGap;
    at(base::milliseconds(Gap / 6 + pick(Gap)), [this] { injectFault(); });
    switch (pick(6)) {
    case 0:
      if (m_Plan.m_Crashes)
        crashEntry(pick(EntryCount));
      break;
    case 1:
      if (m_Plan.m_Crashes)
        crashLedger(pick(LedgerCount));
      break;
    case 2:
      if (m_Plan.m_Freezes)
        m_Entries[pick(EntryCount)].m_FrozenUntil =
            m_Now.m_Monotonic + base::milliseconds(pick(800));
      break;
    case 3:
      // All ledgers lose power at the same time.
      for (int I = 0; m_Plan.m_Crashes && I < LedgerCount; ++I)
        crashLedger(I);
      break;
    case 4:
      if (m_Plan.m_Cuts)
        cutLink(pick(EntryCount), pick(LedgerCount));
      break;
    default:
      if (m_Plan.m_Wipes)
        wipeLedger(pick(LedgerCount));
    }
  }

  void crashEntry(int Instance) {
    ++m_Crashes;
    startEntry(Instance);
    m_OnCrash(Instance);
  }

  void crashLedger(int Index) {
    ++m_Crashes;
    ledger(Index).crash();
  }

  void cutLink(int Instance, int Ledger) {
    m_Cut.emplace(Instance, Ledger);
    at(base::milliseconds(pick(600)), [this, Instance, Ledger] {
      m_Cut.erase({Instance, Ledger});
    });
  }

  /// Wipes the disk if the other ledgers are trusted for every program, so that
  /// a loss can directly follow the repair of the previous one.
  void wipeLedger(int Index) {
    for (int Other = 0; Other < LedgerCount; ++Other) {
      if (Other == Index)
        continue;
      ledger(Other).sync();
      for (int I = 0; I < LedgerCount; ++I) {
        if (!isTrustedForAllOf(ledger(Other), ledger(I)))
          return;
      }
    }
    ++m_Wipes;
    ledger(Index).wipe();
  }

  /// Whether \p Ledger is trusted for every program that \p Reference has.
  static bool isTrustedForAllOf(const FakeLedger &Ledger,
                                const FakeLedger &Reference) {
    for (const auto &[Program, Held] : Reference.replica().programs()) {
      const program::HeldProgram *Copy =
          Ledger.replica().find(base::ProgramId(Program));
      const bool IsTrusted = Copy != nullptr && !Copy->m_Untrusted;
      if (IsTrusted || Held.m_Entries.empty())
        continue;
      bool IsOlder = false;
      for (const auto &Disk : Held.m_Entries.front().created().disks())
        IsOlder =
            IsOlder || (Disk.ledger() == Ledger.self().str() &&
                        Disk.generation() == Ledger.replica().generation());
      if (!IsOlder)
        return false;
    }
    return true;
  }

  std::mt19937_64 m_Random;
  FaultPlan m_Plan;
  base::Now m_Now;
  std::multimap<base::TimePoint, std::function<void()>> m_Queue;
  std::array<std::unique_ptr<FakeLedger>, LedgerCount> m_Ledgers;
  std::array<Entry, EntryCount> m_Entries;
  std::set<std::pair<int, int>> m_Cut;
  EventHandler m_Handler;
  std::function<void(int)> m_OnCrash;
  int m_Wipes = 0;
  int m_Crashes = 0;
};

} // namespace psp::tests

#endif
