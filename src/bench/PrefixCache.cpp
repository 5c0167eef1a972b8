#include "bench/PrefixCache.h"

#include <iterator>

namespace psp::bench {

PrefixCache::PrefixCache(std::uint64_t CapacityTokens)
    : m_CapacityTokens(CapacityTokens) {}

std::uint64_t
PrefixCache::cachedTokens(const std::vector<Prefix> &Prefixes) const {
  std::uint64_t Tokens = 0;
  for (const Prefix &Each : Prefixes) {
    if (!m_ByHash.contains(Each.m_Hash))
      break;
    Tokens += Each.m_Tokens;
  }
  return Tokens;
}

void PrefixCache::insert(const std::string &Program,
                         const std::vector<Prefix> &Prefixes) {
  // The longest prefix goes in first, so that a shorter one, which is of use
  // to more conversations, is evicted later.
  for (auto It = Prefixes.rbegin(); It != Prefixes.rend(); ++It) {
    const auto Known = m_ByHash.find(It->m_Hash);
    if (Known != m_ByHash.end())
      evict(Known->second);
    m_Entries.push_front(
        {.m_Hash = It->m_Hash, .m_Tokens = It->m_Tokens, .m_Program = Program});
    m_ByHash[It->m_Hash] = m_Entries.begin();
    m_HeldTokens += It->m_Tokens;
    ++m_EntriesOfProgram[Program];
  }
  while (m_HeldTokens > m_CapacityTokens && !m_Entries.empty())
    evict(std::prev(m_Entries.end()));
}

void PrefixCache::release(const std::string &Program) {
  if (!m_EntriesOfProgram.contains(Program))
    return;
  for (auto It = m_Entries.begin(); It != m_Entries.end();) {
    const auto Current = It++;
    if (Current->m_Program == Program)
      evict(Current);
  }
}

std::vector<std::string> PrefixCache::programs() const {
  std::vector<std::string> Result;
  Result.reserve(m_EntriesOfProgram.size());
  for (const auto &[Program, Count] : m_EntriesOfProgram)
    Result.push_back(Program);
  return Result;
}

void PrefixCache::evict(EntryList::iterator Position) {
  const auto Count = m_EntriesOfProgram.find(Position->m_Program);
  if (--Count->second == 0)
    m_EntriesOfProgram.erase(Count);
  m_HeldTokens -= Position->m_Tokens;
  m_ByHash.erase(Position->m_Hash);
  m_Entries.erase(Position);
}

} // namespace psp::bench
