#include "program/Admission.h"

#include "base/Error.h"
#include "program/Conversation.h"

namespace psp::program {
namespace {

using base::ErrorKind;

AdmissionResult refuse(ErrorKind Kind, std::string Detail) {
  return {.m_Decision = Admission::Refuse,
          .m_Kind = Kind,
          .m_Detail = std::move(Detail)};
}

AdmissionResult wrongTurn(const ProgramState &State, std::uint64_t Turn) {
  return refuse(ErrorKind::WrongTurn,
                "expected turn " + std::to_string(State.usedTurns() + 1) +
                    ", found " + std::to_string(Turn));
}

/// Compares the call with a used turn. Returns \p Mismatch when a different
/// request uses the same turn number or idempotency key.
AdmissionResult compareWithRecord(const UsedTurn &Used,
                                  const std::string &Digest,
                                  const AdmissionResult &Mismatch) {
  if (Used.m_Digest != Digest)
    return Mismatch;
  return {.m_Decision = Admission::FromRecord, .m_RecordTurn = Used.m_Turn};
}

AdmissionResult idempotencyConflict() {
  return refuse(
      ErrorKind::IdempotencyConflict,
      "expected the same request as the first one with this idempotency key");
}

/// Checks the program's limits for a call that would start now.
AdmissionResult checkLimits(const AdmissionView &View,
                            const SubmittedCall &Call) {
  const ProgramState &State = View.m_State;
  const ProgramLimits &Limits = State.limits();
  if (State.hasEnded())
    return refuse(ErrorKind::ProgramEnded, "the program has ended");
  if (View.m_IsCutOff && !Call.m_Repeatable)
    return refuse(ErrorKind::NotRepeatableWhileCutOff,
                  "no majority of the ledgers can be reached");
  if (Limits.m_MaxTurns > 0 && Call.m_Request.turn() > Limits.m_MaxTurns)
    return refuse(ErrorKind::TurnLimit, "the limit is " +
                                            std::to_string(Limits.m_MaxTurns) +
                                            " turns");
  if (Limits.m_MaxLifetime.count() > 0 &&
      View.m_Elapsed >= Limits.m_MaxLifetime)
    return refuse(ErrorKind::TimeLimit, "the program's lifetime is over");

  AdmissionResult Result = {.m_Decision = Admission::Start};
  Result.m_Body = Call.m_CarriesHistory
                      ? withHistory(Call.m_Request.body(), State.history())
                      : Call.m_Request.body();
  if (Call.m_CarriesHistory)
    Result.m_PromptTokens = estimateTokens(Result.m_Body);
  if (Limits.m_MaxHistoryTokens > 0 &&
      Result.m_PromptTokens > Limits.m_MaxHistoryTokens)
    return refuse(ErrorKind::TokenLimit,
                  "the limit is " + std::to_string(Limits.m_MaxHistoryTokens) +
                      " tokens, the conversation would have " +
                      std::to_string(Result.m_PromptTokens));
  // The reservation of an earlier attempt at the open turn remains charged.
  const std::uint64_t FreeTokens = State.freeTokens();
  const std::uint64_t RequestedTokens = Call.m_Request.max_tokens();
  if (RequestedTokens > FreeTokens ||
      Result.m_PromptTokens > FreeTokens - RequestedTokens)
    return refuse(ErrorKind::BudgetExceeded,
                  "the budget has " + std::to_string(FreeTokens) +
                      " tokens left, the call needs " +
                      std::to_string(RequestedTokens) + " and its prompt " +
                      std::to_string(Result.m_PromptTokens));
  Result.m_ReservedTokens = RequestedTokens + Result.m_PromptTokens;
  return Result;
}

AdmissionResult admitNew(const AdmissionView &View, const SubmittedCall &Call) {
  try {
    return checkLimits(View, Call);
  } catch (const base::UserError &Error) {
    return refuse(Error.kind(), Error.what());
  }
}

/// Decides on a call for the turn that has already started.
AdmissionResult admitToOpenTurn(const AdmissionView &View,
                                const SubmittedCall &Call) {
  const OpenTurn &Open = *View.m_State.openTurn();
  if (Open.m_Digest != requestDigest(Call.m_Request))
    return wrongTurn(View.m_State, Call.m_Request.turn());
  // The owner that claimed the call may still be sending it; its outcome will
  // be recorded as unknown.
  if (View.m_OpenTurnRuns || Open.m_Claimed)
    return {.m_Decision = Admission::Join};
  return admitNew(View, Call);
}

} // namespace

AdmissionResult admit(const AdmissionView &View, const SubmittedCall &Call) {
  const ProgramState &State = View.m_State;
  const messages::CallRequest &Request = Call.m_Request;
  // A program of another organisation gets the same answer as a program that
  // does not exist.
  if (!State.isCreated() || State.organisation() != Call.m_Organisation)
    return refuse(ErrorKind::NotFound, "there is no such program");

  const std::string Digest = requestDigest(Request);
  const std::string &Key = Request.idempotency_key();
  if (!Key.empty()) {
    if (const UsedTurn *Used = State.findKey(Key))
      return compareWithRecord(*Used, Digest, idempotencyConflict());
    if (State.openTurn() && State.openTurn()->m_IdempotencyKey == Key) {
      if (State.openTurn()->m_Digest != Digest)
        return idempotencyConflict();
      if (View.m_OpenTurnRuns || State.openTurn()->m_Claimed)
        return {.m_Decision = Admission::Join};
    }
  }
  if (const UsedTurn *Used = State.findTurn(Request.turn()))
    return compareWithRecord(*Used, Digest, wrongTurn(State, Request.turn()));

  const std::uint64_t Next = State.usedTurns() + 1;
  if (Request.turn() == Next + 1 && (State.openTurn() || View.m_NextTurnWaits))
    return {.m_Decision = Admission::Wait};
  if (Request.turn() != Next)
    return wrongTurn(State, Request.turn());
  if (State.openTurn())
    return admitToOpenTurn(View, Call);
  return admitNew(View, Call);
}

} // namespace psp::program
