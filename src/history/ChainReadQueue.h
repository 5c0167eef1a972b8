/// \file
/// Reads of parts of long chains that wait until earlier parts have been sent.

#ifndef PSP_HISTORY_CHAINREADQUEUE_H
#define PSP_HISTORY_CHAINREADQUEUE_H

#include "base/Time.h"
#include "fleet/ReplyAddress.h"
#include "generated/fleet.pb.h"

#include <cstddef>
#include <list>
#include <optional>

namespace psp::history {

struct ChainReadQueueOptions {
  /// No part is read while more bytes than this are unsent, over all
  /// connections. A part may exceed it once.
  std::size_t m_MaxUnsentBytes = 2U << 20U;
  /// Reads that wait, in number. Each holds a few hundred bytes.
  std::size_t m_MaxWaiting = 1000;
  /// A reader that has waited this long has asked again or given up.
  base::Duration m_MaxWait = base::milliseconds(1000);
};

/// A request for one part, and where the part is sent.
struct ChainRead {
  fleet::ReplyAddress m_From;
  messages::fleet::Request m_Request; ///< With read_chain.
  base::TimePoint m_ReceivedAt;
};

/// Load pattern: many turns continue from long chains at once, so that the
/// texts together exceed the memory of this process. The memory for parts stays
/// within the limit however many turns read. Decides without I/O.
class ChainReadQueue {
public:
  explicit ChainReadQueue(ChainReadQueueOptions Options = {})
      : m_Options(Options) {}

  /// A repeated read of the same reader replaces the earlier one in its place.
  /// Returns false if too many wait; the sender is to be told at once.
  bool add(ChainRead Read);
  /// The read to serve next: the one that has waited longest. Empty if
  /// \p UnsentBytes leave no room, or none waits.
  std::optional<ChainRead> takeNext(std::size_t UnsentBytes,
                                    base::TimePoint Now);

  bool empty() const { return m_Waiting.empty(); }
  std::size_t size() const { return m_Waiting.size(); }

private:
  ChainReadQueueOptions m_Options;
  std::list<ChainRead> m_Waiting; ///< The longest wait first.
};

} // namespace psp::history

#endif
