#include "program/ProgramReplica.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "program/Ballot.h"
#include "program/ProgramIds.h"

#include <algorithm>

namespace psp::program {
namespace {

/// Maximum number of programs in one reply to a list request.
constexpr int MaxListedPrograms = 500;

/// The number of leading entries of \p Append that the log already has.
int countMatching(const messages::ProgramAppend &Append,
                  const HeldProgram &Held) {
  int Count = 0;
  for (const messages::ProgramEntry &Entry : Append.entries()) {
    if (Entry.index() > Held.lastIndex() ||
        !isSameBallot(Held.m_Entries[Entry.index() - 1].ballot(),
                      Entry.ballot()))
      break;
    ++Count;
  }
  return Count;
}

/// Whether the entries have consecutive indexes after previous_index.
bool isContiguous(const messages::ProgramAppend &Append) {
  std::uint64_t Index = Append.previous_index();
  return std::all_of(Append.entries().begin(), Append.entries().end(),
                     [&](const messages::ProgramEntry &Entry) {
                       return Entry.index() == ++Index;
                     });
}

/// Whether the log has the entry that precedes those of \p Append.
bool hasPrevious(const messages::ProgramAppend &Append,
                 const HeldProgram &Held) {
  const std::uint64_t Index = Append.previous_index();
  if (Index == 0)
    return true;
  return Index <= Held.lastIndex() &&
         isSameBallot(Held.m_Entries[Index - 1].ballot(),
                      Append.previous_ballot());
}

/// Whether \p Append makes the disk trusted again for the program.
bool restoresTrust(const messages::ProgramAppend &Append,
                   const std::string &Generation) {
  const std::uint64_t Through =
      Append.previous_index() +
      static_cast<std::uint64_t>(Append.entries_size());
  return Append.generation() == Generation && Append.rebuild_through() > 0 &&
         Through >= Append.rebuild_through();
}

void applyRecord(const messages::ReplicaRecord &Record, HeldProgram &Held) {
  Held.m_Promised = Record.promised();
  if (Record.keep_through() < Held.lastIndex())
    Held.m_Entries.resize(Record.keep_through());
  Held.m_Entries.insert(Held.m_Entries.end(), Record.entries().begin(),
                        Record.entries().end());
  Held.m_Branch.insert(Held.m_Branch.end(), Record.branch().begin(),
                       Record.branch().end());
  Held.m_Untrusted = Record.forgetful();
}

} // namespace

ProgramReplica::ProgramReplica(base::InstanceId Self, base::RecordSink &Journal)
    : m_Self(std::move(Self)), m_Journal(Journal) {}

void ProgramReplica::restoreRecord(std::string_view Record) {
  messages::ReplicaRecord Parsed;
  if (!Parsed.ParseFromArray(Record.data(), static_cast<int>(Record.size())))
    throw base::UserError(base::ErrorKind::Internal,
                          "expected a program record in the journal");
  if (!Parsed.generation().empty()) {
    m_Generation = Parsed.generation();
    return;
  }
  applyRecord(Parsed, m_Programs[Parsed.program()]);
}

void ProgramReplica::finishRestore(std::string_view RandomBytes) {
  if (!m_Generation.empty())
    return;
  base::checkInvariant(m_Programs.empty(),
                       "the journal has program records but no generation");
  m_Generation = base::toHex(RandomBytes);
  messages::ReplicaRecord Record;
  Record.set_generation(m_Generation);
  m_GenerationRecord = m_Journal.append(Record.SerializeAsString());
}

void ProgramReplica::onMessage(const base::InstanceId &From,
                               const messages::ProgramMessage &Message,
                               base::Now Time, messages::Outbox &Out) {
  base::checkInvariant(!m_Generation.empty(),
                       "a message arrived before the journal was replayed");
  if (Message.has_open())
    onOpen(From, Message.open(), Out);
  else if (Message.has_append())
    onAppend(From, Message.append(), Out);
  else if (Message.has_probe())
    onProbe(From, Message.probe(), Time, Out);
  else if (Message.has_list())
    onList(From, Message.list(), Out);
}

void ProgramReplica::onProbe(const base::InstanceId &From,
                             const messages::LedgerProbe &Probe, base::Now Time,
                             messages::Outbox &Out) {
  m_HomeContacts.noteContact(base::DataCentreId(Probe.data_centre()),
                             Time.m_Monotonic);
  auto &Reply = *Out.add(From, m_GenerationRecord)
                     .mutable_program()
                     ->mutable_probe_reply();
  Reply.set_generation(m_Generation);
  Reply.set_sequence(Probe.sequence());
}

void ProgramReplica::onList(const base::InstanceId &From,
                            const messages::ProgramList &List,
                            messages::Outbox &Out) const {
  auto &Reply = *Out.add(From).mutable_program()->mutable_list_reply();
  Reply.set_home(List.home());
  for (auto It = m_Programs.upper_bound(List.after()); It != m_Programs.end();
       ++It) {
    const auto &[Program, Held] = *It;
    if (Held.m_MemoryFreed || Held.m_Entries.empty() ||
        homeOf(base::ProgramId(Program)).str() != List.home())
      continue;
    if (Reply.programs_size() == MaxListedPrograms) {
      Reply.set_more(true);
      return;
    }
    Reply.add_programs(Program);
    Reply.add_owners(Held.m_Promised.instance());
  }
}

const HeldProgram *ProgramReplica::find(const base::ProgramId &Program) const {
  const auto It = m_Programs.find(Program.str());
  return It == m_Programs.end() ? nullptr : &It->second;
}

void ProgramReplica::write(const messages::ReplicaRecord &Record,
                           HeldProgram &Held) {
  Held.m_LastRecord = m_Journal.append(Record.SerializeAsString());
  applyRecord(Record, Held);
}

void ProgramReplica::onOpen(const base::InstanceId &From,
                            const messages::ProgramOpen &Open,
                            messages::Outbox &Out) {
  if (Open.program().empty())
    return;
  HeldProgram &Held = m_Programs[Open.program()];
  const auto Order = compareBallots(Open.ballot(), Held.m_Promised);
  if (Order == std::strong_ordering::greater) {
    messages::ReplicaRecord Record;
    Record.set_program(Open.program());
    *Record.mutable_promised() = Open.ballot();
    Record.set_keep_through(Held.lastIndex());
    Record.set_forgetful(Held.m_Untrusted);
    write(Record, Held);
  }
  const bool Promised = Order != std::strong_ordering::less;
  auto &Reply =
      *Out.add(From, Held.m_LastRecord).mutable_program()->mutable_open_reply();
  Reply.set_program(Open.program());
  *Reply.mutable_ballot() = Open.ballot();
  Reply.set_promised(Promised);
  *Reply.mutable_promised_ballot() = Held.m_Promised;
  Reply.set_commit_index(Held.m_CommitIndex);
  Reply.set_forgetful(Held.m_Untrusted);
  Reply.set_generation(m_Generation);
  Reply.set_evicted(Held.m_Evicted);
  Reply.set_confirmation(Open.confirmation());
  if (Promised && Open.confirmation() == 0)
    Reply.mutable_entries()->Assign(Held.m_Entries.begin(),
                                    Held.m_Entries.end());
}

void ProgramReplica::onAppend(const base::InstanceId &From,
                              const messages::ProgramAppend &Append,
                              messages::Outbox &Out) {
  if (Append.program().empty() || !isContiguous(Append))
    return;
  HeldProgram &Held = m_Programs[Append.program()];
  messages::ProgramAppendReply Reply;
  Reply.set_program(Append.program());
  *Reply.mutable_ballot() = Append.ballot();
  Reply.set_accepted(accept(Append, Held, Reply));
  *Reply.mutable_promised_ballot() = Held.m_Promised;
  Reply.set_forgetful(Held.m_Untrusted);
  Reply.set_generation(m_Generation);
  Reply.set_evicted(Held.m_Evicted);
  *Out.add(From, Held.m_LastRecord).mutable_program()->mutable_append_reply() =
      Reply;
  if (Reply.accepted())
    noteCommit(Append.program(), Held,
               std::min(Append.commit_index(), Reply.last_index()));
}

bool ProgramReplica::accept(const messages::ProgramAppend &Append,
                            HeldProgram &Held,
                            messages::ProgramAppendReply &Reply) {
  const auto Order = compareBallots(Append.ballot(), Held.m_Promised);
  if (Order == std::strong_ordering::less || Held.m_Evicted)
    return false;
  // A creation is not preceded by an open, so only the first one is accepted.
  if (Append.ballot().round() == CreationRound &&
      Order != std::strong_ordering::equal && Held.m_Promised.round() > 0)
    return false;
  if (!hasPrevious(Append, Held)) {
    Reply.set_last_hint(
        std::min(Held.lastIndex(), Append.previous_index() - 1));
    return false;
  }
  const int Matching = countMatching(Append, Held);
  const bool Restored = Held.m_Untrusted && restoresTrust(Append, m_Generation);
  Reply.set_last_index(Append.previous_index() +
                       static_cast<std::uint64_t>(Append.entries_size()));
  const bool HasNew = Matching < Append.entries_size();
  if (!HasNew && !Restored && Order == std::strong_ordering::equal)
    return true;

  messages::ReplicaRecord Record;
  Record.set_program(Append.program());
  *Record.mutable_promised() = Append.ballot();
  Record.set_forgetful(Held.m_Untrusted && !Restored);
  Record.set_keep_through(Held.lastIndex());
  if (HasNew) {
    Record.set_keep_through(Append.previous_index() +
                            static_cast<std::uint64_t>(Matching));
    base::checkInvariant(Record.keep_through() >= Held.m_CommitIndex,
                         "an owner tries to replace a committed entry");
    for (int I = Matching; I < Append.entries_size(); ++I)
      *Record.add_entries() = Append.entries(I);
    for (std::uint64_t I = Record.keep_through(); I < Held.lastIndex(); ++I) {
      if (Held.m_Entries[I].durability() == "local")
        *Record.add_branch() = Held.m_Entries[I];
    }
  }
  write(Record, Held);
  return true;
}

void ProgramReplica::noteCommit(const std::string &Program, HeldProgram &Held,
                                std::uint64_t CommitIndex) {
  if (CommitIndex <= Held.m_CommitIndex)
    return;
  const bool Freed = std::any_of(
      Held.m_Entries.begin() + static_cast<std::ptrdiff_t>(Held.m_CommitIndex),
      Held.m_Entries.begin() + static_cast<std::ptrdiff_t>(CommitIndex),
      [](const messages::ProgramEntry &Entry) {
        return Entry.has_memory_freed();
      });
  Held.m_CommitIndex = CommitIndex;
  if (!Freed)
    return;
  Held.m_MemoryFreed = true;
  m_Ended.push_back(Program);
  if (m_Ended.size() <= MaxEndedInMemory)
    return;
  HeldProgram &Oldest = m_Programs[m_Ended.front()];
  m_Ended.pop_front();
  Oldest.m_Entries.clear();
  Oldest.m_Entries.shrink_to_fit();
  Oldest.m_Evicted = true;
}

} // namespace psp::program
