#include "program/ProgramOwner.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "program/HashChain.h"

#include <algorithm>
#include <utility>

namespace psp::program {
namespace {

/// An append stops adding entries at this size, which is well below the maximum
/// frame size.
constexpr std::size_t MaxAppendBytes = 4U << 20U;

} // namespace

ProgramOwner::ProgramOwner(base::ProgramId Program, OwnerOptions Options)
    : m_Program(std::move(Program)), m_Options(std::move(Options)) {}

void ProgramOwner::startBallot(std::uint64_t Round, const LedgerDisks &Disks) {
  m_Ballot.set_round(Round);
  m_Ballot.set_instance(m_Options.m_Self.str());
  m_Ballot.set_nonce(m_Options.m_Nonce);
  m_DisksAtBallot = Disks;
  m_Promises = {};
  m_WipedDisks.clear();
  m_Ledgers.clear();
  for (const base::InstanceId &Ledger : m_Options.m_Ledgers)
    m_Ledgers[Ledger] = {};
}

void ProgramOwner::create(messages::ProgramEntry First,
                          const LedgerDisks &Disks, base::Now Time,
                          messages::Outbox &Out) {
  base::checkInvariant(m_Log.empty(), "the program was created already");
  for (const auto &[Ledger, Generation] : Disks) {
    auto &Disk = *First.mutable_created()->add_disks();
    Disk.set_ledger(Ledger.str());
    Disk.set_generation(Generation);
  }
  startBallot(CreationRound, Disks);
  m_Phase = OwnerPhase::Leading;
  m_LeadIndex = 1;
  append(std::move(First), Time, Out);
}

void ProgramOwner::open(const LedgerDisks &Disks, base::Now Time,
                        messages::Outbox &Out) {
  base::checkInvariant(m_Phase != OwnerPhase::Fenced,
                       "a fenced owner can't open the program again");
  const std::uint64_t Round =
      std::max({m_Ballot.round() + 1, m_MinRound, CreationRound + 1});
  startBallot(Round, Disks);
  m_Phase = OwnerPhase::Opening;
  sendOpen(Time, Out);
}

std::string
ProgramOwner::createdGeneration(const base::InstanceId &Ledger) const {
  const auto Find = [&](const messages::ProgramEntry &First) -> std::string {
    for (const messages::LedgerDisk &Disk : First.created().disks()) {
      if (Disk.ledger() == Ledger.str())
        return Disk.generation();
    }
    return {};
  };
  if (hasLog())
    return Find(m_Log.front());
  for (const auto &[Other, Reply] : m_Promises.m_Replies) {
    if (Reply.entries_size() > 0)
      return Find(Reply.entries(0));
  }
  return {};
}

std::string
ProgramOwner::trustedGeneration(const base::InstanceId &Ledger) const {
  const auto It = m_DisksAtBallot.find(Ledger);
  return It != m_DisksAtBallot.end() ? It->second : createdGeneration(Ledger);
}

std::uint64_t ProgramOwner::append(messages::ProgramEntry Entry, base::Now Time,
                                   messages::Outbox &Out) {
  base::checkInvariant(m_Phase == OwnerPhase::Leading ||
                           (m_Phase == OwnerPhase::Opening && hasLog()),
                       "an owner can't append before it leads");
  // While the owner opens the program again, a new entry gets the ballot of the
  // log's last entry: no other instance writes under that ballot, and the entry
  // has not been sent to any ledger.
  *Entry.mutable_ballot() =
      m_Phase == OwnerPhase::Leading ? m_Ballot : m_Log.back().ballot();
  Entry.set_index(lastIndex() + 1);
  Entry.set_wall_time_us(Time.m_Wall);
  Entry.set_schema_version(1);
  if (hasLog()) {
    Entry.set_previous_hash(contentHash(m_Log.back()));
    if (Entry.elapsed_ms() < m_Log.back().elapsed_ms())
      Entry.set_elapsed_ms(m_Log.back().elapsed_ms());
  }
  m_Log.push_back(std::move(Entry));
  if (m_Phase == OwnerPhase::Leading) {
    for (const base::InstanceId &Ledger : m_Options.m_Ledgers)
      sendEntries(Ledger, Time, Out);
  }
  return lastIndex();
}

void ProgramOwner::sendEntries(const base::InstanceId &Ledger, base::Now Time,
                               messages::Outbox &Out) {
  LedgerView &View = m_Ledgers[Ledger];
  auto &Append = *Out.add(Ledger).mutable_program()->mutable_append();
  Append.set_program(m_Program.str());
  *Append.mutable_ballot() = m_Ballot;
  Append.set_previous_index(View.m_Next - 1);
  if (View.m_Next > 1)
    *Append.mutable_previous_ballot() = entry(View.m_Next - 1).ballot();
  std::size_t Bytes = 0;
  while (View.m_Next <= lastIndex() && Bytes < MaxAppendBytes) {
    const messages::ProgramEntry &Entry = entry(View.m_Next);
    Bytes += Entry.ByteSizeLong();
    *Append.add_entries() = Entry;
    ++View.m_Next;
  }
  Append.set_commit_index(m_CommitIndex);
  Append.set_generation(trustedGeneration(Ledger));
  Append.set_rebuild_through(m_LeadIndex);
  View.m_SentCommitIndex = m_CommitIndex;
  View.m_LastSent = Time.m_Monotonic;
}

void ProgramOwner::onAppendReply(const base::InstanceId &From,
                                 const messages::ProgramAppendReply &Reply,
                                 base::Now Time, messages::Outbox &Out) {
  const auto It = m_Ledgers.find(From);
  if (m_Phase != OwnerPhase::Leading || It == m_Ledgers.end() ||
      !isSameBallot(Reply.ballot(), m_Ballot))
    return;
  LedgerView &View = It->second;
  if (Reply.evicted()) {
    View.m_Evicted = true;
    return;
  }
  const bool IsFenced = compareBallots(Reply.promised_ballot(), m_Ballot) ==
                        std::strong_ordering::greater;
  const bool IsSecondCreation =
      m_Ballot.round() == CreationRound && !Reply.accepted() &&
      Reply.promised_ballot().round() > 0 &&
      !isSameBallot(Reply.promised_ballot(), m_Ballot);
  if (IsFenced || IsSecondCreation) {
    m_Phase = OwnerPhase::Fenced;
    return;
  }
  if (!Reply.accepted()) {
    if (Reply.last_hint() + 1 < View.m_Next &&
        Reply.last_hint() >= View.m_Match) {
      View.m_Next = Reply.last_hint() + 1;
      sendEntries(From, Time, Out);
    }
    if (Reply.forgetful())
      noteDisk(From, Reply.generation());
    return;
  }
  if (Reply.forgetful()) {
    noteDisk(From, Reply.generation());
    return;
  }
  View.m_Match = std::max(View.m_Match, Reply.last_index());
  View.m_Next = std::max(View.m_Next, View.m_Match + 1);
  advanceCommit();
  if (View.m_Next <= lastIndex())
    sendEntries(From, Time, Out);
}

void ProgramOwner::noteDisk(const base::InstanceId &Ledger,
                            const std::string &Generation) {
  if (trustedGeneration(Ledger) != Generation)
    m_WipedDisks[Ledger] = Generation;
}

void ProgramOwner::advanceCommit() {
  std::vector<std::uint64_t> Matches;
  for (const auto &[Ledger, View] : m_Ledgers)
    Matches.push_back(View.m_Match);
  std::sort(Matches.begin(), Matches.end(), std::greater<>());
  const std::uint64_t Index = Matches[majority() - 1];
  if (Index < m_LeadIndex || Index <= m_CommitIndex)
    return;
  base::checkInvariant(Index <= lastIndex(),
                       "a ledger acknowledged more entries than were sent");
  m_CommitIndex = Index;
}

std::uint64_t
ProgramOwner::syncedAtAny(const std::vector<base::InstanceId> &Ledgers) const {
  std::uint64_t Highest = 0;
  for (const base::InstanceId &Ledger : Ledgers) {
    const auto It = m_Ledgers.find(Ledger);
    if (It != m_Ledgers.end())
      Highest = std::max(Highest, It->second.m_Match);
  }
  return Highest;
}

bool ProgramOwner::needsRepair(const LedgerDisks &Disks) const {
  return std::any_of(m_WipedDisks.begin(), m_WipedDisks.end(),
                     [&](const auto &Wiped) {
                       const auto It = Disks.find(Wiped.first);
                       return It != Disks.end() && It->second == Wiped.second;
                     });
}

bool ProgramOwner::isIdle() const {
  if (m_Phase == OwnerPhase::Opening)
    return false;
  if (m_Phase != OwnerPhase::Leading)
    return true;
  return m_WipedDisks.empty() &&
         std::all_of(m_Ledgers.begin(), m_Ledgers.end(), [&](const auto &Item) {
           const LedgerView &View = Item.second;
           return View.m_Evicted || (View.m_Match == lastIndex() &&
                                     View.m_SentCommitIndex == m_CommitIndex);
         });
}

void ProgramOwner::onTick(const LedgerDisks &Disks, base::Now Time,
                          messages::Outbox &Out) {
  if (m_Phase == OwnerPhase::Opening) {
    if (Time.m_Monotonic < m_NextOpen)
      return;
    if (m_MinRound > m_Ballot.round() || needsRepair(Disks))
      open(Disks, Time, Out);
    else
      sendOpen(Time, Out);
    return;
  }
  if (m_Phase != OwnerPhase::Leading)
    return;
  if (needsRepair(Disks)) {
    open(Disks, Time, Out);
    return;
  }
  for (auto &[Ledger, View] : m_Ledgers) {
    const bool IsBehind =
        View.m_Match < lastIndex() || View.m_SentCommitIndex < m_CommitIndex;
    if (View.m_Evicted || !IsBehind ||
        Time.m_Monotonic - View.m_LastSent < m_Options.m_RetransmitInterval)
      continue;
    View.m_Next = View.m_Match + 1;
    sendEntries(Ledger, Time, Out);
  }
}

} // namespace psp::program
