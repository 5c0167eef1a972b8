#include "program/ProgramState.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "program/Conversation.h"
#include "program/Outcome.h"

#include <algorithm>

namespace psp::program {

using base::checkInvariant;

std::string requestDigest(const messages::CallRequest &Request) {
  messages::CallRequest Content = Request;
  Content.clear_program();
  Content.clear_turn();
  Content.clear_idempotency_key();
  Content.clear_stream();
  return base::toBytes(base::sha256(Content.SerializeAsString()));
}

void ProgramState::apply(const messages::ProgramEntry &Entry) {
  checkInvariant(Entry.index() == m_AppliedIndex + 1,
                 "the index of an entry does not follow the previous one");
  checkInvariant(
      Entry.has_created() == (Entry.index() == 1),
      "the creation entry must be the first entry and only the first");
  checkInvariant(!m_Ended || Entry.has_owner_changed() ||
                     Entry.has_memory_freed() || Entry.has_resolved(),
                 "an entry of this kind can't follow the end of the program");
  m_AppliedIndex = Entry.index();
  if (Entry.has_created())
    create(Entry.created());
  else if (Entry.has_turn_started())
    start(Entry.turn_started());
  else if (Entry.has_call_claimed())
    claim(Entry.call_claimed());
  else if (Entry.has_call_sent()) {
    m_Endpoints.insert(base::EndpointId(Entry.call_sent().endpoint()));
    if (m_OpenTurn && m_OpenTurn->m_Turn == Entry.call_sent().turn())
      m_OpenTurn->m_Endpoint = base::EndpointId(Entry.call_sent().endpoint());
  } else if (Entry.has_turn_finished())
    finish(Entry.turn_finished());
  else if (Entry.has_resolved())
    resolve(Entry.resolved());
  else if (Entry.has_owner_changed())
    m_Interrupted = m_Interrupted || (m_OpenTurn && m_OpenTurn->m_Repeatable);
  else if (Entry.has_ended()) {
    checkInvariant(!m_OpenTurn, "a program ends while a turn is open");
    m_Ended = true;
  } else if (Entry.has_memory_freed())
    m_MemoryFreed = true;
}

void ProgramState::create(const messages::ProgramCreated &Created) {
  m_Organisation = base::OrganisationId(Created.organisation());
  m_Limits = {
      .m_BudgetTokens = Created.budget_tokens(),
      .m_MaxTurns = Created.max_turns(),
      .m_MaxHistoryTokens = Created.max_history_tokens(),
      .m_MaxLifetime = base::milliseconds(Created.max_lifetime_ms()),
  };
}

void ProgramState::start(const messages::TurnStarted &Started) {
  const messages::CallRequest &Request = Started.request();
  checkInvariant(Request.turn() == usedTurns() + 1,
                 "a turn starts out of order");
  if (m_OpenTurn) {
    // This is another attempt. Whether the first one used its tokens is
    // unknown, so its reservation is charged.
    checkInvariant(!m_OpenTurn->m_Claimed, "a claimed call is started again");
    charge(m_OpenTurn->m_ReservedTokens);
    m_OpenTurn.reset();
  }
  checkInvariant(Started.reserved_tokens() <= freeTokens(),
                 "a reservation exceeds the budget");
  m_OpenTurn = OpenTurn{
      .m_Turn = Request.turn(),
      .m_Digest = requestDigest(Request),
      .m_IdempotencyKey = Request.idempotency_key(),
      .m_Service = Request.service(),
      .m_NewMessages =
          Started.carries_history() ? newMessages(Request.body()) : "",
      .m_ReservedTokens = Started.reserved_tokens(),
      .m_Repeatable = Started.repeatable(),
      .m_CarriesHistory = Started.carries_history(),
      .m_Claimed = false,
      .m_Endpoint = {},
  };
}

void ProgramState::claim(const messages::CallClaimed &Claimed) {
  checkInvariant(m_OpenTurn && m_OpenTurn->m_Turn == Claimed.turn(),
                 "a claim without a started turn");
  checkInvariant(!m_OpenTurn->m_Claimed, "a call is claimed twice");
  m_OpenTurn->m_Claimed = true;
  m_OpenTurn->m_Endpoint = base::EndpointId(Claimed.endpoint());
  m_Endpoints.insert(m_OpenTurn->m_Endpoint);
}

void ProgramState::finish(const messages::TurnFinished &Finished) {
  checkInvariant(m_OpenTurn && m_OpenTurn->m_Turn == Finished.turn(),
                 "a turn finishes without having started");
  const OpenTurn Turn = *m_OpenTurn;
  m_OpenTurn.reset();
  const base::RunState Run = runStateOf(Finished.outcome());
  if (!Finished.endpoint().empty() && Run != base::RunState::No)
    m_Endpoints.insert(base::EndpointId(Finished.endpoint()));
  // A call that was not executed costs nothing; a call whose answer was lost
  // costs its full reservation.
  if (Run == base::RunState::Yes)
    charge(std::min(Finished.outcome().used_tokens(), Turn.m_ReservedTokens));
  else if (Run == base::RunState::Unknown)
    charge(Turn.m_ReservedTokens);
  // After a refusal, or a failure of a repeatable call, the caller may submit
  // the same turn again.
  if (Run == base::RunState::No ||
      (Run == base::RunState::Unknown && Turn.m_Repeatable))
    return;
  if (!Turn.m_IdempotencyKey.empty())
    m_TurnOfKey.emplace(Turn.m_IdempotencyKey, Turn.m_Turn);
  m_UsedTurns.push_back({
      .m_Turn = Turn.m_Turn,
      .m_Digest = Turn.m_Digest,
      .m_IdempotencyKey = Turn.m_IdempotencyKey,
      .m_Service = Turn.m_Service,
      .m_Endpoint = Turn.m_Endpoint,
      .m_FinishIndex = m_AppliedIndex,
      .m_OutcomeKnown = Run == base::RunState::Yes,
  });
  if (Turn.m_CarriesHistory && Run == base::RunState::Yes)
    m_History = joinMessages(joinMessages(m_History, Turn.m_NewMessages),
                             answerMessage(Finished.answer()));
}

void ProgramState::resolve(const messages::OutcomeResolved &Resolved) {
  checkInvariant(findTurn(Resolved.turn()) != nullptr,
                 "an operator's finding names a turn that was not used");
  m_UsedTurns[Resolved.turn() - 1].m_OutcomeKnown = true;
}

void ProgramState::charge(std::uint64_t Tokens) {
  m_SpentTokens += Tokens;
  checkInvariant(m_SpentTokens <= m_Limits.m_BudgetTokens,
                 "the program spent more than its budget");
}

std::uint64_t ProgramState::reservedTokens() const {
  return m_OpenTurn ? m_OpenTurn->m_ReservedTokens : 0;
}

std::uint64_t ProgramState::freeTokens() const {
  const std::uint64_t CommittedTokens = m_SpentTokens + reservedTokens();
  checkInvariant(CommittedTokens <= m_Limits.m_BudgetTokens,
                 "reservations exceed the budget");
  return m_Limits.m_BudgetTokens - CommittedTokens;
}

const UsedTurn *ProgramState::findTurn(std::uint64_t Turn) const {
  if (Turn == 0 || Turn > m_UsedTurns.size())
    return nullptr;
  return &m_UsedTurns[Turn - 1];
}

const UsedTurn *ProgramState::findKey(const std::string &IdempotencyKey) const {
  const auto It = m_TurnOfKey.find(IdempotencyKey);
  return It == m_TurnOfKey.end() ? nullptr : findTurn(It->second);
}

std::vector<UnknownOutcome>
ProgramState::unknownOutcomes(const base::ProgramId &Program) const {
  std::vector<UnknownOutcome> Result;
  for (const UsedTurn &Turn : m_UsedTurns) {
    if (Turn.m_OutcomeKnown)
      continue;
    Result.push_back({.m_Program = Program,
                      .m_Organisation = m_Organisation,
                      .m_Turn = Turn.m_Turn,
                      .m_Service = Turn.m_Service,
                      .m_Endpoint = Turn.m_Endpoint,
                      .m_IdempotencyKey = Turn.m_IdempotencyKey});
  }
  return Result;
}

} // namespace psp::program
