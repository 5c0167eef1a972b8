// The memory use of a group doesn't grow with the texts that it retains,
// neither while it runs nor after a restart.

#include "consensus/Group.h"
#include "history/HistoryStateMachine.h"
#include "messages/Parse.h"
#include "node/MemoryUse.h"
#include "storage/FileJournal.h"
#include "support/TemporaryFolder.h"

#include <gtest/gtest.h>

#include <memory>

namespace psp::history {
namespace {

constexpr std::size_t TextBytes = 2500;
/// With two log entries for each turn these are 52 thousand entries: the load
/// at which the members of a group terminated one after another.
constexpr int Turns = 26'000;

class JournalStore : public base::RecordStore {
public:
  std::uint64_t append(std::string_view Record) override {
    return m_Journal->append(Record);
  }
  std::string read(std::uint64_t Sequence) const override {
    return m_Journal->read(Sequence);
  }
  std::unique_ptr<storage::FileJournal> m_Journal;
};

/// A group with a single member, on a real disk.
class Member : public EntrySource {
public:
  explicit Member(const std::filesystem::path &Folder) {
    m_Group = std::make_unique<consensus::Group>(
        consensus::GroupOptions{.m_Seed = 1}, m_Store, m_StateMachine);
    m_Store.m_Journal = std::make_unique<storage::FileJournal>(
        storage::FileJournalOptions{.m_Folder = Folder,
                                    .m_SegmentBytes = 4U << 20U,
                                    .m_IndexesRecords = true},
        [this](std::uint64_t Sequence, std::string_view Record) {
          m_Group->restore(Sequence,
                           messages::parseMessage<consensus::GroupLog::Record>(
                               Record, "test"));
        });
    m_Group->start("disk", m_Now);
    messages::fleet::GroupMembership InitialMembers;
    InitialMembers.add_members()->set_id("disk");
    m_Group->bootstrap(InitialMembers, m_Now);
    while (!m_Group->isEstablishedLeader()) {
      m_Now.m_Monotonic += base::milliseconds(100);
      m_Group->onTimer(m_Now);
      settle();
    }
  }

  std::string commandAt(std::uint64_t Index) const override {
    return m_Group->commandAt(Index);
  }

  void retainTurn(int Number) {
    messages::fleet::HistoryCommand Command;
    Command.mutable_begin()->set_turn(turnName(Number));
    Command.mutable_begin()->set_organisation("guild");
    Command.mutable_begin()->set_program(programName(Number));
    Command.mutable_begin()->set_retention_ms(60'000);
    m_Group->propose(Command.SerializeAsString(), m_Now);
    Command.Clear();
    auto &End = *Command.mutable_end();
    End.set_turn(turnName(Number));
    End.set_organisation("guild");
    End.set_program(programName(Number));
    End.set_retention_ms(60'000);
    End.set_keep(true);
    End.set_text(textOf(Number));
    m_Group->propose(Command.SerializeAsString(), m_Now);
    if (Number % 20 == 0)
      settle();
  }

  void settle() {
    m_Group->takeImmediateMessages(m_Now);
    m_Store.m_Journal->sync();
    m_Group->onSynced(m_Now);
    m_Group->takeMessages();
  }

  static std::string turnName(int Number) {
    return "t" + std::to_string(Number);
  }
  static std::string programName(int Number) {
    return "p" + std::to_string(Number / 5);
  }
  static std::string textOf(int Number) {
    std::string Text = std::to_string(Number) + ':';
    return Text + std::string(TextBytes - Text.size(), 'x');
  }

  base::Now m_Now{.m_Monotonic = base::TimePoint(base::seconds(1)),
                  .m_Wall = 1'000'000'000};
  JournalStore m_Store;
  HistoryStateMachine m_StateMachine{*this};
  std::unique_ptr<consensus::Group> m_Group;
};

/// The texts alone take 65 MB. Only the ledger and the positions of the entries
/// stay in memory.
TEST(GroupMemoryTest, MemoryStaysFarBelowTheSizeOfTheRetainedTexts) {
  constexpr std::uint64_t LimitBytes = 30U << 20U;
  tests::TemporaryFolder Folder;
  const std::uint64_t Before = node::residentBytes();
  ASSERT_GT(Before, 0U);
  {
    SCOPED_TRACE("filled");
    Member Filled(Folder.path());
    for (int Number = 0; Number < Turns; ++Number)
      Filled.retainTurn(Number);
    Filled.settle();
    EXPECT_GT(Filled.m_Store.m_Journal->diskBytes(), 60U << 20U);
    EXPECT_LT(node::residentBytes() - Before, LimitBytes);
  }
  {
    SCOPED_TRACE("restarted, it has every turn and accepts more");
    Member Restarted(Folder.path());
    EXPECT_EQ(Restarted.m_StateMachine.ledger().turnCount(),
              static_cast<std::size_t>(Turns));
    for (const int Number : {0, 1, Turns / 2, Turns - 1})
      EXPECT_EQ(
          Restarted.m_StateMachine.chainText("guild", Member::turnName(Number)),
          Member::textOf(Number));
    Restarted.retainTurn(Turns);
    Restarted.settle();
    EXPECT_EQ(
        Restarted.m_StateMachine.chainText("guild", Member::turnName(Turns)),
        Member::textOf(Turns));
    EXPECT_LT(node::residentBytes() - Before, LimitBytes);
  }
}

} // namespace
} // namespace psp::history
