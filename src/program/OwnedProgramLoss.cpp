/// The part of OwnedProgram that ends calls when the ledgers are unreachable or
/// the ownership is lost.

#include "program/Outcome.h"
#include "program/OwnedProgram.h"

#include <algorithm>
#include <utility>

namespace psp::program {

using base::ErrorKind;

bool OwnedProgram::mayBeRunning(const TrackedCall &Call) const {
  if (Call.m_Stage == CallStage::Sent)
    return true;
  return Call.m_Stage == CallStage::Joined && m_Active &&
         m_Calls.at(*m_Active).m_Stage == CallStage::Sent;
}

messages::CallOutcome
OwnedProgram::interruption(const TrackedCall &Call) const {
  if (Call.m_Call.m_Repeatable)
    return failedOutcome(ErrorKind::AnswerInterrupted,
                         "the result could not be recorded; ask again");
  return failedOutcome(ErrorKind::OutcomeUnknown,
                       "the result could not be recorded");
}

void OwnedProgram::releaseOwnership(StepContext &Step) {
  m_Removable = true;
  std::map<CallNumber, messages::CallOutcome> Outcomes;
  for (const auto &[Number, Call] : m_Calls) {
    if (Call.m_Stage == CallStage::Finishing)
      Outcomes[Number] = didNotRun(Call.m_Outcome) && !Call.m_RepeatsRecord
                             ? Call.m_Outcome
                             : interruption(Call);
    else if (mayBeRunning(Call))
      Outcomes[Number] = interruption(Call);
    else
      Outcomes[Number] =
          failedOutcome(ErrorKind::QuorumUnavailable,
                        "this instance no longer owns the program");
  }
  for (auto It = m_Calls.begin(); It != m_Calls.end();) {
    It->second.m_FromRecord = false;
    It = emitDone(It, Outcomes[It->first], "", Step);
  }
}

void OwnedProgram::refuseAll(ErrorKind Kind, const std::string &Detail,
                             StepContext &Step) {
  m_Removable = true;
  for (auto It = m_Calls.begin(); It != m_Calls.end();)
    It = emitDone(It, failedOutcome(Kind, Detail), "", Step);
}

bool OwnedProgram::hasWaitedTooLong(const TrackedCall &Call,
                                    base::Now Time) const {
  const auto HasExpired = [&](base::TimePoint Since) {
    return Time.m_Monotonic - Since >= m_Options.m_QuorumTimeout;
  };
  switch (Call.m_Stage) {
  case CallStage::Creating:
  case CallStage::Starting:
  case CallStage::Claiming:
  case CallStage::Finishing:
    return HasExpired(Call.m_WaitSince);
  case CallStage::Waiting:
    return m_Owner.phase() != OwnerPhase::Leading &&
           HasExpired(std::max(Call.m_WaitSince, m_OpenSince));
  case CallStage::Ready:
  case CallStage::Sent:
  case CallStage::Joined:
    return false;
  }
  return false;
}

void OwnedProgram::expireWaits(StepContext &Step) {
  const std::string Detail = "too few ledgers answered in time";
  if (m_Active) {
    const TrackedCall &Call = m_Calls.at(*m_Active);
    const bool WasSent = Call.m_Stage == CallStage::Sent;
    if (!WasSent && hasWaitedTooLong(Call, Step.m_Now)) {
      finishTurn(failedOutcome(ErrorKind::QuorumUnavailable, Detail), "", Step);
      for (auto &[Number, Other] : m_Calls) {
        if (Other.m_AwaitedIndex == m_Owner.lastIndex())
          Other.m_WaitSince -= m_Options.m_QuorumTimeout;
      }
    }
  }
  for (auto It = m_Calls.begin(); It != m_Calls.end();) {
    TrackedCall &Call = It->second;
    if (!hasWaitedTooLong(Call, Step.m_Now)) {
      ++It;
      continue;
    }
    Call.m_FromRecord = false;
    messages::CallOutcome Outcome =
        failedOutcome(ErrorKind::QuorumUnavailable, Detail);
    if (Call.m_Stage == CallStage::Finishing)
      Outcome = didNotRun(Call.m_Outcome) && !Call.m_RepeatsRecord
                    ? Call.m_Outcome
                    : interruption(Call);
    if (Call.m_Stage == CallStage::Creating)
      end("the creation was not confirmed", ErrorKind::ProgramEnded);
    It = emitDone(It, std::move(Outcome), "", Step);
  }
  removeWhenUnused(Step.m_Now);
}

void OwnedProgram::removeWhenUnused(base::Now Time) {
  // The next call tries again to open a program that could not be opened or
  // created.
  const bool IsLate =
      Time.m_Monotonic - m_OpenSince >= m_Options.m_QuorumTimeout;
  if (m_Calls.empty() && !m_Owner.hasLog() && (m_PendingCreation || IsLate))
    m_Removable = true;
}

} // namespace psp::program
