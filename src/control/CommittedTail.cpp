#include "control/CommittedTail.h"

#include "base/Error.h"

namespace psp::control {

void CommittedTail::reset(const ControlState &State) {
  m_Entries.clear();
  m_BaseIndex = State.appliedIndex();
  m_BaseDigest = State.digest();
}

void CommittedTail::add(const messages::LogEntry &Entry,
                        const ControlState &State) {
  base::checkInvariant(
      Entry.index() == m_BaseIndex + m_Entries.size() + 1,
      "retained committed entries must have consecutive indexes");
  m_Entries.push_back({.m_Entry = Entry, .m_Digest = State.digest()});
  if (m_Entries.size() <= MaxCommittedTailEntries)
    return;
  ++m_BaseIndex;
  m_BaseDigest = m_Entries.front().m_Digest;
  m_Entries.pop_front();
}

std::optional<base::Digest> CommittedTail::digestAt(std::uint64_t Index) const {
  if (Index == m_BaseIndex)
    return m_BaseDigest;
  if (Index < m_BaseIndex || Index > m_BaseIndex + m_Entries.size())
    return std::nullopt;
  return m_Entries[Index - m_BaseIndex - 1].m_Digest;
}

void CommittedTail::copyAfter(std::uint64_t Index,
                              VoterLog::Entries &Out) const {
  base::checkInvariant(
      Index >= m_BaseIndex,
      "committed entries were requested that are no longer retained");
  std::size_t Bytes = 0;
  for (std::size_t I = Index - m_BaseIndex; I < m_Entries.size(); ++I) {
    if (static_cast<std::size_t>(Out.size()) == MaxEntriesPerMessage ||
        Bytes >= MaxEntryBytesPerMessage)
      return;
    *Out.Add() = m_Entries[I].m_Entry;
    Bytes += m_Entries[I].m_Entry.ByteSizeLong();
  }
}

} // namespace psp::control
