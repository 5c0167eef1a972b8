/// \file
/// The part of the replicated log that a voter holds in memory: the entries
/// after a base index. Entries up to the base are already applied to the state.

#ifndef PSP_CONTROL_VOTERLOG_H
#define PSP_CONTROL_VOTERLOG_H

#include "generated/log.pb.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace psp::control {

/// Maximum number of entries in one message.
inline constexpr std::size_t MaxEntriesPerMessage = 256;

/// Entries are added to a message until it holds this many bytes.
inline constexpr std::size_t MaxEntryBytesPerMessage = 1U << 20U;

class VoterLog {
public:
  using Entries = google::protobuf::RepeatedPtrField<messages::LogEntry>;

  /// Index of the entry before the first one held; 0 at the beginning.
  std::uint64_t baseIndex() const { return m_BaseIndex; }
  std::uint64_t lastIndex() const { return m_BaseIndex + m_Entries.size(); }
  std::uint64_t lastTerm() const;

  /// Returns no value for an index before the base or after the last entry.
  std::optional<std::uint64_t> termAt(std::uint64_t Index) const;

  /// The entry at \p Index, which must be in memory.
  const messages::LogEntry &at(std::uint64_t Index) const;

  /// Copies entries from \p First on into \p Out, up to \p Last and
  /// the limits of one message.
  void copyTo(std::uint64_t First, std::uint64_t Last, Entries &Out) const;

  /// \p Entry must carry the next index and no lower term than the last one.
  void append(messages::LogEntry Entry);

  /// Removes the entry at \p Index and all later ones.
  void truncateFrom(std::uint64_t Index);

  /// Removes the entries up to \p Index, which becomes the base.
  void compactTo(std::uint64_t Index);

  /// Removes all entries and sets a new base.
  void reset(std::uint64_t BaseIndex, std::uint64_t BaseTerm);

private:
  std::uint64_t m_BaseIndex = 0;
  std::uint64_t m_BaseTerm = 0;
  std::deque<messages::LogEntry> m_Entries;
};

} // namespace psp::control

#endif
