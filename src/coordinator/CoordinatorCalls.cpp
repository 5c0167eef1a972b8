#include "coordinator/Coordinator.h"

#include "base/Error.h"
#include "fleet/AnnouncementCheck.h"
#include "metrics/Names.h"
#include "web/Spawn.h"

#include <algorithm>

namespace psp::coordinator {

namespace asio = boost::asio;
using base::ErrorKind;
using base::readClocks;
using messages::fleet::NODE_HISTORY;

namespace {

/// Interval in which announcements are forwarded to other control nodes, as one
/// batch.
constexpr base::Duration HeartbeatBatchInterval = base::milliseconds(250);
constexpr std::uint64_t MicrosecondsPerMillisecond = 1000;

} // namespace

ControlAnswer controlAnswerOf(const messages::fleet::Reply &Received) {
  using namespace messages::fleet;
  switch (Received.kind()) {
  case REPLY_OK:
    return SuccessAnswer{};
  case REPLY_REFUSED:
    return FailureAnswer(ErrorKind::VersionConflict,
                         "too few history nodes would remain for the required "
                         "number of members");
  case REPLY_UNKNOWN_NODE:
    return FailureAnswer(ErrorKind::NotFound, "no history node has this name");
  default:
    return FailureAnswer(ErrorKind::QuorumUnavailable,
                         "the leader of the control group can't be reached or "
                         "didn't reply in time");
  }
}

asio::awaitable<web::Response>
Coordinator::onCall(const web::Request &Received) {
  ControlAnswer Answer = SuccessAnswer{};
  try {
    ControlCall Call = m_Protocol.decode(Received);
    if (const auto *Announce = std::get_if<AnnounceCall>(&Call))
      Answer = announce(*Announce);
    else if (const auto *Leave = std::get_if<LeaveCall>(&Call))
      Answer = leave(*Leave);
    else if (auto *Submit = std::get_if<SubmitConfigurationCall>(&Call))
      Answer = co_await submitConfiguration(std::move(*Submit));
    else if (auto *Retire = std::get_if<RetireNodeCall>(&Call))
      Answer = co_await retireNode(std::move(*Retire));
    else if (auto *Release = std::get_if<ReleaseRequestCall>(&Call))
      Answer = co_await releaseRequest(std::move(*Release));
    else if (std::holds_alternative<ListHeldRequestsCall>(Call))
      Answer = HeldRequestsAnswer(m_StateMachine.heldRequests().state());
    else
      Answer = co_await readConfiguration();
  } catch (const base::UserError &Error) {
    m_Node.log().write("call_refused",
                       {{"target", std::string_view(Received.target())},
                        {"reason", Error.what()}});
    Answer = FailureAnswer(Error.kind(), Error.what());
  }
  co_return m_Protocol.encode(Answer);
}

/// Rejects a service that is not configured from an endpoint whose service is,
/// since no endpoint changes its service.
void Coordinator::checkService(const fleet::EndpointState &Announced) const {
  const auto &Services = m_Configuration.m_Services;
  const fleet::EndpointState *Known = m_Endpoints.find(Announced.id());
  if (Known && Services.contains(Known->service()) &&
      !Services.contains(Announced.service()))
    throw base::UserError(ErrorKind::BadRequest,
                          "announcement: expected the endpoint's service " +
                              Known->service() +
                              ", found one that is not configured");
}

ControlAnswer Coordinator::announce(const AnnounceCall &Call) {
  fleet::checkAnnouncement(Call.m_State,
                           readClocks().m_Wall / MicrosecondsPerMillisecond);
  checkService(Call.m_State);
  if (m_Node.isStopping() || !canReachEntryInstances())
    return FailureAnswer(
        ErrorKind::QuorumUnavailable,
        "this control node is cut off or stopping; try another one");
  m_Node.metrics().counter(metrics::names::Announcements).add();
  if (m_Endpoints.merge(Call.m_State, true, base::readMonotonic()))
    broadcastEndpoint(Call.m_State);
  if (m_PendingHeartbeats.endpoints_size() == 0) {
    m_HeartbeatTimer.expires_after(HeartbeatBatchInterval);
    m_HeartbeatTimer.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        flushHeartbeats();
    });
  }
  *m_PendingHeartbeats.add_endpoints() = Call.m_State;
  return SuccessAnswer{};
}

ControlAnswer Coordinator::leave(const LeaveCall &Call) {
  if (m_Node.isStopping() || !canReachEntryInstances())
    return FailureAnswer(
        ErrorKind::QuorumUnavailable,
        "this control node is cut off or stopping; try another one");
  if (m_Endpoints.markRemoved(Call.m_Endpoint, base::readMonotonic()))
    broadcastEndpoint(*m_Endpoints.find(Call.m_Endpoint));
  return SuccessAnswer{};
}

asio::awaitable<ControlAnswer>
Coordinator::submitConfiguration(SubmitConfigurationCall Call) {
  fleet::checkConfiguration(m_Codec.decode(Call.m_Document));
  Request Outgoing;
  Outgoing.mutable_submit()->set_version(Call.m_Version);
  Outgoing.mutable_submit()->set_document(Call.m_Document);
  const Reply Received = co_await execute(std::move(Outgoing), true);
  m_Node.log().write(
      "configuration_submitted",
      {{"version", Call.m_Version},
       {"outcome", messages::fleet::ReplyKind_Name(Received.kind())},
       {"held_version", m_StateMachine.version()}});
  co_return controlAnswerOf(Received);
}

asio::awaitable<ControlAnswer> Coordinator::readConfiguration() {
  Request Outgoing;
  Outgoing.mutable_read();
  const Reply Received = co_await execute(std::move(Outgoing), true);
  if (Received.kind() != messages::fleet::REPLY_OK)
    co_return controlAnswerOf(Received);
  if (Received.version() == 0)
    co_return FailureAnswer(ErrorKind::QuorumUnavailable,
                            "no configuration has been submitted yet");
  co_return ConfigurationAnswer(Received.text());
}

/// Starts a retirement, or returns its progress.
asio::awaitable<ControlAnswer> Coordinator::retireNode(RetireNodeCall Call) {
  const fleet::NodeState *Target = m_Node.nodes().find(Call.m_Node);
  if (!Target || Target->kind() != NODE_HISTORY)
    co_return FailureAnswer(ErrorKind::NotFound,
                            "no history node has this name");
  const std::string Member = Target->member();
  ControlAnswer Answer = SuccessAnswer{};
  if (Call.m_Start) {
    Answer = co_await startRetirement(Member);
  } else {
    const bool Retired = co_await isRetired(Call.m_Node);
    Answer = RetirementAnswer(Retired);
  }
  const auto *Progress = std::get_if<RetirementAnswer>(&Answer);
  m_Node.log().write(
      "retirement_asked",
      {{"target", Call.m_Node},
       {"start", Call.m_Start ? "yes" : "no"},
       {"outcome", std::holds_alternative<FailureAnswer>(Answer)
                       ? std::get<FailureAnswer>(Answer).m_Detail
                       : std::string("taken")},
       {"done", Progress && Progress->m_Completed ? "yes" : "no"}});
  co_return Answer;
}

std::size_t
Coordinator::countOtherHistoryNodes(const std::string &Member) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_Node.nodes().ofKind(NODE_HISTORY), [&](const fleet::NodeState &Node) {
        return Node.member() != Member &&
               !m_StateMachine.isRetiring(Node.member()) &&
               m_Node.links().isConnected(Node.name());
      }));
}

asio::awaitable<ControlAnswer>
Coordinator::startRetirement(std::string Member) {
  const std::size_t Needed = 2 * m_Node.settings().m_ToleratedLosses + 1;
  if (!m_StateMachine.isRetiring(Member) &&
      countOtherHistoryNodes(Member) < Needed)
    co_return FailureAnswer(ErrorKind::VersionConflict,
                            "too few history nodes would remain for the "
                            "required number of members");
  Request Outgoing;
  Outgoing.mutable_retire()->set_node(Member);
  Outgoing.mutable_retire()->set_start(true);
  co_return controlAnswerOf(co_await execute(std::move(Outgoing), true));
}

/// Whether the leaders of all groups confirm that \p Node is not a member.
asio::awaitable<bool> Coordinator::isRetired(std::string Node) {
  const auto Groups =
      static_cast<std::uint32_t>(m_StateMachine.historyGroups().size());
  struct Outcome {
    std::uint32_t m_Unanswered = 0;
    bool m_Retired = true;
  };
  auto Shared = std::make_shared<Outcome>();
  auto End = std::make_shared<link::Waiter>(m_Node.io());
  for (std::uint32_t Group = 0; Group < Groups; ++Group) {
    ++Shared->m_Unanswered;
    web::spawn(
        m_Node.io().get_executor(), "retire_node", web::Lasting(*this),
        [Group, Node, Shared, End](Coordinator &Self) -> asio::awaitable<void> {
          Request Query;
          Query.mutable_retire()->set_node(Node);
          const Reply Received =
              co_await Self.queryHistoryGroup(Group, std::move(Query));
          Shared->m_Retired = Shared->m_Retired && Received.done();
          if (--Shared->m_Unanswered == 0 || !Shared->m_Retired)
            End->fire();
        });
  }
  const bool Replied = co_await End->wait(m_Options.m_ForwardTimeout);
  co_return Groups > 0 && Replied && Shared->m_Retired;
}

/// Sends a request to the leader of a history group, as far as it is known.
asio::awaitable<Coordinator::Reply>
Coordinator::queryHistoryGroup(std::uint32_t Group, Request Query) {
  Query.set_group(Group);
  co_return co_await forward(m_HistoryLeaders.leaderOf(Group),
                             std::move(Query));
}

} // namespace psp::coordinator
