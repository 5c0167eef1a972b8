/// The part of OwnedProgram that admits calls and advances them through their
/// stages.

#include "base/Error.h"
#include "program/Outcome.h"
#include "program/OwnedProgram.h"

#include <algorithm>
#include <utility>

namespace psp::program {
namespace {

using base::ErrorKind;

/// The outcome that is recorded for a call that was abandoned before it was
/// sent. The record must state that the call was not executed, whichever error
/// the caller receives.
messages::CallOutcome recordedRefusal(ErrorKind Kind) {
  if (base::errorAnswer(Kind).m_Run == base::RunState::No)
    return failedOutcome(Kind, "given up before it was sent");
  return failedOutcome(ErrorKind::Stopping,
                       "given up before it was sent: " +
                           std::string(base::errorAnswer(Kind).m_Name));
}

} // namespace

void OwnedProgram::submit(const SubmittedCall &Call, StepContext &Step) {
  m_Calls[Call.m_Call] = {.m_Call = Call,
                          .m_Stage = CallStage::Waiting,
                          .m_WaitSince = Step.m_Now.m_Monotonic};
}

void OwnedProgram::claim(CallNumber Call, const base::EndpointId &Endpoint,
                         std::uint64_t FencingNumber, StepContext &Step) {
  const auto It = m_Calls.find(Call);
  if (It == m_Calls.end() || It->second.m_Stage != CallStage::Ready)
    return;
  TrackedCall &Tracked = It->second;
  base::checkInvariant(m_Active == Call && !Tracked.m_Call.m_Repeatable,
                       "a claim for a call that does not need one");
  messages::ProgramEntry Entry;
  messages::CallClaimed &Claimed = *Entry.mutable_call_claimed();
  Claimed.set_turn(Tracked.m_Call.m_Request.turn());
  Claimed.set_endpoint(Endpoint.str());
  Claimed.set_instance(m_Options.m_Self.str());
  Claimed.set_fencing_number(FencingNumber);
  Tracked.m_Stage = CallStage::Claiming;
  Tracked.m_Endpoint = Endpoint;
  Tracked.m_WaitSince = Step.m_Now.m_Monotonic;
  Tracked.m_AwaitedIndex = append(std::move(Entry), Step);
}

void OwnedProgram::finish(CallNumber Call, const messages::CallOutcome &Outcome,
                          const std::string &Answer, StepContext &Step) {
  if (m_Active != Call)
    return;
  const TrackedCall &Tracked = m_Calls.at(Call);
  base::checkInvariant(Tracked.m_Call.m_Repeatable || didNotRun(Outcome) ||
                           Tracked.m_Stage == CallStage::Sent,
                       "a non-repeatable call ran without a claim");
  finishTurn(Outcome, Answer, Step);
}

void OwnedProgram::finishTurn(const messages::CallOutcome &Outcome,
                              const std::string &Answer, StepContext &Step) {
  recordSends(Step);
  const OpenTurn Turn = *m_State.openTurn();
  messages::ProgramEntry Entry;
  messages::TurnFinished &Finished = *Entry.mutable_turn_finished();
  Finished.set_turn(Turn.m_Turn);
  *Finished.mutable_outcome() = Outcome;
  Finished.set_answer(Answer);
  Finished.set_endpoint(Turn.m_Endpoint.str());
  const std::uint64_t Index = append(std::move(Entry), Step);
  for (auto &[Number, Call] : m_Calls) {
    const bool IsActive = m_Active == Number;
    if (!IsActive && Call.m_Stage != CallStage::Joined)
      continue;
    Call.m_Stage = CallStage::Finishing;
    Call.m_AwaitedIndex = Index;
    Call.m_WaitSince = Step.m_Now.m_Monotonic;
    Call.m_Outcome = Outcome;
    Call.m_Answer = Answer;
    Call.m_FromRecord = !IsActive;
  }
  m_Active.reset();
}

void OwnedProgram::abandon(CallNumber Call, ErrorKind Kind, StepContext &Step) {
  const auto It = m_Calls.find(Call);
  if (It == m_Calls.end())
    return;
  TrackedCall &Tracked = It->second;
  const std::string Detail = "the call was abandoned before it was sent";
  if (Tracked.m_Stage == CallStage::Waiting ||
      Tracked.m_Stage == CallStage::Joined) {
    emitDone(It,
             mayBeRunning(Tracked) ? interruption(Tracked)
                                   : failedOutcome(Kind, Detail),
             "", Step);
    return;
  }
  if (m_Active != Call)
    return;
  if (Tracked.m_Stage == CallStage::Sent && Tracked.m_Call.m_Repeatable) {
    finishTurn(interruption(Tracked), "", Step);
    return;
  }
  finishTurn(recordedRefusal(Kind), "", Step);
  Tracked.m_Outcome = failedOutcome(Kind, Detail);
}

void OwnedProgram::resolve(CallNumber Call,
                           const messages::OutcomeResolved &Resolved,
                           StepContext &Step) {
  m_Calls[Call] = {.m_Call = {.m_Call = Call},
                   .m_Stage = CallStage::Waiting,
                   .m_WaitSince = Step.m_Now.m_Monotonic,
                   .m_Finding = Resolved};
}

void OwnedProgram::recordFinding(TrackedCall &Call, StepContext &Step) {
  messages::ProgramEntry Entry;
  *Entry.mutable_resolved() = *Call.m_Finding;
  Call.m_Stage = CallStage::Finishing;
  Call.m_WaitSince = Step.m_Now.m_Monotonic;
  Call.m_AwaitedIndex = append(std::move(Entry), Step);
}

bool OwnedProgram::isDurable(const TrackedCall &Call,
                             const StepContext &Step) const {
  if (Call.m_AwaitedIndex == 0)
    return false;
  // Only a commit by the majority prevents another owner from also sending the
  // call.
  if (Call.m_Stage == CallStage::Claiming)
    return Call.m_AwaitedIndex <= m_Owner.commitIndex();
  return Call.m_AwaitedIndex <= durableIndex(Step);
}

void OwnedProgram::advanceCalls(StepContext &Step) {
  for (auto It = m_Calls.begin(); It != m_Calls.end();) {
    TrackedCall &Call = It->second;
    if (!isDurable(Call, Step)) {
      ++It;
      continue;
    }
    if (Call.m_Stage == CallStage::Creating ||
        Call.m_Stage == CallStage::Finishing) {
      messages::CallOutcome Outcome = Call.m_Outcome;
      It = emitDone(It, std::move(Outcome), Call.m_Answer, Step);
      continue;
    }
    if (Call.m_Stage == CallStage::Starting)
      makeReady(It->first, Call, Step);
    else if (Call.m_Stage == CallStage::Claiming) {
      Call.m_Stage = CallStage::Sent;
      Step.m_Events.emplace_back(CallClaimed{.m_Call = It->first});
    }
    ++It;
  }
}

void OwnedProgram::makeReady(CallNumber Number, TrackedCall &Call,
                             StepContext &Step) {
  Call.m_Stage = CallStage::Ready;
  Step.m_Events.emplace_back(CallReady{.m_Call = Number,
                                       .m_Body = std::exchange(Call.m_Body, {}),
                                       .m_PromptTokens = Call.m_PromptTokens});
}

AdmissionResult OwnedProgram::decide(const TrackedCall &Call,
                                     const StepContext &Step) {
  const std::uint64_t Next = m_State.usedTurns() + 1;
  const bool NextTurnWaits =
      std::any_of(m_Calls.begin(), m_Calls.end(), [&](const auto &Item) {
        return Item.second.m_Stage == CallStage::Waiting &&
               Item.second.m_Call.m_Request.turn() == Next;
      });
  AdmissionResult Result = admit({.m_State = m_State,
                                  .m_OpenTurnRuns = m_Active.has_value(),
                                  .m_NextTurnWaits = NextTurnWaits,
                                  .m_IsCutOff = Step.m_CutOff.m_CutOff,
                                  .m_Elapsed = elapsed(Step.m_Now)},
                                 Call.m_Call);
  const bool MayProceed = Result.m_Decision == Admission::Start ||
                          Result.m_Decision == Admission::Wait;
  if (m_EndReason && MayProceed)
    return {.m_Decision = Admission::Refuse,
            .m_Kind = m_EndKind,
            .m_Detail = *m_EndReason};
  return Result;
}

void OwnedProgram::admitCalls(StepContext &Step) {
  if (m_Owner.phase() != OwnerPhase::Leading)
    return;
  for (auto It = m_Calls.begin(); It != m_Calls.end();) {
    TrackedCall &Call = It->second;
    if (Call.m_Stage != CallStage::Waiting) {
      ++It;
      continue;
    }
    if (Call.m_Finding) {
      const UsedTurn *Used = m_State.findTurn(Call.m_Finding->turn());
      if (Used == nullptr || Used->m_OutcomeKnown) {
        It = emitDone(It,
                      failedOutcome(ErrorKind::NotFound,
                                    "the turn has no unknown outcome"),
                      "", Step);
        continue;
      }
      recordFinding(Call, Step);
      ++It;
      continue;
    }
    const AdmissionResult Admitted = decide(Call, Step);
    switch (Admitted.m_Decision) {
    case Admission::Refuse:
      It = emitDone(It, failedOutcome(Admitted.m_Kind, Admitted.m_Detail), "",
                    Step);
      continue;
    case Admission::Start:
      start(It->first, Call, Admitted, Step);
      break;
    case Admission::Join:
      Call.m_Stage = CallStage::Joined;
      break;
    case Admission::FromRecord:
      answerFromRecord(Call, Admitted.m_RecordTurn, Step);
      break;
    case Admission::Wait:
      break;
    }
    ++It;
  }
}

void OwnedProgram::start(CallNumber Number, TrackedCall &Call,
                         const AdmissionResult &Admitted, StepContext &Step) {
  messages::ProgramEntry Entry;
  messages::TurnStarted &Started = *Entry.mutable_turn_started();
  *Started.mutable_request() = Call.m_Call.m_Request;
  Started.set_key_id(Call.m_Call.m_Key.str());
  Started.set_reserved_tokens(Admitted.m_ReservedTokens);
  Started.set_repeatable(Call.m_Call.m_Repeatable);
  Started.set_carries_history(Call.m_Call.m_CarriesHistory);
  m_Active = Number;
  Call.m_Stage = CallStage::Starting;
  Call.m_WaitSince = Step.m_Now.m_Monotonic;
  Call.m_Body = Admitted.m_Body;
  Call.m_PromptTokens = Admitted.m_PromptTokens;
  Call.m_AwaitedIndex = append(std::move(Entry), Step);
}

void OwnedProgram::answerFromRecord(TrackedCall &Call, std::uint64_t Turn,
                                    StepContext &Step) {
  const std::uint64_t Index = m_State.findTurn(Turn)->m_FinishIndex;
  const messages::TurnFinished &Finished = m_Owner.entry(Index).turn_finished();
  Call.m_Stage = CallStage::Finishing;
  Call.m_AwaitedIndex = Index;
  Call.m_WaitSince = Step.m_Now.m_Monotonic;
  Call.m_Outcome = Finished.outcome();
  Call.m_Answer = Finished.answer();
  Call.m_FromRecord = true;
  Call.m_RepeatsRecord = true;
}

OwnedProgram::Calls::iterator
OwnedProgram::emitDone(Calls::iterator Call, messages::CallOutcome Outcome,
                       std::string Answer, StepContext &Step) {
  const TrackedCall &Tracked = Call->second;
  const bool IsLocal = Tracked.m_AwaitedIndex > m_Owner.commitIndex();
  Outcome.set_durability(IsLocal ? "local" : "quorum");
  Step.m_Events.emplace_back(CallDone{.m_Call = Call->first,
                                      .m_Outcome = std::move(Outcome),
                                      .m_Answer = std::move(Answer),
                                      .m_FromRecord = Tracked.m_FromRecord});
  if (m_Active == Call->first)
    m_Active.reset();
  return m_Calls.erase(Call);
}

} // namespace psp::program
