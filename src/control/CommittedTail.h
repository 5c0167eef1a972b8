/// \file
/// The most recent committed entries, each with the digest of the state after
/// it. A learner that lacks only these entries needs no snapshot.

#ifndef PSP_CONTROL_COMMITTEDTAIL_H
#define PSP_CONTROL_COMMITTEDTAIL_H

#include "base/Hash.h"
#include "control/ControlState.h"
#include "control/VoterLog.h"
#include "generated/log.pb.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace psp::control {

/// Maximum number of committed entries retained for learners.
inline constexpr std::size_t MaxCommittedTailEntries = 1024;

class CommittedTail {
public:
  /// Discards all entries; the next one added follows \p State.
  void reset(const ControlState &State);

  /// Adds \p Entry, which was just applied and produced \p State.
  void add(const messages::LogEntry &Entry, const ControlState &State);

  /// The digest of the state after \p Index, if it is still retained.
  std::optional<base::Digest> digestAt(std::uint64_t Index) const;

  /// Copies the entries after \p Index, up to the limits of one message.
  void copyAfter(std::uint64_t Index, VoterLog::Entries &Out) const;

private:
  struct Applied {
    messages::LogEntry m_Entry;
    base::Digest m_Digest{}; ///< Of the state after the entry.
  };

  std::uint64_t m_BaseIndex = 0;
  base::Digest m_BaseDigest{};
  std::deque<Applied> m_Entries;
};

} // namespace psp::control

#endif
