#include "history/HistoryStateMachine.h"

#include "base/Error.h"
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

void HistoryStateMachine::apply(std::uint64_t Index, std::string_view Command,
                                std::uint64_t WallMs) {
  const auto Applied = messages::parseMessage<messages::fleet::HistoryCommand>(
      Command, "history desk");
  m_Ledger.apply(Index, Applied, WallMs);
  const auto Found = m_Waiting.find(Index);
  if (Found == m_Waiting.end())
    return;
  const Waiting Asked = std::move(Found->second);
  m_Waiting.erase(Found);
  const std::string &Turn =
      Applied.has_begin() ? Applied.begin().turn() : Applied.end().turn();
  Reply Answer;
  // Another leader's command took the index of a proposal that was lost.
  if (Turn != Asked.m_Turn || Applied.has_begin() != Asked.m_Begins)
    Answer.set_kind(messages::fleet::REPLY_NOT_LEADER);
  else if (Applied.has_begin())
    Answer = answerBegin(Applied.begin(), Asked);
  Answer.set_id(Asked.m_RequestId);
  m_Replies.push_back({.m_Node = Asked.m_Node, .m_Reply = std::move(Answer)});
}

Reply HistoryStateMachine::answerBegin(const messages::fleet::BeginTurn &Begin,
                                       const Waiting &Asked) {
  Reply Answer;
  const BeginOutcome Outcome = m_Ledger.lastBegin();
  Answer.set_kind(kindOf(Outcome));
  if (Outcome != BeginOutcome::Granted) {
    auto &Unused = m_Unused.emplace_back();
    Unused.set_turn(Asked.m_Turn);
    Unused.set_service(Asked.m_Service);
    return Answer;
  }
  try {
    if (!Begin.previous().empty())
      Answer.set_text(
          chainText(Begin.organisation(), Begin.previous()).value_or(""));
  } catch (const base::UserError &Fault) {
    // Another member has an undamaged copy.
    m_Faults.emplace_back(Fault.what());
    Answer.set_kind(messages::fleet::REPLY_NOT_LEADER);
  }
  Answer.set_endpoint(Asked.m_Endpoint);
  return Answer;
}

std::optional<std::string>
HistoryStateMachine::chainText(const std::string &Organisation,
                               const std::string &Turn) const {
  const auto Entries = m_Ledger.chain(Organisation, Turn);
  if (!Entries)
    return std::nullopt;
  std::string Text;
  for (const std::uint64_t Index : *Entries) {
    const auto Kept = messages::parseMessage<messages::fleet::HistoryCommand>(
        m_Entries.commandAt(Index), "history desk");
    Text += Kept.has_adopt() ? Kept.adopt().text() : Kept.end().text();
  }
  return Text;
}

bool HistoryStateMachine::joins(const std::string &Node, const Request &Asked) {
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

void HistoryStateMachine::expect(std::uint64_t Index, const std::string &Node,
                                 const Request &Asked,
                                 const std::string &Endpoint) {
  m_Waiting[Index] = {.m_Node = Node,
                      .m_RequestId = Asked.id(),
                      .m_Turn = Asked.has_begin() ? Asked.begin().turn()
                                                  : Asked.end().turn(),
                      .m_Service = Asked.begin().service(),
                      .m_Endpoint = Endpoint,
                      .m_Begins = Asked.has_begin()};
}

void HistoryStateMachine::failAll(const std::string &Leader) {
  for (auto &[Index, Asked] : m_Waiting) {
    Reply Answer;
    Answer.set_id(Asked.m_RequestId);
    Answer.set_kind(messages::fleet::REPLY_NOT_LEADER);
    Answer.set_leader(Leader);
    m_Replies.push_back({.m_Node = Asked.m_Node, .m_Reply = std::move(Answer)});
  }
  m_Waiting.clear();
}

std::vector<AddressedReply> HistoryStateMachine::takeReplies() {
  return std::exchange(m_Replies, {});
}

std::vector<std::string> HistoryStateMachine::takeFaults() {
  return std::exchange(m_Faults, {});
}

std::vector<messages::fleet::TurnReport> HistoryStateMachine::takeUnused() {
  return std::exchange(m_Unused, {});
}

} // namespace psp::history
