/// \file
/// The last committed entries, each with the digest of the state behind it,
/// for learners that lack only these.

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

/// Number of committed entries kept for learners.
inline constexpr std::size_t CommittedTailEntries = 1024;

class CommittedTail {
public:
  /// Starts again behind \p State.
  void reset(const ControlState &State);

  /// \p Entry was just applied and led to \p State.
  void add(const messages::LogEntry &Entry, const ControlState &State);

  /// The digest of the state at \p Index, if it is kept.
  std::optional<base::Digest> digestAt(std::uint64_t Index) const;

  /// Copies entries behind \p Index, as many as one message takes.
  void copyBehind(std::uint64_t Index, VoterLog::Entries &Out) const;

private:
  struct Applied {
    messages::LogEntry m_Entry;
    base::Digest m_Digest{}; ///< Behind the entry.
  };

  std::uint64_t m_BaseIndex = 0;
  base::Digest m_BaseDigest{};
  std::deque<Applied> m_Entries;
};

} // namespace psp::control

#endif
