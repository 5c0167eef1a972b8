#include "history/ChainTexts.h"

#include "messages/Parse.h"

#include <algorithm>
#include <utility>

namespace psp::history {

std::string readTurnText(const EntrySource &Source, std::uint64_t Index) {
  auto Parsed = messages::parseMessage<messages::fleet::HistoryCommand>(
      Source.commandAt(Index), "history command");
  if (Parsed.has_adopt())
    return std::move(*Parsed.mutable_adopt()->mutable_text());
  if (Parsed.has_adopt_part())
    return std::move(*Parsed.mutable_adopt_part()->mutable_text());
  return std::move(*Parsed.mutable_end()->mutable_text());
}

std::uint64_t chainLength(const EntrySource &Source,
                          const std::vector<turns::ChainEntry> &Entries) {
  std::uint64_t Bytes = 0;
  for (const turns::ChainEntry &Entry : Entries)
    Bytes += Entry.m_TextBytes > 0 ? Entry.m_TextBytes
                                   : readTurnText(Source, Entry.m_Index).size();
  return Bytes;
}

const std::string &ChainTexts::textAt(const EntrySource &Source,
                                      std::uint32_t Group,
                                      std::uint64_t Index) {
  const auto It = std::ranges::find_if(m_Cache, [&](const CachedText &Cached) {
    return Cached.m_Group == Group && Cached.m_Index == Index;
  });
  if (It != m_Cache.end()) {
    It->m_Used = true;
    m_Cache.splice(m_Cache.begin(), m_Cache, It);
    return m_Cache.front().m_Text;
  }
  // Before the read, so that the text which is dropped isn't held beside it.
  while (!m_Cache.empty() && m_CachedBytes > m_Options.m_MaxCachedBytes / 2) {
    m_CachedBytes -= m_Cache.back().m_Text.size();
    m_Cache.pop_back();
  }
  std::string Text = readTurnText(Source, Index);
  m_CachedBytes += Text.size();
  m_Cache.push_front(
      {.m_Group = Group, .m_Index = Index, .m_Text = std::move(Text)});
  while (m_Cache.size() > 1 && m_CachedBytes > m_Options.m_MaxCachedBytes) {
    m_CachedBytes -= m_Cache.back().m_Text.size();
    m_Cache.pop_back();
  }
  return m_Cache.front().m_Text;
}

std::string ChainTexts::part(const EntrySource &Source, std::uint32_t Group,
                             const std::vector<turns::ChainEntry> &Entries,
                             std::uint64_t Offset, std::size_t MaxBytes) {
  std::string Part;
  for (const turns::ChainEntry &Entry : Entries) {
    if (Entry.m_TextBytes > 0 && Offset >= Entry.m_TextBytes) {
      Offset -= Entry.m_TextBytes;
      continue;
    }
    const std::string_view Text = textAt(Source, Group, Entry.m_Index);
    if (Offset >= Text.size()) {
      Offset -= Text.size();
      continue;
    }
    Part += Text.substr(Offset, MaxBytes - Part.size());
    Offset = 0;
    if (Part.size() == MaxBytes)
      break;
  }
  return Part;
}

void ChainTexts::dropUnused() {
  std::erase_if(m_Cache,
                [](const CachedText &Cached) { return !Cached.m_Used; });
  m_CachedBytes = 0;
  for (CachedText &Cached : m_Cache) {
    Cached.m_Used = false;
    m_CachedBytes += Cached.m_Text.size();
  }
}

} // namespace psp::history
