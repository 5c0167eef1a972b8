#include "coordinator/Coordinator.h"

#include "base/Error.h"
#include "metrics/Names.h"

namespace psp::coordinator {

namespace asio = boost::asio;
using base::ErrorKind;
using base::readClocks;
using messages::fleet::NODE_HISTORY;

namespace {

/// Announcements are passed on to other control nodes together, this often.
constexpr base::Duration BeatBatchInterval = base::milliseconds(250);

ControlAnswer answerOf(const messages::fleet::Reply &Received) {
  using namespace messages::fleet;
  switch (Received.kind()) {
  case REPLY_OK:
    return Done{};
  case REPLY_REFUSED:
    return Failed(ErrorKind::VersionConflict, "too few nodes would remain");
  case REPLY_UNKNOWN_NODE:
    return Failed(ErrorKind::NotFound, "no such node");
  default:
    return Failed(ErrorKind::QuorumUnavailable,
                  "the group's leader can't be reached");
  }
}

} // namespace

asio::awaitable<web::Response>
Coordinator::onCall(const web::Request &Received) {
  ControlAnswer Answer = Done{};
  try {
    ControlCall Call = m_Protocol.decode(Received);
    if (const auto *Announced = std::get_if<AnnounceCall>(&Call))
      Answer = announce(*Announced);
    else if (const auto *Left = std::get_if<LeaveCall>(&Call))
      Answer = leave(*Left);
    else if (auto *Submitted = std::get_if<SubmitCall>(&Call))
      Answer = co_await submit(std::move(*Submitted));
    else if (auto *Retired = std::get_if<RetireCall>(&Call))
      Answer = co_await retire(std::move(*Retired));
    else
      Answer = co_await read();
  } catch (const base::UserError &Fault) {
    m_Node.log().write("call_refused",
                       {{"target", std::string_view(Received.target())},
                        {"reason", Fault.what()}});
    Answer = Failed(Fault.kind(), Fault.what());
  }
  co_return m_Protocol.encode(Answer);
}

ControlAnswer Coordinator::announce(const AnnounceCall &Call) {
  if (m_Node.isStopping() || !isInContact())
    return Failed(ErrorKind::QuorumUnavailable,
                  "this node is cut off or stopping");
  m_Node.metrics().counter(metrics::names::Announcements).add();
  if (m_Endpoints.merge(Call.m_State, true, base::readMonotonic()))
    spread(Call.m_State);
  if (m_BeatsForPeers.endpoints_size() == 0) {
    m_BeatTimer.expires_after(BeatBatchInterval);
    m_BeatTimer.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        flushBeats();
    });
  }
  *m_BeatsForPeers.add_endpoints() = Call.m_State;
  return Done{};
}

ControlAnswer Coordinator::leave(const LeaveCall &Call) {
  if (m_Node.isStopping() || !isInContact())
    return Failed(ErrorKind::QuorumUnavailable,
                  "this node is cut off or stopping");
  if (m_Endpoints.markGone(Call.m_Endpoint, base::readMonotonic()))
    spread(*m_Endpoints.find(Call.m_Endpoint));
  return Done{};
}

asio::awaitable<ControlAnswer> Coordinator::submit(SubmitCall Call) {
  fleet::checkConfiguration(m_Codec.decode(Call.m_Document));
  Request Asked;
  Asked.mutable_submit()->set_version(Call.m_Version);
  Asked.mutable_submit()->set_document(Call.m_Document);
  const Reply Answer = co_await execute(std::move(Asked), true);
  m_Node.log().write(
      "configuration_submitted",
      {{"version", Call.m_Version},
       {"outcome", messages::fleet::ReplyKind_Name(Answer.kind())},
       {"held_version", m_Machine.version()}});
  co_return answerOf(Answer);
}

asio::awaitable<ControlAnswer> Coordinator::read() {
  Request Asked;
  Asked.mutable_read();
  const Reply Answer = co_await execute(std::move(Asked), true);
  if (Answer.kind() != messages::fleet::REPLY_OK)
    co_return answerOf(Answer);
  if (Answer.version() == 0)
    co_return Failed(ErrorKind::QuorumUnavailable,
                     "no configuration was submitted yet");
  co_return DocumentAnswer(Answer.text());
}

/// Asks history nodes in turn until one that leads answers.
asio::awaitable<ControlAnswer> Coordinator::retire(RetireCall Call) {
  Request Asked;
  Asked.mutable_retire()->set_node(Call.m_Node);
  Asked.mutable_retire()->set_start(Call.m_Start);
  for (const fleet::NodeState &Each : m_Node.nodes().ofKind(NODE_HISTORY)) {
    if (!m_Node.hub().isUp(Each.name()))
      continue;
    const Reply Answer = co_await forward(Each.name(), Asked);
    if (Answer.kind() == messages::fleet::REPLY_NOT_LEADER ||
        Answer.kind() == messages::fleet::REPLY_UNAVAILABLE)
      continue;
    m_Node.log().write(
        "retirement_asked",
        {{"target", Call.m_Node},
         {"start", Call.m_Start ? "yes" : "no"},
         {"outcome", messages::fleet::ReplyKind_Name(Answer.kind())},
         {"done", Answer.done() ? "yes" : "no"}});
    if (!Call.m_Start && Answer.kind() == messages::fleet::REPLY_OK)
      co_return RetireAnswer(Answer.done());
    co_return answerOf(Answer);
  }
  co_return Failed(ErrorKind::QuorumUnavailable,
                   "no leader of the history group was found");
}

} // namespace psp::coordinator
