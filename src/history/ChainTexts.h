/// \file
/// Reads the texts of chains from the log, in parts.

#ifndef PSP_HISTORY_CHAINTEXTS_H
#define PSP_HISTORY_CHAINTEXTS_H

#include "turns/TurnLedger.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <vector>

namespace psp::history {

/// Reads commands that the ledger refers to from the log.
class EntrySource {
public:
  virtual ~EntrySource() = default;

  /// Throws UserError(Internal) if the entry is damaged on this disk.
  virtual std::string commandAt(std::uint64_t Index) const = 0;
};

/// The text that the entry at \p Index of \p Source holds. Throws as
/// EntrySource::commandAt() does.
std::string readTurnText(const EntrySource &Source, std::uint64_t Index);
/// Length of the texts of \p Entries, in bytes. Reads those whose length isn't
/// known.
std::uint64_t chainLength(const EntrySource &Source,
                          const std::vector<turns::ChainEntry> &Entries);

struct ChainTextsOptions {
  /// Texts that were read last are kept up to this many bytes in all, but for
  /// the last one, which is kept whatever its length.
  std::size_t m_MaxCachedBytes = 8U << 20U;
};

/// The entries of a chain are read one at a time, and one of them serves
/// several parts: the log is checked entry by entry.
class ChainTexts {
public:
  explicit ChainTexts(ChainTextsOptions Options = {}) : m_Options(Options) {}

  /// Up to \p MaxBytes of the texts of \p Entries, which the group \p Group
  /// has committed, from \p Offset on; empty behind their end.
  std::string part(const EntrySource &Source, std::uint32_t Group,
                   const std::vector<turns::ChainEntry> &Entries,
                   std::uint64_t Offset, std::size_t MaxBytes);
  /// Drops the texts that weren't read since the last call.
  void dropUnused();
  std::size_t cachedBytes() const { return m_CachedBytes; }

private:
  struct CachedText {
    std::uint32_t m_Group = 0;
    std::uint64_t m_Index = 0;
    std::string m_Text;
    bool m_Used = true; ///< Since the last call of dropUnused().
  };

  const std::string &textAt(const EntrySource &Source, std::uint32_t Group,
                            std::uint64_t Index);

  ChainTextsOptions m_Options;
  std::list<CachedText> m_Cache; ///< The last one that was read first.
  std::size_t m_CachedBytes = 0;
};

} // namespace psp::history

#endif
