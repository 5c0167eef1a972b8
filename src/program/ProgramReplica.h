/// \file
/// The ledger's side of program replication: promises to owners (as in Paxos)
/// and synced copies of the programs' entries.
///
/// A trusted ledger guarantees that it refuses every ballot below the highest
/// one it has promised, and that everything it acknowledged is on its disk.
/// From a majority of such ledgers, a new owner obtains everything that was
/// committed.
///
/// A wiped disk violates that guarantee: the ledger may have lost a promise or
/// entries. Each new or wiped disk therefore gets a generation, which is random
/// and written as its first record, and a ledger is *untrusted* for a program
/// (`forgetful` in messages and records) until it is certain that nothing was
/// lost:
///
/// - The owner names the generation that it knew *before* it chose its ballot,
///   and the last index that covers everything committed by then. When that
///   generation is the current one and the ledger has the log up to that index,
///   the ledger is trusted again for this program. The order matters. A ballot
///   chosen before the wipe may be lower than one that the ledger promised and
///   lost. A ballot chosen after the wipe was promised by a majority of trusted
///   ledgers, so any owner that relied on the lost promise is fenced.
/// - The same applies to a new program: its identifier is random and its first
///   ballot was chosen when the generation was known, so no promise or entry
///   can have been lost.
/// - A program that no owner rewrites stays untrusted here. The owner counts
///   such a ledger only when the program's first entry names the ledger's
///   current generation: the disk is then older than the program.
///
/// If a majority of the disks is lost before one of them was rewritten, the
/// program has lost its quorum permanently; its last copy can still be read.

#ifndef PSP_PROGRAM_PROGRAMREPLICA_H
#define PSP_PROGRAM_PROGRAMREPLICA_H

#include "base/Ids.h"
#include "base/RecordSink.h"
#include "base/Time.h"
#include "generated/program.pb.h"
#include "messages/Outbox.h"
#include "program/HomeLease.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace psp::program {

/// A ledger's copy of one program.
struct HeldProgram {
  messages::Ballot m_Promised;
  std::vector<messages::ProgramEntry> m_Entries;
  std::uint64_t m_CommitIndex = 0; ///< Reported by the owner; not on disk.
  bool m_Untrusted = true;
  bool m_MemoryFreed = false; ///< Ended, and its endpoints freed its memory.
  bool m_Evicted = false;     ///< Ended; entries are in the journal only.
  std::uint64_t m_LastRecord = 0; ///< Replies wait until this record is synced.
  /// Entries accepted while the home was cut off that a later owner's log
  /// displaced. They are retained for the operators.
  std::vector<messages::ProgramEntry> m_Branch;

  std::uint64_t lastIndex() const { return m_Entries.size(); }
};

/// All programs on one ledger.
class ProgramReplica {
public:
  /// Ended programs whose entries stay in memory for resends.
  static constexpr std::size_t MaxEndedInMemory = 10000;

  ProgramReplica(base::InstanceId Self, base::RecordSink &Journal);

  /// Replays one record of the journal, oldest first. Throws UserError when
  /// the record can't be read.
  void restoreRecord(std::string_view Record);

  /// Ends the replay. When the journal contains no generation, the disk is new
  /// or was wiped, and a generation is made from \p RandomBytes (16 bytes).
  void finishRestore(std::string_view RandomBytes);

  void onMessage(const base::InstanceId &From,
                 const messages::ProgramMessage &Message, base::Now Time,
                 messages::Outbox &Out);

  std::size_t programCount() const { return m_Programs.size(); }

  /// The program's copy, or null.
  const HeldProgram *find(const base::ProgramId &Program) const;

  const std::map<std::string, HeldProgram> &programs() const {
    return m_Programs;
  }

  /// When a message from each data centre's entry instances was last received.
  const HomeContacts &homeContacts() const { return m_HomeContacts; }

  const std::string &generation() const { return m_Generation; }

private:
  void onOpen(const base::InstanceId &From, const messages::ProgramOpen &Open,
              messages::Outbox &Out);
  void onAppend(const base::InstanceId &From,
                const messages::ProgramAppend &Append, messages::Outbox &Out);
  void onProbe(const base::InstanceId &From, const messages::LedgerProbe &Probe,
               base::Now Time, messages::Outbox &Out);
  void onList(const base::InstanceId &From, const messages::ProgramList &List,
              messages::Outbox &Out) const;
  bool accept(const messages::ProgramAppend &Append, HeldProgram &Held,
              messages::ProgramAppendReply &Reply);
  void write(const messages::ReplicaRecord &Record, HeldProgram &Held);
  void noteCommit(const std::string &Program, HeldProgram &Held,
                  std::uint64_t CommitIndex);

  base::InstanceId m_Self;
  base::RecordSink &m_Journal;
  std::string m_Generation;
  std::uint64_t m_GenerationRecord = 0;
  HomeContacts m_HomeContacts;
  std::map<std::string, HeldProgram>
      m_Programs;                  ///< Listed page by page in this order.
  std::deque<std::string> m_Ended; ///< Ended programs in memory, oldest first.
};

} // namespace psp::program

#endif
