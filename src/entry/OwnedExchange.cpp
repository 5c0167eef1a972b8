/// \file
/// The part of OwnedCalls that handles exchanges with endpoints: their
/// responses, and how a call continues when an endpoint fails.

#include "base/Error.h"
#include "entry/OwnedCalls.h"
#include "program/Outcome.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace psp::entry {

using base::Duration;
using base::ErrorKind;
using base::Now;
using messages::CallOutcome;
using messages::ExchangeData;
using messages::ExchangeEnd;
using messages::ExchangeFailed;
using messages::ExchangeHead;
using messages::Outbox;
using program::failedOutcome;
using schedule::CallResult;

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusTooMany = 429;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned FirstServerError = 500;

/// True for the statuses by which an endpoint reports that it has not executed
/// the call.
bool meansNotExecuted(unsigned Status) {
  return Status == StatusTooMany || Status == StatusUnavailable;
}

} // namespace

OwnedCall *OwnedCalls::findExchange(messages::ExchangeNumber Exchange) {
  const auto It = m_ByExchange.find(Exchange);
  if (It == m_ByExchange.end())
    return nullptr;
  return &m_Calls.at(It->second);
}

void OwnedCalls::onEndpoint(const messages::EndpointEvent &Event, Now Time,
                            Outbox &Out) {
  if (m_Releases.onEvent(Event, Time.m_Monotonic))
    return;
  if (const auto *Head = std::get_if<ExchangeHead>(&Event)) {
    if (OwnedCall *Call = findExchange(Head->m_Exchange))
      onHead(*Call, *Head);
  } else if (const auto *Data = std::get_if<ExchangeData>(&Event)) {
    if (OwnedCall *Call = findExchange(Data->m_Exchange))
      onData(*Call, *Data, Time, Out);
  } else if (const auto *End = std::get_if<ExchangeEnd>(&Event)) {
    if (OwnedCall *Call = findExchange(End->m_Exchange))
      onComplete(*Call, Time, Out);
  } else if (const auto *Failure = std::get_if<ExchangeFailed>(&Event)) {
    if (OwnedCall *Call = findExchange(Failure->m_Exchange))
      onFailed(*Call, *Failure, Time, Out);
  }
}

void OwnedCalls::onHead(OwnedCall &Call, const ExchangeHead &Head) {
  Call.m_Status = Head.m_Status;
  if (!Call.m_QueryingOutcome)
    Call.m_ContentType = Head.m_ContentType;
}

void OwnedCalls::onData(OwnedCall &Call, const ExchangeData &Data, Now Time,
                        Outbox &Out) {
  const bool IsStream = Call.isModelCall() && Call.m_Status == StatusOk;
  if (!IsStream) {
    Call.m_Answer += Data.m_Data;
    return;
  }
  try {
    const std::string Text = Call.m_Events.feed(Data.m_Data);
    if (Text.empty())
      return;
    if (Call.m_Answer.empty())
      m_Queue.firstByte(Call.m_Number, Time.m_Monotonic);
    Call.m_Answer += Text;
    sendAnswer(Call, Out);
  } catch (const base::UserError &Fault) {
    stopExchange(Call);
    settleFailed(Call, CallResult::Failed, Fault.what(), Time, Out);
  }
}

void OwnedCalls::onComplete(OwnedCall &Call, Now Time, Outbox &Out) {
  m_ByExchange.erase(Call.m_Exchange);
  if (Call.m_QueryingOutcome)
    return onOutcome(Call, Time, Out);
  if (meansNotExecuted(Call.m_Status))
    return settleNotExecuted(Call, "the endpoint is busy", Time, Out);
  const std::string Status = "status " + std::to_string(Call.m_Status);
  if (Call.isModelCall()) {
    const bool IsComplete = Call.m_Status == StatusOk && Call.m_Events.isDone();
    if (!IsComplete)
      return settleFailed(Call, CallResult::Failed, Status + ", not whole",
                          Time, Out);
  } else if (Call.m_Status >= FirstServerError) {
    return settleFailed(Call, CallResult::Failed, Status, Time, Out);
  } else if (Call.m_Status == StatusConflict && !Call.m_Repeatable) {
    return settleNotExecuted(Call, "the endpoint refused the number", Time,
                             Out);
  }
  succeed(Call, Time, Out);
}

void OwnedCalls::succeed(OwnedCall &Call, Now Time, Outbox &Out) {
  const TokenUse &Use = Call.m_Events.use();
  CallOutcome Outcome;
  Outcome.set_status(Call.m_Status);
  Outcome.set_content_type(Call.m_ContentType);
  Outcome.set_used_tokens(Use.m_Prompt + Use.m_Completion);
  Outcome.set_recomputed_tokens(Use.m_Prompt -
                                std::min(Use.m_Cached, Use.m_Prompt));
  freeSlot(Call, CallResult::Succeeded, Time);
  finish(Call, Outcome, Time, Out);
}

void OwnedCalls::onFailed(OwnedCall &Call, const ExchangeFailed &Failure,
                          Now Time, Outbox &Out) {
  m_ByExchange.erase(Call.m_Exchange);
  if (Call.m_QueryingOutcome) {
    Call.m_Answer.clear();
    return onOutcome(Call, Time, Out);
  }
  if (!Failure.m_MayHaveBeenSent)
    return settleNotExecuted(Call, Failure.m_Detail, Time, Out);
  const CallResult Result =
      Failure.m_TimedOut ? CallResult::TimedOut : CallResult::Failed;
  settleFailed(Call, Result, Failure.m_Detail, Time, Out);
}

/// Handles a call that the endpoint has not executed. \p Detail may be recorded
/// in the program's entries.
void OwnedCalls::settleNotExecuted(OwnedCall &Call, const std::string &Detail,
                                   Now Time, Outbox &Out) {
  Call.m_Answer.clear();
  freeSlot(Call, CallResult::Refused, Time);
  const bool InTime = Time.m_Monotonic < Call.m_Deadline;
  if (Call.m_Repeatable && InTime && retryElsewhere(Call, Time))
    return;
  // The claim of a call that may run only once permits a single attempt, and
  // that attempt has ended.
  finish(Call, failedOutcome(ErrorKind::EndpointRefused, Detail), Time, Out);
}

/// Handles a failed call that the endpoint may have executed. \p Detail may be
/// recorded in the program's entries.
void OwnedCalls::settleFailed(OwnedCall &Call, CallResult Result,
                              const std::string &Detail, Now Time,
                              Outbox &Out) {
  if (!Call.m_Repeatable) {
    freeSlot(Call, Result, Time);
    return queryOutcome(Call);
  }
  const bool Streamed = Call.m_Sent > 0;
  const bool InTime = Time.m_Monotonic < Call.m_Deadline;
  freeSlot(Call, Result, Time);
  if (!Streamed && InTime && retryElsewhere(Call, Time))
    return;
  const ErrorKind Kind = Call.isModelCall() ? ErrorKind::AnswerInterrupted
                                            : ErrorKind::EndpointFailed;
  finish(Call, failedOutcome(Kind, Detail), Time, Out);
}

bool OwnedCalls::retryElsewhere(OwnedCall &Call, Now Time) {
  if (!m_Queue.retry(Call.m_Number, Time.m_Monotonic))
    return false;
  Call.m_Stage = CallStage::Queued;
  Call.m_Answer.clear();
  ++m_Counters.m_Retried;
  return true;
}

void OwnedCalls::queryOutcome(OwnedCall &Call) {
  Call.m_QueryingOutcome = true;
  Call.m_Status = 0;
  Call.m_Answer.clear();
  Call.m_Exchange = m_NextExchange++;
  m_ByExchange[Call.m_Exchange] = Call.m_Number;
  m_Commands.emplace_back(makeOutcomeQuery(Call));
}

/// Handles the worker's answer to the outcome query, or the lack of an answer.
/// Only an explicit "done" settles the call: a worker that has no record of the
/// call may still receive it.
void OwnedCalls::onOutcome(OwnedCall &Call, Now Time, Outbox &Out) {
  const auto Reply = nlohmann::json::parse(Call.m_Answer, nullptr, false);
  const bool Done = Call.m_Status == StatusOk && Reply.is_object() &&
                    Reply.value("outcome", "") == "done";
  CallOutcome Outcome;
  if (Done) {
    Outcome.set_status(StatusOk);
    Outcome.set_content_type("application/json");
  } else {
    Call.m_Answer.clear();
    ++m_Counters.m_OutcomeUnknown;
    Outcome = failedOutcome(ErrorKind::OutcomeUnknown,
                            "sent to " + Call.m_Dispatch.m_Endpoint.str());
  }
  finish(Call, Outcome, Time, Out);
}

} // namespace psp::entry
