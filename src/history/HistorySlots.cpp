#include "history/HistoryNode.h"

#include "fleet/ProgramGroups.h"
#include "metrics/Names.h"

#include <utility>

namespace psp::history {

using fleet::dispatchingGroup;

namespace {

/// Interval in which waiting turns and unanswered requests are checked, in
/// addition to the end of each turn.
constexpr base::Duration TickInterval = base::milliseconds(20);
/// Time after which callers of new programs retry at a full instance, in
/// milliseconds: turns end and retained ones expire meanwhile.
constexpr std::uint32_t FullRetryMs = 1000;
/// The same while the slot allocator is overloaded: it recovers as turns end.
constexpr std::uint32_t OverloadRetryMs = 500;
/// How often the speeds of engines are logged, and of how many of a service.
constexpr base::Duration SpeedLogInterval = base::seconds(10);
constexpr std::size_t MaxLoggedEngines = 64;
/// A slot that is granted sooner counts as granted at once.
constexpr base::Duration CountedWait = base::milliseconds(1);
constexpr std::string_view AllocatorLate = "the slot allocator is overloaded";

} // namespace

/// Requests a slot for a turn of a group that this node leads.
void HistoryNode::requestSlot(const ReplyAddress &From,
                              const Request &Received) {
  const auto &Begin = Received.begin();
  const bool NewProgram =
      Begin.previous().empty() &&
      !m_Hosted.at(Received.group())
           ->m_State.ledger()
           .hasProgram(Begin.organisation(), Begin.program(), wallMs());
  if (NewProgram && m_Capacity.isFull()) {
    refuseProgram(From, Received,
                  "memory or disk use is above the threshold for new programs",
                  FullRetryMs);
    return;
  }
  const base::TimePoint Now = base::readMonotonic();
  if (NewProgram && m_SlotRequests.isAllocatorLate(Begin.service(), Now) &&
      isAllocatorHeard(Begin.service())) {
    refuseProgram(From, Received, AllocatorLate, OverloadRetryMs);
    return;
  }
  const std::uint64_t Id = m_SlotRequests.add({.m_From = From,
                                               .m_Request = Received,
                                               .m_NewProgram = NewProgram,
                                               .m_ArrivedAt = Now,
                                               .m_SentAt = Now});
  sendSlotRequest(Id);
  // The request is sent all the same: its reply shows when an allocator is
  // reachable again.
  if (m_SlotRequests.isAllocatorUnreachable())
    if (const auto Pending = m_SlotRequests.take(Id))
      beginWithoutSlot(*Pending);
  scheduleTick();
}

void HistoryNode::refuseProgram(const ReplyAddress &From,
                                const Request &Received,
                                std::string_view Reason,
                                std::uint32_t RetryMs) {
  m_Node.log().write("program_refused",
                     {{"request", Received.begin().turn()},
                      {"program", Received.begin().program()},
                      {"reason", Reason}});
  Reply Rejection;
  Rejection.set_kind(messages::fleet::REPLY_BUSY);
  Rejection.set_wait_ms(RetryMs);
  reply(From, Received.id(), std::move(Rejection));
}

bool HistoryNode::isAllocatorHeard(const std::string &Service) const {
  const std::string Allocator =
      leaderOf(dispatchingGroup(Service, m_GroupCount));
  return Allocator == m_Node.settings().m_Name || m_Node.isHeard(Allocator);
}

void HistoryNode::sendSlotRequest(std::uint64_t Id) {
  const SlotRequestTable::PendingRequest *Pending = m_SlotRequests.find(Id);
  if (!Pending)
    return;
  Request Outgoing;
  Outgoing.set_id(Id);
  *Outgoing.mutable_place()->mutable_begin() = Pending->m_Request.begin();
  Outgoing.mutable_place()->set_new_program(Pending->m_NewProgram);
  *Outgoing.mutable_place()->mutable_connected() =
      Pending->m_Request.connected();
  Outgoing.mutable_place()->set_prompt_tokens(
      Pending->m_Request.prompt_tokens());
  *Outgoing.mutable_place()->mutable_placement() =
      Pending->m_Request.placement();
  const std::uint32_t Number =
      dispatchingGroup(Pending->m_Request.begin().service(), m_GroupCount);
  if (isLeaderOf(Number)) {
    onSlotRequest({.m_Node = m_Node.settings().m_Name}, Outgoing);
    return;
  }
  LinkMessage Message;
  *Message.mutable_request() = std::move(Outgoing);
  m_Node.links().send(leaderOf(Number), Message);
}

/// Handles a slot request from the leader of a group.
void HistoryNode::onSlotRequest(const ReplyAddress &From,
                                const Request &Received) {
  const auto &Begin = Received.place().begin();
  if (m_GroupCount == 0 ||
      !isLeaderOf(dispatchingGroup(Begin.service(), m_GroupCount))) {
    replyKind(From, Received.id(), messages::fleet::REPLY_NOT_LEADER);
    return;
  }
  turns::TurnAdmission::PendingTurn Turn = {
      .m_From = From,
      .m_Request = {},
      .m_NewProgram = Received.place().new_program(),
      .m_ArrivedAt = base::readMonotonic()};
  Turn.m_Request.set_id(Received.id());
  *Turn.m_Request.mutable_begin() = Begin;
  *Turn.m_Request.mutable_connected() = Received.place().connected();
  Turn.m_Request.set_prompt_tokens(Received.place().prompt_tokens());
  *Turn.m_Request.mutable_placement() = Received.place().placement();
  SlotAllocator &Allocator = slotAllocator(Begin.service());
  Allocator.requestSlot(Turn, base::readMonotonic());
  sendSlotResponses(Allocator);
  scheduleTick();
}

SlotAllocator &HistoryNode::slotAllocator(const std::string &Service) {
  return m_SlotAllocators
      .try_emplace(
          Service, Service,
          turns::TurnAdmissionOptions{
              .m_UsesRanks = m_UsesRanks,
              .m_Seed = m_Node.settings().m_Name.size() +
                        static_cast<std::uint64_t>(
                            base::readMonotonic().time_since_epoch().count())},
          m_Endpoints,
          TurnPlacesOptions{
              .m_Enabled = m_Node.settings().m_Places.m_Enabled,
              .m_ColdOvershoot = m_Node.settings().m_Places.m_ColdOvershoot,
              .m_ColdSlack = m_Node.settings().m_Places.m_ColdSlack},
          turns::EnginePlacementOptions{
              .m_LearnsSpeeds =
                  m_LearnsSpeeds || m_Node.settings().m_EngineMemoryLimited,
              .m_RemoteTurnCostMs = m_RemoteTurnCostMs})
      .first->second;
}

void HistoryNode::sendSlotResponses(SlotAllocator &Allocator) {
  for (SlotResponse &Response :
       Allocator.takeResponses(base::readMonotonic())) {
    const auto &Begin = Response.m_Turn.m_Request.begin();
    countSlotResponse(Response);
    if (Response.m_Reply.kind() == messages::fleet::REPLY_BUSY) {
      const auto Load = Allocator.load();
      m_Node.metrics().counter(metrics::names::TurnsTurnedAway).add();
      m_Node.log().write(
          "turn_turned_away",
          {{"request", Begin.turn()},
           {"program", Begin.program()},
           {"program_left_ms", Begin.program_left_ms()},
           {"new_program", Response.m_Turn.m_NewProgram ? "yes" : "no"},
           {"route", Response.m_Turn.m_Request.placement().route()},
           {"priority", Response.m_Turn.m_Request.placement().priority()},
           {"organisation", Begin.organisation()},
           {"running", Load.m_Running},
           {"slots", Load.m_Slots},
           {"waiting", Allocator.waiting()},
           {"too_large",
            turns::EnginePlacement::isTooLarge(Response.m_Turn.m_Request)
                ? "yes"
                : "no"},
           {"share_percent",
            static_cast<std::uint64_t>(100 * Allocator.newProgramShare())}});
    }
    countPlacedTurn(Response);
    if (Response.m_Turn.m_From.m_Connection == 0)
      onReply(Response.m_Reply);
    else
      reply(Response.m_Turn.m_From, Response.m_Turn.m_Request.id(),
            Response.m_Reply);
  }
}

void HistoryNode::countPlacedTurn(const SlotResponse &Granted) {
  const fleet::EndpointState *Engine =
      m_Endpoints.find(Granted.m_Reply.endpoint());
  if (Granted.m_Reply.kind() != messages::fleet::REPLY_OK || !Engine)
    return;
  const std::string &CallerAt =
      Granted.m_Turn.m_Request.placement().data_centre();
  std::string Where = "unknown";
  if (!CallerAt.empty())
    Where = CallerAt == Engine->data_centre() ? "same" : "other";
  m_Node.metrics()
      .counter(metrics::names::TurnsPlaced, {{"engine_at", Where}})
      .add();
}

void HistoryNode::logEngineSpeeds(base::TimePoint Now) {
  if (Now < m_NextSpeedLogAt)
    return;
  m_NextSpeedLogAt = Now + SpeedLogInterval;
  for (const auto &[Service, Allocator] : m_SlotAllocators)
    if (const std::string Engines =
            Allocator.describeEngines(MaxLoggedEngines, Now);
        !Engines.empty())
      m_Node.log().write("engine_speeds",
                         {{"service", Service}, {"engines", Engines}});
}

void HistoryNode::countSlotResponse(const SlotResponse &Response) {
  const auto &Placement = Response.m_Turn.m_Request.placement();
  const bool Rejected =
      Response.m_Reply.kind() == messages::fleet::REPLY_BUSY &&
      Response.m_Reply.wait_ms() > 0;
  const bool Waited =
      base::readMonotonic() - Response.m_Turn.m_ArrivedAt >= CountedWait;
  m_Node.metrics()
      .counter(metrics::names::SlotsByClass,
               {{metrics::names::RouteLabel, Placement.route()},
                {metrics::names::PriorityLabel,
                 std::to_string(Placement.priority())},
                {metrics::names::OutcomeLabel, Rejected ? "refused"
                                               : Waited ? "waited"
                                                        : "granted"}})
      .add();
}

void HistoryNode::onReply(const Reply &Received) {
  // Requests to other groups and slot requests have separate identifiers.
  if (Received.id() >= OtherGroupIdBase) {
    m_Node.onReply(m_OutgoingRequests, Received);
    return;
  }
  // A request to the wrong node is sent again by the next tick.
  if (Received.kind() == messages::fleet::REPLY_NOT_LEADER)
    return;
  m_SlotRequests.recordReply(Received.id(), base::readMonotonic());
  const auto Pending = m_SlotRequests.take(Received.id());
  if (!Pending)
    return;
  if (Received.kind() == messages::fleet::REPLY_BUSY ||
      Received.kind() == messages::fleet::REPLY_NO_ENGINE) {
    reply(Pending->m_From, Pending->m_Request.id(), Received);
    return;
  }
  Request Placed = Pending->m_Request;
  Placed.mutable_begin()->set_software(Received.software());
  propose(
      Pending->m_From, Placed,
      {.m_Endpoint = Received.endpoint(), .m_Born = Received.engine_born()});
}

/// Begins a turn without a slot, since no allocator is reachable: the entry
/// instance chooses an engine.
void HistoryNode::beginWithoutSlot(
    const SlotRequestTable::PendingRequest &Pending) {
  const auto &Begin = Pending.m_Request.begin();
  m_Node.log().write(
      "place_not_granted",
      {{"request", Begin.turn()},
       {"service", Begin.service()},
       {"asked", leaderOf(dispatchingGroup(Begin.service(), m_GroupCount))},
       {"new_program", Pending.m_NewProgram ? "yes" : "no"}});
  propose(Pending.m_From, Pending.m_Request, {});
}

void HistoryNode::reportTurn(const TurnReport &Report) {
  if (m_GroupCount == 0 || Report.service().empty())
    return;
  const std::uint32_t Number = dispatchingGroup(Report.service(), m_GroupCount);
  if (isLeaderOf(Number)) {
    onTurnReport(Report);
    return;
  }
  LinkMessage Message;
  *Message.mutable_reports()->add_reports() = Report;
  m_Node.links().send(leaderOf(Number), Message);
}

void HistoryNode::onTurnReport(const TurnReport &Report) {
  const auto It = m_SlotAllocators.find(Report.service());
  if (It == m_SlotAllocators.end())
    return;
  It->second.reportTurn(Report, base::readMonotonic());
  sendSlotResponses(It->second);
}

void HistoryNode::scheduleTick() {
  if (std::exchange(m_TickScheduled, true))
    return;
  m_TickTimer.expires_after(TickInterval);
  m_TickTimer.async_wait([this](boost::system::error_code Error) {
    m_TickScheduled = false;
    if (!Error)
      tick();
  });
}

/// Called periodically while any turn waits.
void HistoryNode::tick() {
  const base::TimePoint Now = base::readMonotonic();
  bool IsWaiting = false;
  for (auto &[Service, Allocator] : m_SlotAllocators) {
    sendSlotResponses(Allocator);
    IsWaiting = IsWaiting || Allocator.waiting() > 0;
  }
  for (const std::uint64_t Id : m_SlotRequests.takeDueForResend(Now))
    sendSlotRequest(Id);
  const auto IsHeard = [this](const std::string &Service) {
    return isAllocatorHeard(Service);
  };
  for (const auto &Pending : m_SlotRequests.takeOverdue(Now, IsHeard)) {
    const auto &Begin = Pending.m_Request.begin();
    if (!Pending.m_NewProgram || !IsHeard(Begin.service())) {
      beginWithoutSlot(Pending);
      continue;
    }
    refuseProgram(Pending.m_From, Pending.m_Request, AllocatorLate,
                  OverloadRetryMs);
    TurnReport Unused; // Frees the slot that the allocator may yet grant.
    Unused.set_turn(Begin.turn());
    Unused.set_service(Begin.service());
    reportTurn(Unused);
  }
  if (IsWaiting || m_SlotRequests.size() > 0)
    scheduleTick();
}

} // namespace psp::history
