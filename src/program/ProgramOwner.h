/// \file
/// The proposer of one program's entries: opens the program at the ledgers,
/// appends, and learns what is committed.
///
/// The owner picks a ballot, and a majority of the ledgers promises to refuse
/// lower ones and returns what it holds. The owner then asks that majority
/// whether its promises still stand on the same disks: the first ledger may
/// have lost its disk before the second one promised, and then a younger owner
/// of a lower ballot may have committed in between (spec/program_owner.pml,
/// -DNO_CONFIRM). The owner adopts the log that ends
/// with the highest (ballot, index), appends an OwnerChanged entry under its
/// own ballot, and then its own entries. An entry is committed when a majority
/// of the ledgers has an entry of the owner's own ballot at or after it on
/// disk; an older entry never counts by itself, since a log that lacks it may
/// still end later.
///
/// When a ledger turns out to have lost its disk, the owner opens the program
/// again under a higher ballot, with its own log as one of the candidates, and
/// rewrites the log there (see ProgramReplica.h for why a new ballot).

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
  std::uint64_t m_Nonce = 0; ///< Differs between any two owners ever made.
};

enum class OwnerPhase {
  Opening, ///< Asks for promises.
  Leading, ///< May append.
  Missing, ///< Every ledger says that there is no such program.
  Evicted, ///< The program has ended and only the journals hold its entries.
  Fenced,  ///< Another instance owns the program; final.
};

/// One program's replication, at its owner.
class ProgramOwner {
public:
  ProgramOwner(base::ProgramId Program, OwnerOptions Options);

  /// Starts a new program. The identifier must be new and random, and
  /// \p Disks known before it was drawn.
  void create(messages::ProgramEntry First, const LedgerDisks &Disks,
              base::Now Time, messages::Outbox &Out);

  /// Asks the ledgers for an existing program.
  void open(const LedgerDisks &Disks, base::Now Time, messages::Outbox &Out);

  /// Adds an entry with the next index, sends it and returns the index.
  std::uint64_t append(messages::ProgramEntry Entry, base::Now Time,
                       messages::Outbox &Out);

  void onOpenReply(const base::InstanceId &From,
                   const messages::ProgramOpenReply &Reply, base::Now Time,
                   messages::Outbox &Out);
  void onAppendReply(const base::InstanceId &From,
                     const messages::ProgramAppendReply &Reply, base::Now Time,
                     messages::Outbox &Out);

  /// Sends again what was not answered, and opens again for a wiped disk.
  void onTick(const LedgerDisks &Disks, base::Now Time, messages::Outbox &Out);

  /// Tells the generation that a ledger's disk has now. An unknown one makes
  /// the next tick open the program again.
  void noteDisk(const base::InstanceId &Ledger, const std::string &Generation);

  OwnerPhase phase() const { return m_Phase; }
  bool hasLog() const { return !m_Log.empty(); }
  std::uint64_t lastIndex() const { return m_Log.size(); }
  std::uint64_t commitIndex() const { return m_CommitIndex; }

  /// Highest index that a synced ledger out of \p Ledgers has, as far as the
  /// present ballot told.
  std::uint64_t syncedAtAny(const std::vector<base::InstanceId> &Ledgers) const;

  const messages::ProgramEntry &entry(std::uint64_t Index) const {
    return m_Log[Index - 1];
  }
  const std::vector<messages::ProgramEntry> &entries() const { return m_Log; }
  const messages::Ballot &ballot() const { return m_Ballot; }

  /// Whether every ledger has everything, so that a tick has nothing to do.
  bool isQuiet() const;

private:
  /// What the owner knows of one ledger under the present ballot.
  struct LedgerView {
    std::uint64_t m_Match = 0; ///< On its disk up to here, and it counts.
    std::uint64_t m_Next = 1;  ///< Sent up to here, exclusive.
    std::uint64_t m_ToldCommit = 0;
    bool m_Evicted = false;
    base::TimePoint m_LastSent{};
  };

  /// The answers to the present open.
  struct Promises {
    std::map<base::InstanceId, messages::ProgramOpenReply> m_Replies;
    LedgerDisks m_Majority;                 ///< Asked to confirm.
    std::set<base::InstanceId> m_Confirmed; ///< Of them.
    std::uint64_t m_Confirmation = 0;       ///< Numbers the majorities asked.
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
  bool remembers(const base::InstanceId &Ledger,
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
  std::uint64_t m_LeadIndex = 0; ///< First entry of the present ballot.
  std::uint64_t m_CommitIndex = 0;
  std::map<base::InstanceId, LedgerView> m_Ledgers;
  Promises m_Promises;
  std::uint64_t m_MinRound = 0; ///< The next ballot's round is at least this.
  base::TimePoint m_NextOpen;   ///< When to send or choose the open again.
  std::uint32_t m_Refusals = 0;
  LedgerDisks m_WipedDisks; ///< Found forgetful under the present ballot.
};

} // namespace psp::program

#endif
