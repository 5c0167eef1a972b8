#include "coordinator/Coordinator.h"

#include "base/Error.h"
#include "metrics/Names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

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
    else if (auto *Submitted = std::get_if<SubmitConfigurationCall>(&Call))
      Answer = co_await submit(std::move(*Submitted));
    else if (auto *Retired = std::get_if<RetireNodeCall>(&Call))
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

asio::awaitable<ControlAnswer>
Coordinator::submit(SubmitConfigurationCall Call) {
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
  co_return ConfigurationAnswer(Answer.text());
}

/// Starts a retirement, or tells how far it is.
asio::awaitable<ControlAnswer> Coordinator::retire(RetireNodeCall Call) {
  const fleet::NodeState *Target = m_Node.nodes().find(Call.m_Node);
  if (!Target || Target->kind() != NODE_HISTORY)
    co_return Failed(ErrorKind::NotFound, "no such node");
  const std::string Member = Target->member();
  ControlAnswer Answer = Done{};
  if (Call.m_Start) {
    Answer = co_await startRetirement(Member);
  } else {
    const bool Retired = co_await hasRetired(Call.m_Node);
    Answer = RetirementAnswer(Retired);
  }
  const auto *Progress = std::get_if<RetirementAnswer>(&Answer);
  m_Node.log().write("retirement_asked",
                     {{"target", Call.m_Node},
                      {"start", Call.m_Start ? "yes" : "no"},
                      {"outcome", std::holds_alternative<Failed>(Answer)
                                      ? std::get<Failed>(Answer).m_Detail
                                      : std::string("taken")},
                      {"done", Progress && Progress->m_Done ? "yes" : "no"}});
  co_return Answer;
}

std::size_t Coordinator::historyNodesBeside(const std::string &Member) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_Node.nodes().ofKind(NODE_HISTORY), [&](const fleet::NodeState &Each) {
        return Each.member() != Member &&
               !m_Machine.isRetiring(Each.member()) &&
               m_Node.hub().isUp(Each.name());
      }));
}

asio::awaitable<ControlAnswer>
Coordinator::startRetirement(std::string Member) {
  const std::size_t Needed = 2 * m_Node.settings().m_ToleratedLosses + 1;
  if (!m_Machine.isRetiring(Member) && historyNodesBeside(Member) < Needed)
    co_return Failed(ErrorKind::VersionConflict, "too few nodes would remain");
  Request Asked;
  Asked.mutable_retire()->set_node(Member);
  Asked.mutable_retire()->set_start(true);
  co_return answerOf(co_await execute(std::move(Asked), true));
}

/// Whether the leaders of all groups say that \p Node is no member.
asio::awaitable<bool> Coordinator::hasRetired(std::string Node) {
  const auto Groups =
      static_cast<std::uint32_t>(m_Machine.historyGroups().size());
  struct Outcome {
    std::uint32_t m_Open = 0;
    bool m_Retired = true;
  };
  auto Found = std::make_shared<Outcome>();
  auto End = std::make_shared<link::Waiter>(m_Node.io());
  for (std::uint32_t Group = 0; Group < Groups; ++Group) {
    ++Found->m_Open;
    asio::co_spawn(
        m_Node.io(),
        [](Coordinator &Self, std::uint32_t Number, std::string Target,
           std::shared_ptr<Outcome> Result,
           std::shared_ptr<link::Waiter> Finished) -> asio::awaitable<void> {
          Request Asked;
          Asked.mutable_retire()->set_node(Target);
          const Reply Answer =
              co_await Self.askHistory(Number, std::move(Asked));
          Result->m_Retired = Result->m_Retired && Answer.done();
          if (--Result->m_Open == 0 || !Result->m_Retired)
            Finished->fire();
        }(*this, Group, Node, Found, End),
        asio::detached);
  }
  const bool Answered = co_await End->wait(m_Options.m_ForwardTimeout);
  co_return Groups > 0 && Answered && Found->m_Retired;
}

/// Asks the leader of a group of history, as far as it is known.
asio::awaitable<Coordinator::Reply> Coordinator::askHistory(std::uint32_t Group,
                                                            Request Asked) {
  Asked.set_group(Group);
  co_return co_await forward(m_HistoryLeaders.leaderOf(Group),
                             std::move(Asked));
}

} // namespace psp::coordinator
