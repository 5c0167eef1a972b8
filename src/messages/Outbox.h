/// \file
/// Where decision code leaves the messages that it wants sent. The shell
/// around it takes them out and hands them to the peer links.

#ifndef PSP_MESSAGES_OUTBOX_H
#define PSP_MESSAGES_OUTBOX_H

#include "base/Ids.h"
#include "generated/peer.pb.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace psp::messages {

/// One message on its way out.
struct Outgoing {
  base::InstanceId m_To;
  Envelope m_Message;
  /// The message may leave once the journal is synced up to this record;
  /// zero: at once.
  std::uint64_t m_AfterRecord = 0;
};

/// Collects outgoing messages in order.
///
/// Example:
/// \code
///   auto &Reply = Out.add(From, Sequence);
///   *Reply.mutable_program()->mutable_append_reply() = Answer;
/// \endcode
class Outbox {
public:
  /// Adds an empty envelope for \p To and returns it to be filled in.
  Envelope &add(const base::InstanceId &To, std::uint64_t AfterRecord = 0) {
    m_Messages.push_back(
        {.m_To = To, .m_Message = {}, .m_AfterRecord = AfterRecord});
    return m_Messages.back().m_Message;
  }

  /// Takes all messages out, oldest first.
  std::vector<Outgoing> take() { return std::exchange(m_Messages, {}); }

private:
  std::vector<Outgoing> m_Messages;
};

} // namespace psp::messages

#endif
