/// \file
/// Three entry instances and three ledgers; every message is delivered
/// immediately. ledger-a is the local ledger of every instance.

#ifndef PSP_TESTS_PROGRAMFLEET_H
#define PSP_TESTS_PROGRAMFLEET_H

#include "ProgramFakes.h"
#include "program/HashChain.h"
#include "program/ProgramTable.h"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace psp::tests {

class Fleet {
public:
  Fleet() {
    for (unsigned I = 0; I < m_Entries.size(); ++I)
      m_Entries[I] = std::make_unique<Entry>(I);
  }

  program::ProgramTable &table(int Instance) {
    return m_Entries[Instance]->m_Table;
  }
  messages::Outbox &outbox(int Instance) { return m_Entries[Instance]->m_Out; }
  FakeLedger &ledger(int Index) { return m_Ledgers[Index]; }
  base::Now now() const { return m_Now; }

  void cut(const std::string &Ledger) { m_Cut.insert(Ledger); }
  void cutLink(int Instance, const std::string &Ledger) {
    m_CutLinks.emplace(Instance, Ledger);
  }
  void heal() {
    m_Cut.clear();
    m_CutLinks.clear();
  }

  /// Delivers all messages, with several ticks in between.
  void settle() { pass(base::milliseconds(300)); }

  /// Advances the time by \p Span in ticks and delivers all messages.
  void pass(base::Duration Span) {
    const base::Duration Step = base::milliseconds(50);
    for (base::Duration Done{}; Done < Span; Done += Step) {
      m_Now.m_Monotonic += Step;
      for (auto &Entry : m_Entries)
        Entry->m_Table.onTick(m_Now, Entry->m_Out);
      while (deliver())
        ;
    }
  }

  bool isReady(int Instance, program::CallNumber Call) const {
    return m_Entries[Instance]->m_Ready.contains(Call);
  }
  const std::string &bodyOf(int Instance, program::CallNumber Call) const {
    return m_Entries[Instance]->m_Ready.at(Call);
  }
  bool isClaimed(int Instance, program::CallNumber Call) const {
    return m_Entries[Instance]->m_Claimed.contains(Call);
  }
  const program::CallDone *done(int Instance, program::CallNumber Call) const {
    const auto It = m_Entries[Instance]->m_Done.find(Call);
    return It == m_Entries[Instance]->m_Done.end() ? nullptr : &It->second;
  }
  /// The error kind of a call that is done, or "pending".
  std::string errorOf(int Instance, program::CallNumber Call) const {
    const program::CallDone *Done = done(Instance, Call);
    return Done == nullptr ? "pending" : Done->m_Outcome.error_kind();
  }
  const std::vector<program::MemoryReleased> &released(int Instance) const {
    return m_Entries[Instance]->m_Released;
  }

private:
  struct Entry {
    explicit Entry(unsigned Index)
        : m_Self("entry-" + std::to_string(Index)),
          m_Table({.m_Self = m_Self,
                   .m_DataCentre = base::DataCentreId("brum-a"),
                   .m_Ledgers = {base::InstanceId("ledger-a"),
                                 base::InstanceId("ledger-b"),
                                 base::InstanceId("ledger-c")},
                   .m_LocalLedgers = {base::InstanceId("ledger-a")},
                   .m_Seed = std::uint64_t{1000} * (Index + 1)}) {}

    base::InstanceId m_Self;
    program::ProgramTable m_Table;
    messages::Outbox m_Out;
    std::map<program::CallNumber, std::string> m_Ready;
    std::set<program::CallNumber> m_Claimed;
    std::map<program::CallNumber, program::CallDone> m_Done;
    std::vector<program::MemoryReleased> m_Released;
  };

  bool deliver() {
    bool Moved = false;
    for (int I = 0; I < 3; ++I) {
      auto &Entry = m_Entries[I];
      for (const messages::Outgoing &Message : Entry->m_Out.take()) {
        Moved = true;
        const std::string &To = Message.m_To.str();
        if (m_Cut.contains(To) || m_CutLinks.contains({I, To}))
          continue;
        for (FakeLedger &Ledger : m_Ledgers) {
          if (Ledger.self() == Message.m_To)
            exchange(*Entry, Ledger, Message);
        }
      }
      take(*Entry);
    }
    return Moved;
  }

  void exchange(Entry &To, FakeLedger &Ledger,
                const messages::Outgoing &Message) {
    Ledger.onMessage(To.m_Self, Message.m_Message.program(), m_Now);
    Ledger.sync();
    for (const messages::Outgoing &Reply : Ledger.takeSynced())
      To.m_Table.onMessage(Ledger.self(), Reply.m_Message.program(), m_Now,
                           To.m_Out);
  }

  static void take(Entry &From) {
    for (program::ProgramEvent &Event : From.m_Table.takeEvents()) {
      if (auto *Ready = std::get_if<program::CallReady>(&Event))
        From.m_Ready[Ready->m_Call] = Ready->m_Body;
      else if (auto *Claimed = std::get_if<program::CallClaimed>(&Event))
        From.m_Claimed.insert(Claimed->m_Call);
      else if (auto *Done = std::get_if<program::CallDone>(&Event))
        From.m_Done[Done->m_Call] = *Done;
      else
        From.m_Released.push_back(std::get<program::MemoryReleased>(Event));
    }
  }

  base::Now m_Now;
  std::array<std::unique_ptr<Entry>, 3> m_Entries;
  FakeLedger m_Ledgers[3] = {FakeLedger(base::InstanceId("ledger-a")),
                             FakeLedger(base::InstanceId("ledger-b")),
                             FakeLedger(base::InstanceId("ledger-c"))};
  std::set<std::string> m_Cut;
  std::set<std::pair<int, std::string>> m_CutLinks;
};

} // namespace psp::tests

#endif
