#include "control/VoterLog.h"

#include "base/Error.h"

#include <algorithm>

namespace psp::control {

using base::checkInvariant;

std::uint64_t VoterLog::lastTerm() const {
  return m_Entries.empty() ? m_BaseTerm : m_Entries.back().term();
}

std::optional<std::uint64_t> VoterLog::termAt(std::uint64_t Index) const {
  if (Index == m_BaseIndex)
    return m_BaseTerm;
  if (Index < m_BaseIndex || Index > lastIndex())
    return std::nullopt;
  return at(Index).term();
}

const messages::LogEntry &VoterLog::at(std::uint64_t Index) const {
  checkInvariant(Index > m_BaseIndex && Index <= lastIndex(),
                 "a log entry was requested that isn't in memory");
  return m_Entries[Index - m_BaseIndex - 1];
}

void VoterLog::copyTo(std::uint64_t First, std::uint64_t Last,
                      Entries &Out) const {
  std::size_t Bytes = 0;
  std::size_t Count = 0;
  for (std::uint64_t Index = First; Index <= std::min(Last, lastIndex());
       ++Index) {
    if (Count == MaxEntriesPerMessage || Bytes >= MaxEntryBytesPerMessage)
      return;
    *Out.Add() = at(Index);
    Bytes += at(Index).ByteSizeLong();
    ++Count;
  }
}

void VoterLog::append(messages::LogEntry Entry) {
  checkInvariant(Entry.index() == lastIndex() + 1,
                 "a log entry must carry the next index");
  checkInvariant(Entry.term() >= lastTerm(),
                 "terms of log entries must not decrease");
  m_Entries.push_back(std::move(Entry));
}

void VoterLog::truncateFrom(std::uint64_t Index) {
  checkInvariant(Index > m_BaseIndex,
                 "the log can't be truncated at or before its base");
  while (lastIndex() >= Index)
    m_Entries.pop_back();
}

void VoterLog::compactTo(std::uint64_t Index) {
  std::optional<std::uint64_t> Term = termAt(Index);
  checkInvariant(Term.has_value(),
                 "the log can't be compacted to an index that it doesn't hold");
  m_Entries.erase(m_Entries.begin(),
                  m_Entries.begin() +
                      static_cast<std::ptrdiff_t>(Index - m_BaseIndex));
  m_BaseIndex = Index;
  m_BaseTerm = *Term;
}

void VoterLog::reset(std::uint64_t BaseIndex, std::uint64_t BaseTerm) {
  m_BaseIndex = BaseIndex;
  m_BaseTerm = BaseTerm;
  m_Entries.clear();
}

} // namespace psp::control
