/// \file
/// The attempts at each stream that may be taken up and whose text is retained,
/// and where the events are recorded that they have handed out.

#ifndef PSP_TURNS_STREAMATTEMPTS_H
#define PSP_TURNS_STREAMATTEMPTS_H

#include "generated/fleet.pb.h"
#include "turns/ExpiryQueue.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace psp::turns {

struct StreamAttemptsOptions {
  /// Streams that are remembered for one organisation, so that its callers
  /// can't use up the memory for the others. Of a further one no events are
  /// known.
  std::size_t m_MaxPerOrganisation = 50'000;
  /// Attempts of one stream. With a further one, no events of it are known.
  std::size_t m_MaxPerStream = 32;
};

/// One attempt of a caller at a stream.
struct StreamAttempt {
  std::string m_Name; ///< Its request id.
  /// It hands out later events only; empty: all.
  std::string m_AfterEvent{};
  std::uint64_t m_EndIndex =
      0;                    ///< Of the log entry of its end; zero: none yet.
  bool m_HasEvents = false; ///< In that entry, from the first one on.

  bool operator==(const StreamAttempt &) const = default;
};

/// What is known of the events of a stream up to one of them.
struct RecordedEvents {
  /// An attempt that may have handed out such events has not ended, or has
  /// ended without a record of them.
  bool m_Incomplete = false;
  /// Entries that may have the events. Two attempts may have handed out
  /// different ones under the same identifiers.
  std::vector<std::uint64_t> m_EntryIndexes;

  bool operator==(const RecordedEvents &) const = default;
};

/// Deterministic. A caller that takes up a stream gets only the rest of it, so
/// the text of its turn is completed from the earlier attempts.
///
/// Load pattern: empty, unless a route both retains turns and lets streams be
/// taken up.
class StreamAttempts {
public:
  explicit StreamAttempts(StreamAttemptsOptions Options = {})
      : m_Options(Options) {}

  /// An attempt at \p Stream begins. The stream is remembered until
  /// \p ExpiresMs at least.
  void begin(const std::string &Organisation, const std::string &Stream,
             StreamAttempt Begun, std::uint64_t ExpiresMs);
  /// The attempt has ended, with the entry \p Index. \p HasEvents: the entry
  /// has the events that it has handed out, and it may have handed out none
  /// otherwise. Only the first end counts.
  void end(const std::string &Organisation, const std::string &Stream,
           const std::string &Name, std::uint64_t Index, bool HasEvents);
  /// Empty if nothing is known of \p Stream at \p NowMs.
  std::optional<RecordedEvents> find(const std::string &Organisation,
                                     const std::string &Stream,
                                     const std::string &UpToEvent,
                                     std::uint64_t NowMs) const;
  /// Index of the oldest entry with events, if any.
  std::optional<std::uint64_t> oldestEntry() const;
  void expire(std::uint64_t WallMs);

  void save(messages::fleet::TurnLedgerSnapshot &Snapshot) const;
  /// Replaces all attempts.
  void load(const messages::fleet::TurnLedgerSnapshot &Snapshot);

  std::size_t size() const { return m_Streams.size(); }

private:
  using Key = std::string; ///< Organisation, a zero byte, and the stream.

  struct Row {
    std::string m_Organisation;
    std::vector<StreamAttempt> m_Attempts;
    std::uint64_t m_ExpiresMs = 0;
  };

  StreamAttemptsOptions m_Options;
  std::unordered_map<Key, Row> m_Streams;
  std::unordered_map<std::string, std::size_t> m_CountByOrganisation;
  std::set<std::uint64_t> m_EntryIndexes; ///< With events.
  ExpiryQueue m_Expiry;
};

} // namespace psp::turns

#endif
