#include "history/HistoryStateMachine.h"

#include "base/Error.h"
#include "messages/Parse.h"

#include <algorithm>
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
  case BeginOutcome::StreamUnknown:
    return messages::fleet::REPLY_STREAM_UNKNOWN;
  }
  return messages::fleet::REPLY_UNAVAILABLE;
}

} // namespace

template <typename Message>
std::pair<HistoryStateMachine::CommandKind, std::string>
HistoryStateMachine::subjectOf(const Message &Command) {
  if (Command.has_begin())
    return {CommandKind::Begin, Command.begin().turn()};
  if (Command.has_stream())
    return {CommandKind::Stream, Command.stream().stream()};
  if (Command.has_service_version())
    return {CommandKind::ServiceVersion,
            Command.service_version().service() + '\0' +
                Command.service_version().software()};
  return {CommandKind::End, Command.end().turn()};
}

void HistoryStateMachine::apply(std::uint64_t Index, std::string_view Command,
                                std::uint64_t WallMs) {
  const auto Parsed = messages::parseMessage<messages::fleet::HistoryCommand>(
      Command, "history command");
  m_Ledger.apply(Index, Parsed, WallMs);
  const auto It = m_PendingCommands.find(Index);
  if (It == m_PendingCommands.end())
    return;
  PendingCommand Pending = std::move(It->second);
  m_PendingCommands.erase(It);
  Reply Answer;
  // The proposal was lost, and another leader's command is at its index.
  if (subjectOf(Parsed) != std::pair(Pending.m_Kind, Pending.m_Turn))
    Answer.set_kind(messages::fleet::REPLY_NOT_LEADER);
  else if (Parsed.has_begin())
    Answer = makeBeginReply(Parsed.begin(), Pending, WallMs);
  else if (Parsed.has_stream())
    Answer = makeStreamReply(Parsed.stream());
  else if (Parsed.has_end())
    Answer = makeEndReply(Parsed.end(), Pending);
  if (Answer.kind() == messages::fleet::REPLY_NO_SUCH_TURN && Pending.m_Begin) {
    Pending.m_Begin->set_id(Pending.m_RequestId);
    m_MissingChains.push_back(
        {.m_From = Pending.m_From, .m_Request = std::move(*Pending.m_Begin)});
    return;
  }
  Answer.set_id(Pending.m_RequestId);
  m_Replies.push_back({.m_To = Pending.m_From, .m_Reply = std::move(Answer)});
}

Reply HistoryStateMachine::makeBeginReply(
    const messages::fleet::BeginTurn &Begin, const PendingCommand &Pending,
    std::uint64_t WallMs) {
  Reply Answer;
  const BeginOutcome Outcome = m_Ledger.lastBeginOutcome();
  Answer.set_kind(kindOf(Outcome));
  if (Outcome != BeginOutcome::Granted) {
    auto &Unused = m_UnusedSlots.emplace_back();
    Unused.set_turn(Pending.m_Turn);
    Unused.set_service(Pending.m_Service);
    return Answer;
  }
  try {
    if (!Begin.previous().empty() &&
        !addChain(Begin.organisation(), Begin.previous(), Pending.m_ReadsParts,
                  WallMs, Answer))
      throw base::UserError(base::ErrorKind::Internal,
                            "the chain of a turn that began is incomplete");
  } catch (const base::UserError &Error) {
    // Another member has an undamaged copy.
    m_ReadErrors.emplace_back(Error.what());
    Answer.set_kind(messages::fleet::REPLY_NOT_LEADER);
  }
  Answer.set_endpoint(Pending.m_Endpoint);
  Answer.set_engine_born(Pending.m_EngineBorn);
  const turns::StreamVersions &Streams = m_Ledger.streams();
  if (const auto *Own = Streams.find(Begin.organisation(), Begin.turn()))
    Answer.set_software(Own->m_Software);
  if (const auto *Earlier =
          Streams.find(Begin.organisation(), Begin.resumes())) {
    Answer.set_software(Earlier->m_Software);
    Answer.set_age_ms(WallMs - std::min(WallMs, Earlier->m_RecordedMs));
  }
  return Answer;
}

Reply HistoryStateMachine::makeStreamReply(
    const messages::fleet::RecordStream &Recorded) const {
  Reply Answer;
  const auto *Version =
      m_Ledger.streams().find(Recorded.organisation(), Recorded.stream());
  if (Version)
    Answer.set_software(Version->m_Software);
  else
    Answer.set_kind(messages::fleet::REPLY_REFUSED);
  return Answer;
}

/// Only the first end of a turn counts, and it may have retained no text.
Reply HistoryStateMachine::makeEndReply(const messages::fleet::EndTurn &End,
                                        const PendingCommand &Pending) const {
  Reply Answer;
  if (Pending.m_KeepsTurn && !m_Ledger.hasTurn(End.organisation(), End.turn()))
    Answer.set_kind(messages::fleet::REPLY_REFUSED);
  return Answer;
}

std::optional<std::string>
HistoryStateMachine::chainText(const std::string &Organisation,
                               const std::string &Turn) const {
  const auto Entries = m_Ledger.chainEntries(Organisation, Turn);
  if (!Entries)
    return std::nullopt;
  std::string Text;
  for (const turns::ChainEntry &Entry : *Entries)
    Text += readTurnText(m_Entries, Entry.m_Index);
  return Text;
}

bool HistoryStateMachine::addChain(const std::string &Organisation,
                                   const std::string &Turn, bool InParts,
                                   std::uint64_t NowMs, Reply &Answer) const {
  const auto Entries = m_Ledger.chainEntries(Organisation, Turn);
  if (!Entries)
    return false;
  const std::uint64_t ExpiresMs = m_Ledger.chainExpiresMs(Organisation, Turn);
  Answer.set_left_ms(ExpiresMs - std::min(ExpiresMs, NowMs));
  const std::uint64_t Bytes = chainLength(m_Entries, *Entries);
  if (Bytes <= (InParts ? MaxInlineChainBytes : MaxWholeChainBytes))
    Answer.set_text(*chainText(Organisation, Turn));
  else if (InParts)
    Answer.set_chain_bytes(Bytes);
  else
    Answer.set_kind(messages::fleet::REPLY_UNAVAILABLE);
  return true;
}

void HistoryStateMachine::addHandedOutEvents(
    const messages::fleet::FindStream &Wanted, std::uint64_t NowMs,
    Reply &Answer) const {
  const auto Recorded = m_Ledger.streamAttempts().find(
      Wanted.organisation(), Wanted.stream(), Wanted.after_event(), NowMs);
  if (Recorded && Recorded->m_Incomplete) {
    Answer.set_kind(messages::fleet::REPLY_BUSY);
    return;
  }
  std::optional<HandedOutEvents> Events;
  if (Recorded)
    Events = readHandedOutEvents(m_Entries, *Recorded, Wanted.after_event());
  if (!Events) {
    Answer.set_kind(messages::fleet::REPLY_STREAM_UNKNOWN);
    return;
  }
  Answer.set_has_events(true);
  Answer.set_text(std::move(Events->m_Text));
  for (messages::fleet::EventMark &Mark : Events->m_Marks)
    *Answer.add_events() = std::move(Mark);
}

bool HistoryStateMachine::coalesce(const fleet::ReplyAddress &From,
                                   const Request &Repeated) {
  const auto [Kind, Turn] = subjectOf(Repeated);
  for (auto &[Index, Pending] : m_PendingCommands) {
    if (Pending.m_Kind != Kind || Pending.m_Turn != Turn)
      continue;
    Pending.m_From = From;
    Pending.m_RequestId = Repeated.id();
    Pending.m_KeepsTurn = Repeated.end().keep();
    Pending.m_ReadsParts = Repeated.chain_in_parts();
    return true;
  }
  return false;
}

void HistoryStateMachine::awaitCommit(std::uint64_t Index,
                                      const fleet::ReplyAddress &From,
                                      const Request &Proposed,
                                      const GrantedSlot &Granted,
                                      bool ChainSearched) {
  auto [Kind, Turn] = subjectOf(Proposed);
  m_PendingCommands[Index] = {.m_From = From,
                              .m_RequestId = Proposed.id(),
                              .m_Turn = std::move(Turn),
                              .m_Service = Proposed.begin().service(),
                              .m_Endpoint = Granted.m_Endpoint,
                              .m_EngineBorn = Granted.m_Born,
                              .m_Kind = Kind,
                              .m_KeepsTurn = Proposed.end().keep(),
                              .m_ReadsParts = Proposed.chain_in_parts(),
                              .m_Begin = {}};
  if (!Proposed.begin().previous().empty() && !ChainSearched)
    m_PendingCommands[Index].m_Begin = Proposed;
}

void HistoryStateMachine::failAll(const std::string &Leader) {
  for (auto &[Index, Pending] : m_PendingCommands) {
    Reply Answer;
    Answer.set_id(Pending.m_RequestId);
    Answer.set_kind(messages::fleet::REPLY_NOT_LEADER);
    Answer.set_leader(Leader);
    m_Replies.push_back({.m_To = Pending.m_From, .m_Reply = std::move(Answer)});
  }
  m_PendingCommands.clear();
}

std::vector<AddressedReply> HistoryStateMachine::takeReplies() {
  return std::exchange(m_Replies, {});
}

std::vector<AddressedRequest> HistoryStateMachine::takeMissingChains() {
  return std::exchange(m_MissingChains, {});
}

std::vector<std::string> HistoryStateMachine::takeReadErrors() {
  return std::exchange(m_ReadErrors, {});
}

std::vector<messages::fleet::TurnReport>
HistoryStateMachine::takeUnusedSlots() {
  return std::exchange(m_UnusedSlots, {});
}

} // namespace psp::history
