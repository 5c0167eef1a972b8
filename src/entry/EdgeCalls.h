/// \file
/// The calls that callers have made at this instance. Each call is forwarded to
/// the owner of its program, which may be any instance. The answer is relayed
/// to the caller completely and in order, even if the owner fails or changes.

#ifndef PSP_ENTRY_EDGECALLS_H
#define PSP_ENTRY_EDGECALLS_H

#include "base/ErrorKind.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "entry/OwnerDirectory.h"
#include "generated/peer.pb.h"
#include "messages/CallerMessages.h"
#include "messages/Outbox.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace psp::entry {

/// One admitted call of a caller.
struct EdgeCall {
  messages::RequestNumber m_Request = 0;
  base::OrganisationId m_Organisation;
  base::KeyId m_Key; ///< Empty on routes that require no key.
  messages::ForwardCall::Kind m_Kind = messages::ForwardCall::RUN;
  messages::CallRequest m_Call;
  bool m_Chat = false;
  bool m_Repeatable = true;
  /// The program is created for this call alone and ended after it.
  bool m_OneOff = false;
  base::TimePoint m_Deadline;
};

/// Number of calls by how they ended.
struct EdgeCounters {
  std::uint64_t m_Started = 0;
  std::uint64_t m_Succeeded = 0;
  std::uint64_t m_Failed = 0;
  std::uint64_t m_ForwardedAgain = 0;
  std::uint64_t m_CallerDisconnected = 0;

  bool operator==(const EdgeCounters &) const = default;
};

class EdgeCalls {
public:
  /// Call numbers start at \p FirstCall, which must be higher than any of an
  /// earlier incarnation.
  EdgeCalls(const OwnerDirectory &Owners, std::uint64_t FirstCall);

  /// Commands.
  void start(EdgeCall Call, base::TimePoint Now, messages::Outbox &Out);
  void onChunk(const base::InstanceId &From,
               const messages::ForwardChunk &Chunk, base::TimePoint Now,
               messages::Outbox &Out);
  void onEnd(const base::InstanceId &From, const messages::ForwardEnd &End,
             base::TimePoint Now, messages::Outbox &Out);
  void onCallerDisconnected(messages::RequestNumber Request,
                            messages::Outbox &Out);
  void onTick(base::TimePoint Now, messages::Outbox &Out);

  /// Ends every call whose key \p IsWithdrawn accepts.
  void endWithdrawn(const std::function<bool(const base::KeyId &)> &IsWithdrawn,
                    messages::Outbox &Out);

  /// Replies for callers, oldest first.
  std::vector<messages::CallerReply> takeReplies();

  /// Queries.
  std::size_t count() const { return m_Calls.size(); }
  const EdgeCounters &counters() const { return m_Counters; }

private:
  struct ActiveCall {
    EdgeCall m_Call;
    messages::ForwardCall::Kind m_Step = messages::ForwardCall::RUN;
    Owner m_Owner;
    bool m_Forwarded = false;
    bool m_EverForwarded = false;
    bool m_Acknowledged = false;
    bool m_StreamBegun = false;
    base::TimePoint m_Started;
    base::TimePoint m_NextForward;
    std::string m_Answer; ///< Bytes of the answer that have arrived in order.
  };
  using Calls = std::map<std::uint64_t, ActiveCall>;

  ActiveCall *findFrom(std::uint64_t Number, const base::InstanceId &From);
  void forward(std::uint64_t Number, ActiveCall &Call, base::TimePoint Now,
               messages::Outbox &Out);
  void scheduleForward(ActiveCall &Call, base::TimePoint Now);
  void checkOwner(std::uint64_t Number, ActiveCall &Call, base::TimePoint Now,
                  messages::Outbox &Out);
  void succeed(std::uint64_t Number, ActiveCall &Call,
               const messages::ForwardEnd &End, messages::Outbox &Out);
  void runAfterCreation(std::uint64_t Number, ActiveCall &Call,
                        base::TimePoint Now, messages::Outbox &Out);
  void fail(std::uint64_t Number, ActiveCall &Call, base::ErrorKind Kind,
            const std::string &Detail, base::Duration RetryAfter);
  void expire(std::uint64_t Number, ActiveCall &Call, messages::Outbox &Out);
  void relay(ActiveCall &Call, const std::string &Text);
  void beginStream(ActiveCall &Call);
  void cancelAtOwner(std::uint64_t Number, const ActiveCall &Call,
                     messages::Outbox &Out);
  void removeCall(std::uint64_t Number);

  const OwnerDirectory &m_Owners;
  std::uint64_t m_NextCall;
  Calls m_Calls;
  std::unordered_map<messages::RequestNumber, std::uint64_t> m_ByRequest;
  std::vector<messages::CallerReply> m_Replies;
  EdgeCounters m_Counters;
};

} // namespace psp::entry

#endif
