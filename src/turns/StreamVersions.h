/// \file
/// Which software version generates each stream that may be taken up.

#ifndef PSP_TURNS_STREAMVERSIONS_H
#define PSP_TURNS_STREAMVERSIONS_H

#include "generated/fleet.pb.h"
#include "turns/ExpiryQueue.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace psp::turns {

struct StreamVersionsOptions {
  /// Streams that are remembered for one organisation, so that its callers
  /// can't use up the memory for the others. A further one isn't recorded.
  std::size_t m_MaxPerOrganisation = 50'000;
  /// A stream with a longer name isn't recorded, in bytes.
  std::size_t m_MaxNameBytes = 128;
};

/// The version that generates a stream.
struct StreamVersion {
  std::string m_Software;
  /// Wall time of the record, in milliseconds.
  std::uint64_t m_RecordedMs = 0;

  bool operator==(const StreamVersion &) const = default;
};

/// Deterministic. What two versions generate doesn't fit together, so a stream
/// goes on only at the version that began it, wherever and whenever its caller
/// takes it up.
class StreamVersions {
public:
  explicit StreamVersions(StreamVersionsOptions Options = {})
      : m_Options(Options) {}

  /// Records \p Software for \p Stream, unless the stream has a record already:
  /// a repeated command may come from an earlier selection.
  void record(const std::string &Organisation, const std::string &Stream,
              StreamVersion Version, std::uint64_t ExpiresMs);
  /// Null if the version is not known, or no longer at \p NowMs. See TurnLedger
  /// on lookups.
  const StreamVersion *find(const std::string &Organisation,
                            const std::string &Stream,
                            std::uint64_t NowMs = 0) const;
  /// Keeps the record of \p Stream until \p ExpiresMs at least.
  void extend(const std::string &Organisation, const std::string &Stream,
              std::uint64_t ExpiresMs);
  void expire(std::uint64_t WallMs);
  void clear();

  void save(messages::fleet::TurnLedgerSnapshot &Snapshot) const;
  /// Replaces all records.
  void load(const messages::fleet::TurnLedgerSnapshot &Snapshot);

  std::size_t size() const { return m_Rows.size(); }

private:
  using Key = std::string; ///< Organisation, a zero byte, and the stream.

  struct Row {
    StreamVersion m_Version;
    std::string m_Organisation;
    std::uint64_t m_ExpiresMs = 0;
  };

  StreamVersionsOptions m_Options;
  std::unordered_map<Key, Row> m_Rows;
  std::unordered_map<std::string, std::size_t> m_CountByOrganisation;
  ExpiryQueue m_Expiry;
};

} // namespace psp::turns

#endif
