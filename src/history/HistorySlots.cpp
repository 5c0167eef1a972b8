#include "history/HistoryNode.h"

#include "fleet/ProgramGroups.h"
#include "metrics/Names.h"

#include <utility>

namespace psp::history {

using fleet::dispatchingGroup;

namespace {

/// Waiting turns and unanswered requests are looked at this often, beside each
/// end of a turn.
constexpr base::Duration TickInterval = base::milliseconds(20);
/// When the callers of new programs come back to a full machine: turns end and
/// kept ones expire meanwhile.
constexpr std::uint32_t FullRetryMs = 1000;

} // namespace

/// A turn of a group that this node leads is ready to begin.
void HistoryNode::askForPlace(const std::string &From, const Request &Asked) {
  const auto &Begin = Asked.begin();
  const bool NewProgram =
      Begin.previous().empty() &&
      !m_Hosted.at(Asked.group())
           ->m_Desk.ledger()
           .hasProgram(Begin.organisation(), Begin.program());
  if (NewProgram && m_Room.isFull()) {
    m_Node.log().write("program_refused", {{"request", Begin.turn()},
                                           {"program", Begin.program()},
                                           {"reason", "the machine is full"}});
    Reply Answer;
    Answer.set_kind(messages::fleet::REPLY_BUSY);
    Answer.set_wait_ms(FullRetryMs);
    reply(From, Asked.id(), std::move(Answer));
    return;
  }
  const base::TimePoint Now = base::readMonotonic();
  const std::uint64_t Id = m_Places.add({.m_Node = From,
                                         .m_Request = Asked,
                                         .m_NewProgram = NewProgram,
                                         .m_ArrivedAt = Now,
                                         .m_SentAt = Now});
  sendPlaceRequest(Id);
  // The request still tells when somebody grants places again.
  if (m_Places.granterIsMissing())
    if (const auto Waiting = m_Places.take(Id))
      goWithoutPlace(*Waiting);
  tickSoon();
}

void HistoryNode::sendPlaceRequest(std::uint64_t Id) {
  const SlotRequestTable::Pending *Waiting = m_Places.find(Id);
  if (!Waiting)
    return;
  Request Asked;
  Asked.set_id(Id);
  *Asked.mutable_place()->mutable_begin() = Waiting->m_Request.begin();
  Asked.mutable_place()->set_new_program(Waiting->m_NewProgram);
  *Asked.mutable_place()->mutable_connected() = Waiting->m_Request.connected();
  const std::uint32_t Number =
      dispatchingGroup(Waiting->m_Request.begin().service(), m_GroupCount);
  if (leads(Number)) {
    onPlaceRequest(m_Node.settings().m_Name, Asked);
    return;
  }
  LinkMessage Message;
  *Message.mutable_request() = std::move(Asked);
  m_Node.hub().send(leaderOf(Number), Message);
}

/// Some group's leader asks for a place.
void HistoryNode::onPlaceRequest(const std::string &From,
                                 const Request &Asked) {
  const auto &Begin = Asked.place().begin();
  if (m_GroupCount == 0 ||
      !leads(dispatchingGroup(Begin.service(), m_GroupCount))) {
    replyKind(From, Asked.id(), messages::fleet::REPLY_NOT_LEADER);
    return;
  }
  turns::TurnAdmission::Offer Offered = {.m_Node = From,
                                         .m_Request = {},
                                         .m_NewProgram =
                                             Asked.place().new_program(),
                                         .m_ArrivedAt = base::readMonotonic()};
  Offered.m_Request.set_id(Asked.id());
  *Offered.m_Request.mutable_begin() = Begin;
  *Offered.m_Request.mutable_connected() = Asked.place().connected();
  SlotAllocator &Desk = engineDesk(Begin.service());
  Desk.offer(Offered, base::readMonotonic());
  answerPlaces(Desk);
  tickSoon();
}

SlotAllocator &HistoryNode::engineDesk(const std::string &Service) {
  return m_Engines
      .try_emplace(
          Service, Service,
          turns::TurnAdmissionOptions{
              .m_Seed = m_Node.settings().m_Name.size() +
                        static_cast<std::uint64_t>(
                            base::readMonotonic().time_since_epoch().count())},
          m_Endpoints)
      .first->second;
}

void HistoryNode::answerPlaces(SlotAllocator &Desk) {
  for (SlotResponse &Each : Desk.takeReady(base::readMonotonic())) {
    const auto &Begin = Each.m_Offer.m_Request.begin();
    if (Each.m_Reply.kind() == messages::fleet::REPLY_BUSY) {
      const auto Load = Desk.load();
      m_Node.metrics().counter(metrics::names::TurnsTurnedAway).add();
      m_Node.log().write(
          "turn_turned_away",
          {{"request", Begin.turn()},
           {"new_program", Each.m_Offer.m_NewProgram ? "yes" : "no"},
           {"running", Load.m_Running},
           {"slots", Load.m_Slots},
           {"waiting", Desk.waiting()},
           {"share_percent",
            static_cast<std::uint64_t>(100 * Desk.newShare())}});
    }
    if (Each.m_Offer.m_Node == m_Node.settings().m_Name)
      onPlaceReply(Each.m_Reply);
    else
      reply(Each.m_Offer.m_Node, Each.m_Offer.m_Request.id(), Each.m_Reply);
  }
}

void HistoryNode::onPlaceReply(const Reply &Answer) {
  // Requests to other groups and requests for places count apart.
  if (Answer.id() >= ForeignIds) {
    m_Asked.onReply(Answer);
    return;
  }
  // A request that went astray is sent again with the next tick.
  if (Answer.kind() == messages::fleet::REPLY_NOT_LEADER)
    return;
  m_Places.noteAnswer();
  const auto Waiting = m_Places.take(Answer.id());
  if (!Waiting)
    return;
  if (Answer.kind() == messages::fleet::REPLY_BUSY)
    reply(Waiting->m_Node, Waiting->m_Request.id(), Answer);
  else
    propose(Waiting->m_Node, Waiting->m_Request, Answer.endpoint());
}

/// Nobody grants places: the entry instance chooses an engine.
void HistoryNode::goWithoutPlace(const SlotRequestTable::Pending &Each) {
  const auto &Begin = Each.m_Request.begin();
  m_Node.log().write(
      "place_not_granted",
      {{"request", Begin.turn()},
       {"service", Begin.service()},
       {"asked", leaderOf(dispatchingGroup(Begin.service(), m_GroupCount))},
       {"new_program", Each.m_NewProgram ? "yes" : "no"}});
  propose(Each.m_Node, Each.m_Request, {});
}

void HistoryNode::report(const TurnReport &News) {
  if (m_GroupCount == 0 || News.service().empty())
    return;
  const std::uint32_t Number = dispatchingGroup(News.service(), m_GroupCount);
  if (leads(Number)) {
    onReport(News);
    return;
  }
  LinkMessage Message;
  *Message.mutable_reports()->add_reports() = News;
  m_Node.hub().send(leaderOf(Number), Message);
}

void HistoryNode::onReport(const TurnReport &News) {
  const auto Found = m_Engines.find(News.service());
  if (Found == m_Engines.end())
    return;
  Found->second.report(News, base::readMonotonic());
  answerPlaces(Found->second);
}

void HistoryNode::tickSoon() {
  if (std::exchange(m_Ticking, true))
    return;
  m_TickTimer.expires_after(TickInterval);
  m_TickTimer.async_wait([this](boost::system::error_code Error) {
    m_Ticking = false;
    if (!Error)
      tick();
  });
}

/// Runs while any turn waits.
void HistoryNode::tick() {
  const base::TimePoint Now = base::readMonotonic();
  bool Waits = false;
  for (auto &[Service, Desk] : m_Engines) {
    answerPlaces(Desk);
    Waits = Waits || Desk.waiting() > 0;
  }
  for (const std::uint64_t Id : m_Places.takeUnanswered(Now))
    sendPlaceRequest(Id);
  for (const auto &Each : m_Places.takeOverdue(Now))
    goWithoutPlace(Each);
  if (Waits || m_Places.size() > 0)
    tickSoon();
}

} // namespace psp::history
