/// \file
/// Fakes for tests of program replication: a journal that can discard unsynced
/// records, and a ledger that can crash or lose its disk.

#ifndef PSP_TESTS_PROGRAMFAKES_H
#define PSP_TESTS_PROGRAMFAKES_H

#include "base/RecordSink.h"
#include "program/ProgramReplica.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace psp::tests {

/// A journal in memory.
class FakeJournal final : public base::RecordSink {
public:
  std::uint64_t append(std::string_view Record) override {
    m_Records.emplace_back(Record);
    return m_Records.size();
  }

  void sync() { m_Synced = m_Records.size(); }
  void discardUnsynced() { m_Records.resize(m_Synced); }
  void wipe() {
    m_Records.clear();
    m_Synced = 0;
  }

  std::uint64_t synced() const { return m_Synced; }
  const std::vector<std::string> &records() const { return m_Records; }

private:
  std::vector<std::string> m_Records;
  std::uint64_t m_Synced = 0;
};

/// A ledger process. Its messages are withheld until the journal is synced.
class FakeLedger {
public:
  explicit FakeLedger(base::InstanceId Self) : m_Self(std::move(Self)) {
    start();
  }
  FakeLedger(const FakeLedger &) = delete;
  FakeLedger &operator=(const FakeLedger &) = delete;

  void onMessage(const base::InstanceId &From,
                 const messages::ProgramMessage &Message, base::Now Time) {
    messages::Outbox Out;
    m_Replica->onMessage(From, Message, Time, Out);
    for (messages::Outgoing &Reply : Out.take())
      m_Withheld.push_back(std::move(Reply));
  }

  void sync() { m_Journal.sync(); }

  /// Returns the messages whose records are synced.
  std::vector<messages::Outgoing> takeSynced() {
    std::vector<messages::Outgoing> Ready;
    std::vector<messages::Outgoing> Rest;
    for (messages::Outgoing &Message : m_Withheld) {
      auto &Target = Message.m_AfterRecord <= m_Journal.synced() ? Ready : Rest;
      Target.push_back(std::move(Message));
    }
    m_Withheld = std::move(Rest);
    return Ready;
  }

  void crash() {
    m_Journal.discardUnsynced();
    start();
  }

  void wipe() {
    m_Journal.wipe();
    start();
  }

  const base::InstanceId &self() const { return m_Self; }
  const program::ProgramReplica &replica() const { return *m_Replica; }

private:
  void start() {
    m_Withheld.clear();
    m_Replica = std::make_unique<program::ProgramReplica>(m_Self, m_Journal);
    for (const std::string &Record : m_Journal.records())
      m_Replica->restoreRecord(Record);
    std::string Random = m_Self.str() + std::to_string(++m_Starts);
    Random.resize(16, '-');
    m_Replica->finishRestore(Random);
  }

  base::InstanceId m_Self;
  FakeJournal m_Journal;
  std::unique_ptr<program::ProgramReplica> m_Replica;
  std::vector<messages::Outgoing> m_Withheld;
  int m_Starts = 0;
};

} // namespace psp::tests

#endif
