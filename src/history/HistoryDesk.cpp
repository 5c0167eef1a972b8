#include "history/HistoryDesk.h"

#include "messages/Parse.h"

#include <utility>

namespace psp::history {

using messages::fleet::Reply;
using turns::BeginOutcome;

namespace {

messages::fleet::ReplyKind kindOf(BeginOutcome Outcome) {
  switch (Outcome) {
  case BeginOutcome::Granted:
    return messages::fleet::REPLY_OK;
  case BeginOutcome::BudgetSpent:
    return messages::fleet::REPLY_BUDGET_SPENT;
  case BeginOutcome::NoSuchTurn:
    return messages::fleet::REPLY_NO_SUCH_TURN;
  case BeginOutcome::AlreadyEnded:
    return messages::fleet::REPLY_REFUSED;
  }
  return messages::fleet::REPLY_UNAVAILABLE;
}

} // namespace

void HistoryDesk::apply(std::uint64_t Index, std::string_view Command,
                        std::uint64_t WallMs) {
  auto Applied = messages::parseMessage<messages::fleet::HistoryCommand>(
      Command, "history desk");
  m_Ledger.apply(Applied, WallMs);
  if (Applied.has_end())
    learn(Applied.end());
  const auto Found = m_Waiting.find(Index);
  if (Found == m_Waiting.end())
    return;
  const Waiting Asked = std::move(Found->second);
  m_Waiting.erase(Found);
  const std::string &Turn =
      Applied.has_begin() ? Applied.begin().turn() : Applied.end().turn();
  Reply Answer;
  // Another leader's command took the index of a proposal that was lost.
  if (Turn != Asked.m_Turn)
    Answer.set_kind(messages::fleet::REPLY_NOT_LEADER);
  else if (Applied.has_begin())
    Answer = answerBegin(Applied.begin());
  Answer.set_id(Asked.m_RequestId);
  m_Replies.push_back({.m_Node = Asked.m_Node, .m_Reply = std::move(Answer)});
}

Reply HistoryDesk::answerBegin(const messages::fleet::BeginTurn &Begin) {
  Reply Answer;
  const BeginOutcome Outcome = m_Ledger.lastBegin();
  Answer.set_kind(kindOf(Outcome));
  if (Outcome != BeginOutcome::Granted)
    return Answer;
  if (!Begin.previous().empty())
    Answer.set_text(m_Ledger.chainText(Begin.organisation(), Begin.previous())
                        .value_or(""));
  Answer.set_endpoint(m_Placement.place(Begin, m_Endpoints, m_Now));
  return Answer;
}

void HistoryDesk::learn(const messages::fleet::EndTurn &End) {
  for (const std::string &Each : End.silent())
    m_Placement.avoid(Each, m_Now);
  m_Admission.observeGap(End.event_gap_us());
  m_Placement.finish(End.turn(),
                     {.m_Endpoint = End.endpoint(),
                      .m_EventGapUs = End.event_gap_us(),
                      .m_Failed = End.failed()},
                     m_Now);
}

bool HistoryDesk::joins(const std::string &Node, const Request &Asked) {
  const std::string &Turn =
      Asked.has_begin() ? Asked.begin().turn() : Asked.end().turn();
  for (auto &[Index, Known] : m_Waiting) {
    if (Known.m_Turn != Turn || Known.m_Begins != Asked.has_begin())
      continue;
    Known.m_Node = Node;
    Known.m_RequestId = Asked.id();
    return true;
  }
  return false;
}

void HistoryDesk::expect(std::uint64_t Index, const std::string &Node,
                         const Request &Asked) {
  m_Waiting[Index] = {.m_Node = Node,
                      .m_RequestId = Asked.id(),
                      .m_Turn = Asked.has_begin() ? Asked.begin().turn()
                                                  : Asked.end().turn(),
                      .m_Begins = Asked.has_begin()};
}

void HistoryDesk::failAll(const std::string &Leader) {
  for (auto &[Index, Asked] : m_Waiting) {
    Reply Answer;
    Answer.set_id(Asked.m_RequestId);
    Answer.set_kind(messages::fleet::REPLY_NOT_LEADER);
    Answer.set_leader(Leader);
    m_Replies.push_back({.m_Node = Asked.m_Node, .m_Reply = std::move(Answer)});
  }
  m_Waiting.clear();
}

turns::TurnAdmission::Load HistoryDesk::load(const std::string &Service) const {
  turns::TurnAdmission::Load Sum;
  m_Endpoints.forEachUsable(Service, [&](const fleet::EndpointState &Each) {
    Sum.m_Slots += Each.slots();
    Sum.m_Running += m_Placement.runningOn(Each.id());
  });
  for (const auto &[Index, Asked] : m_Waiting)
    Sum.m_Running += Asked.m_Begins ? 1 : 0;
  return Sum;
}

std::vector<AddressedReply> HistoryDesk::takeReplies() {
  return std::exchange(m_Replies, {});
}

} // namespace psp::history
