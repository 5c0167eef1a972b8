#include "consensus/GroupLog.h"

#include "base/Error.h"
#include "messages/Parse.h"

#include <algorithm>
#include <utility>

namespace psp::consensus {

using messages::fleet::GroupRecord;

void GroupLog::restore(std::string_view Record) {
  auto Read = messages::parseMessage<GroupRecord>(Record, "group journal");
  if (!Read.identity().empty())
    m_Identity = Read.identity();
  if (Read.has_term()) {
    m_Term = Read.term();
    m_Vote = Read.vote();
  }
  if (Read.has_snapshot()) {
    m_Base = std::move(*Read.mutable_snapshot());
    m_Entries.clear();
    m_EntryBytes = 0;
    findMembership();
    for (Entry &Each : *Read.mutable_tail())
      take(std::move(Each));
  }
  if (Read.has_entry())
    take(std::move(*Read.mutable_entry()));
  m_KnownCommit = std::max(m_KnownCommit, Read.commit());
}

void GroupLog::setIdentity(const std::string &Identity) {
  m_Identity = Identity;
  GroupRecord Record;
  Record.set_identity(Identity);
  write(Record);
}

void GroupLog::setTerm(std::uint64_t Term, const std::string &Vote) {
  m_Term = Term;
  m_Vote = Vote;
  GroupRecord Record;
  Record.set_has_term(true);
  Record.set_term(Term);
  Record.set_vote(Vote);
  write(Record);
}

void GroupLog::append(Entry Next) {
  GroupRecord Record;
  *Record.mutable_entry() = std::move(Next);
  Record.set_commit(m_KnownCommit);
  write(Record);
  take(std::move(*Record.mutable_entry()));
}

void GroupLog::install(const Snapshot &Content) {
  GroupRecord Record;
  *Record.mutable_snapshot() = Content;
  write(Record);
  m_Base = Content;
  m_Base.clear_state();
  m_Entries.clear();
  m_EntryBytes = 0;
  findMembership();
}

void GroupLog::trim(std::uint64_t Index) {
  const Membership Kept = membershipAt(Index);
  while (!m_Entries.empty() && m_Entries.front().index() <= Index) {
    m_EntryBytes -= m_Entries.front().ByteSizeLong();
    m_Base.set_index(m_Entries.front().index());
    m_Base.set_term(m_Entries.front().term());
    m_Entries.pop_front();
  }
  *m_Base.mutable_membership() = Kept;
  findMembership();
}

std::string GroupLog::compact(Snapshot Content) {
  trim(Content.index());
  m_JournalBytes = m_EntryBytes;
  GroupRecord Record;
  Record.set_identity(m_Identity);
  Record.set_has_term(true);
  Record.set_term(m_Term);
  Record.set_vote(m_Vote);
  *Record.mutable_snapshot() = std::move(Content);
  for (const Entry &Each : m_Entries)
    *Record.add_tail() = Each;
  std::string Bytes = Record.SerializeAsString();
  m_Base = std::move(*Record.mutable_snapshot());
  m_Base.clear_state();
  findMembership();
  return Bytes;
}

std::string GroupLog::takeRestoredState() {
  std::string State = std::move(*m_Base.mutable_state());
  m_Base.clear_state();
  return State;
}

std::uint64_t GroupLog::lastTerm() const {
  return m_Entries.empty() ? m_Base.term() : m_Entries.back().term();
}

std::optional<std::uint64_t> GroupLog::termAt(std::uint64_t Index) const {
  if (Index == m_Base.index())
    return m_Base.term();
  if (Index < m_Base.index() || Index > lastIndex())
    return std::nullopt;
  return at(Index).term();
}

const GroupLog::Entry &GroupLog::at(std::uint64_t Index) const {
  base::checkInvariant(Index >= firstIndex() && Index <= lastIndex(),
                       "group log: read outside of the kept entries");
  return m_Entries[Index - firstIndex()];
}

const GroupLog::Membership &GroupLog::membership() const {
  return m_MembershipIndex <= m_Base.index()
             ? m_Base.membership()
             : at(m_MembershipIndex).membership();
}

const GroupLog::Membership &GroupLog::membershipAt(std::uint64_t Index) const {
  for (std::uint64_t At = std::min(Index, lastIndex()); At >= firstIndex();
       --At)
    if (this->at(At).has_membership())
      return this->at(At).membership();
  return m_Base.membership();
}

void GroupLog::findMembership() {
  m_MembershipIndex = m_Base.index();
  for (const Entry &Each : m_Entries)
    if (Each.has_membership())
      m_MembershipIndex = Each.index();
}

void GroupLog::write(const GroupRecord &Record) {
  m_LastRecord = m_Sink.append(Record.SerializeAsString());
}

void GroupLog::truncate(std::uint64_t From) {
  while (!m_Entries.empty() && m_Entries.back().index() >= From) {
    m_EntryBytes -= m_Entries.back().ByteSizeLong();
    m_Entries.pop_back();
  }
  if (m_MembershipIndex > lastIndex())
    findMembership();
}

void GroupLog::take(Entry Next) {
  truncate(Next.index());
  base::checkInvariant(Next.index() == lastIndex() + 1,
                       "group log: an entry left a gap");
  m_EntryBytes += Next.ByteSizeLong();
  m_JournalBytes += Next.ByteSizeLong();
  if (Next.has_membership())
    m_MembershipIndex = Next.index();
  m_Entries.push_back(std::move(Next));
}

} // namespace psp::consensus
