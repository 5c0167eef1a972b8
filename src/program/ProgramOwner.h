/// \file
/// The proposer of one program's entries: opens the program at the ledgers,
/// appends entries, and tracks which of them are committed.
///
/// The owner chooses a ballot, and a majority of the ledgers promises to refuse
/// lower ones and returns the entries that it holds. The owner then asks that
/// majority to confirm that each promise is still stored on the same disk: the
/// first ledger may have lost its disk before the second one promised, and then
/// a more recent owner with a lower ballot may have committed entries in the
/// meantime (spec/program_owner.pml, -DNO_CONFIRM). The owner adopts the log
/// that ends with the highest (ballot, index), appends an OwnerChanged entry
/// under its own ballot, and then its own entries. An entry is committed when a
/// majority of the ledgers has on disk an entry of the owner's own ballot at or
/// after its index. An entry of an older ballot is never committed by its own
/// copies alone, since a log that lacks it may still end later.
///
/// When the owner detects that a ledger has lost its disk, it opens the program
/// again under a higher ballot, with its own log as one of the candidates, and
/// rewrites the log there (ProgramReplica.h explains why a new ballot is
/// needed).

#ifndef PSP_PROGRAM_PROGRAMOWNER_H
#define PSP_PROGRAM_PROGRAMOWNER_H

#include "base/Ids.h"
#include "base/Time.h"
#include "generated/program.pb.h"
#include "messages/Outbox.h"
#include "program/Ballot.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace psp::program {

/// The generation of each ledger's disk, as far as it is known.
using LedgerDisks = std::map<base::InstanceId, std::string>;

struct OwnerOptions {
  base::InstanceId m_Self{};
  std::vector<base::InstanceId> m_Ledgers{};
  base::Duration m_RetransmitInterval{};
  std::uint64_t m_Nonce = 0; ///< Unique among all owners ever created.
};

enum class OwnerPhase {
  Opening, ///< Requests promises from the ledgers.
  Leading, ///< May append.
  Missing, ///< Every ledger reports that the program does not exist.
  Evicted, ///< The program has ended; its entries are only in journals.
  Fenced,  ///< Another instance owns the program; final.
};

/// The owner's side of one program's replication.
class ProgramOwner {
public:
  ProgramOwner(base::ProgramId Program, OwnerOptions Options);

  /// Starts a new program. The identifier must be new and random, and
  /// \p Disks must have been known before it was generated.
  void create(messages::ProgramEntry First, const LedgerDisks &Disks,
              base::Now Time, messages::Outbox &Out);

  /// Opens an existing program at the ledgers.
  void open(const LedgerDisks &Disks, base::Now Time, messages::Outbox &Out);

  /// Appends an entry at the next index, sends it to the ledgers and returns
  /// its index.
  std::uint64_t append(messages::ProgramEntry Entry, base::Now Time,
                       messages::Outbox &Out);

  void onOpenReply(const base::InstanceId &From,
                   const messages::ProgramOpenReply &Reply, base::Now Time,
                   messages::Outbox &Out);
  void onAppendReply(const base::InstanceId &From,
                     const messages::ProgramAppendReply &Reply, base::Now Time,
                     messages::Outbox &Out);

  /// Retransmits unanswered messages, and opens the program again when a disk
  /// was wiped.
  void onTick(const LedgerDisks &Disks, base::Now Time, messages::Outbox &Out);

  /// Records the current generation of a ledger's disk. When it differs from
  /// the expected one, a later tick opens the program again.
  void noteDisk(const base::InstanceId &Ledger, const std::string &Generation);

  OwnerPhase phase() const { return m_Phase; }
  bool hasLog() const { return !m_Log.empty(); }
  std::uint64_t lastIndex() const { return m_Log.size(); }
  std::uint64_t commitIndex() const { return m_CommitIndex; }

  /// The highest index that any of \p Ledgers has acknowledged as synced under
  /// the current ballot.
  std::uint64_t syncedAtAny(const std::vector<base::InstanceId> &Ledgers) const;

  const messages::ProgramEntry &entry(std::uint64_t Index) const {
    return m_Log[Index - 1];
  }
  const std::vector<messages::ProgramEntry> &entries() const { return m_Log; }
  const messages::Ballot &ballot() const { return m_Ballot; }

  /// Whether a tick has nothing to do, for instance because every ledger has
  /// all entries.
  bool isIdle() const;

private:
  /// The replication progress of one ledger under the current ballot.
  struct LedgerView {
    std::uint64_t m_Match = 0; ///< Last index on its trusted disk.
    std::uint64_t m_Next = 1;  ///< Next index to send.
    std::uint64_t m_SentCommitIndex = 0;
    bool m_Evicted = false;
    base::TimePoint m_LastSent{};
  };

  /// The ledgers' replies to the current open.
  struct Promises {
    std::map<base::InstanceId, messages::ProgramOpenReply> m_Replies;
    LedgerDisks m_Majority;                 ///< Ledgers asked to confirm.
    std::set<base::InstanceId> m_Confirmed; ///< Those that have confirmed.
    std::uint64_t m_Confirmation = 0; ///< Number of the confirmation round.
  };

  std::size_t majority() const { return m_Options.m_Ledgers.size() / 2 + 1; }
  void startBallot(std::uint64_t Round, const LedgerDisks &Disks);
  void sendOpen(base::Now Time, messages::Outbox &Out);
  void countPromises(messages::Outbox &Out);
  void askToConfirm(LedgerDisks Majority, messages::Outbox &Out);
  void onConfirmation(const base::InstanceId &From,
                      const messages::ProgramOpenReply &Reply, base::Now Time,
                      messages::Outbox &Out);
  void adopt();
  void lead(base::Now Time, messages::Outbox &Out);
  std::string createdGeneration(const base::InstanceId &Ledger) const;
  std::string trustedGeneration(const base::InstanceId &Ledger) const;
  bool isTrusted(const base::InstanceId &Ledger,
                 const messages::ProgramOpenReply &Reply) const;
  void retryOpen(const messages::Ballot &Promised, base::Now Time);
  bool needsRepair(const LedgerDisks &Disks) const;
  void sendEntries(const base::InstanceId &Ledger, base::Now Time,
                   messages::Outbox &Out);
  void advanceCommit();

  base::ProgramId m_Program;
  OwnerOptions m_Options;
  OwnerPhase m_Phase = OwnerPhase::Opening;
  messages::Ballot m_Ballot;
  LedgerDisks m_DisksAtBallot;
  std::vector<messages::ProgramEntry> m_Log;
  std::uint64_t m_LeadIndex = 0; ///< First entry of the current ballot.
  std::uint64_t m_CommitIndex = 0;
  std::map<base::InstanceId, LedgerView> m_Ledgers;
  Promises m_Promises;
  std::uint64_t m_MinRound = 0; ///< The next ballot's round is at least this.
  base::TimePoint
      m_NextOpen; ///< When to send the open again or choose a new ballot.
  std::uint32_t m_Refusals = 0;
  LedgerDisks m_WipedDisks; ///< Disks found wiped under the current ballot.
};

} // namespace psp::program

#endif
