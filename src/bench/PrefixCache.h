/// \file
/// The prefix cache of a stand-in model engine: bounded in tokens, the least
/// recently used prefix is evicted first.

#ifndef PSP_BENCH_PREFIXCACHE_H
#define PSP_BENCH_PREFIXCACHE_H

#include "bench/Conversation.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace psp::bench {

/// Remembers which prefixes of which conversations an engine holds.
class PrefixCache {
public:
  explicit PrefixCache(std::uint64_t CapacityTokens);

  /// Tokens at the start of \p Prefixes that need no computation.
  std::uint64_t cachedTokens(const std::vector<Prefix> &Prefixes) const;

  /// Holds all of \p Prefixes for \p Program and evicts what no longer fits.
  void insert(const std::string &Program, const std::vector<Prefix> &Prefixes);

  /// Forgets everything that only \p Program uses.
  void release(const std::string &Program);

  std::uint64_t heldTokens() const { return m_HeldTokens; }

  /// Programs with a prefix in the cache, in no particular order.
  std::vector<std::string> programs() const;

private:
  struct Entry {
    std::uint64_t m_Hash = 0;
    std::uint64_t m_Tokens = 0;
    std::string m_Program; ///< The one that used it last.
  };
  using EntryList = std::list<Entry>;

  void evict(EntryList::iterator Position);

  std::uint64_t m_CapacityTokens;
  std::uint64_t m_HeldTokens = 0;
  EntryList m_Entries; ///< Most recently used first.
  std::unordered_map<std::uint64_t, EntryList::iterator> m_ByHash;
  std::unordered_map<std::string, std::size_t> m_EntriesOfProgram;
};

} // namespace psp::bench

#endif
