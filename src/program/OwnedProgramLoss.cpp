/// What becomes of an OwnedProgram's calls when the ledgers or the ownership
/// are lost.

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

void OwnedProgram::giveUp(StepContext &Step) {
  m_Gone = true;
  std::map<CallNumber, messages::CallOutcome> Outcomes;
  for (const auto &[Number, Call] : m_Calls) {
    if (Call.m_Stage == CallStage::Finishing)
      Outcomes[Number] = didNotRun(Call.m_Outcome) && !Call.m_RepeatsRecord
                             ? Call.m_Outcome
                             : interruption(Call);
    else if (mayBeRunning(Call))
      Outcomes[Number] = interruption(Call);
    else
      Outcomes[Number] = failedOutcome(ErrorKind::QuorumUnavailable,
                                       "another instance owns the program now");
  }
  for (auto Row = m_Calls.begin(); Row != m_Calls.end();) {
    Row->second.m_FromRecord = false;
    Row = emitDone(Row, Outcomes[Row->first], "", Step);
  }
}

void OwnedProgram::refuseAll(ErrorKind Kind, const std::string &Detail,
                             StepContext &Step) {
  m_Gone = true;
  for (auto Row = m_Calls.begin(); Row != m_Calls.end();)
    Row = emitDone(Row, failedOutcome(Kind, Detail), "", Step);
}

bool OwnedProgram::hasWaitedTooLong(const TrackedCall &Call,
                                    base::Now Time) const {
  const auto IsOver = [&](base::TimePoint Since) {
    return Time.m_Monotonic - Since >= m_Options.m_QuorumTimeout;
  };
  switch (Call.m_Stage) {
  case CallStage::Creating:
  case CallStage::Starting:
  case CallStage::Claiming:
  case CallStage::Finishing:
    return IsOver(Call.m_WaitSince);
  case CallStage::Waiting:
    return m_Owner.phase() != OwnerPhase::Leading &&
           IsOver(std::max(Call.m_WaitSince, m_OpenSince));
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
  for (auto Row = m_Calls.begin(); Row != m_Calls.end();) {
    TrackedCall &Call = Row->second;
    if (!hasWaitedTooLong(Call, Step.m_Now)) {
      ++Row;
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
    Row = emitDone(Row, std::move(Outcome), "", Step);
  }
  forgetWhenUnused(Step.m_Now);
}

void OwnedProgram::forgetWhenUnused(base::Now Time) {
  // A program that could not be opened or created is asked for again by the
  // next call.
  const bool IsLate =
      Time.m_Monotonic - m_OpenSince >= m_Options.m_QuorumTimeout;
  if (m_Calls.empty() && !m_Owner.hasLog() && (m_PendingCreation || IsLate))
    m_Gone = true;
}

} // namespace psp::program
