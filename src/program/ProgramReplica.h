/// \file
/// The ledger's side of program state: promises to owners and synced copies of
/// the programs' entries.
///
/// What an ordinary ledger promises: it refuses every ballot below the highest
/// one it has seen, and what it acknowledged is on its disk. A majority of
/// such ledgers is what lets a new owner find everything that was committed.
///
/// A wiped disk breaks that promise: the ledger may have forgotten a ballot or
/// entries. Each life of a disk therefore has a generation, drawn at random
/// and written as its first record, and a ledger is *forgetful* of each
/// program until it knows that nothing was lost:
///
/// - The owner names the generation it knew *before* it chose its ballot, and
///   the last index that holds everything committed by then. When that
///   generation is the present one and the ledger has the log that far, it is
///   ordinary again for this program. The order matters. A ballot chosen
///   before the wipe may be older than one that the ledger promised and
///   forgot; a ballot chosen after the wipe was promised by a majority that
///   remembers, so any owner that relied on the forgotten promise is fenced.
/// - A new program is the same case: its identifier is random and its first
///   ballot was chosen when the generation was known, so there was nothing to
///   forget.
/// - A program that no owner rewrites stays forgotten here. The owner counts
///   such a ledger only when the program's first entry names the ledger's
///   present generation: the disk is then older than the program.
///
/// Losing a majority of the disks before one of them was rewritten loses the
/// quorum of the program for good; its last copy can still be read.

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

/// What a ledger holds of one program.
struct HeldProgram {
  messages::Ballot m_Promised;
  std::vector<messages::ProgramEntry> m_Entries;
  std::uint64_t m_CommitIndex = 0; ///< As told by the owner; not on disk.
  bool m_Forgetful = true;
  bool m_MemoryFreed = false;     ///< Ended, and its endpoints have freed it.
  bool m_Evicted = false;         ///< Ended; entries are in the journal only.
  std::uint64_t m_LastRecord = 0; ///< Replies leave after this record.
  /// Entries accepted while the home was cut off that a later owner's log
  /// displaced. They are kept for the operators.
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

  /// Ends the replay. When the journal held no generation, the disk is new or
  /// was wiped, and one is made from \p RandomBytes (16 bytes).
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

  /// When each data centre's entry instances were last heard from.
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
  std::map<std::string, HeldProgram> m_Programs; ///< Paged by identifier.
  std::deque<std::string> m_Ended;               ///< In memory, oldest first.
};

} // namespace psp::program

#endif
