#include "entry/OwnedCalls.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "program/Outcome.h"

#include <algorithm>
#include <utility>

namespace psp::entry {

using base::Duration;
using base::ErrorKind;
using base::InstanceId;
using base::Now;
using messages::CallOutcome;
using messages::ForwardCall;
using messages::ForwardChunk;
using messages::ForwardEnd;
using messages::Outbox;
using messages::Service;
using program::failedOutcome;
using schedule::CallResult;

namespace {

/// Maximum size of the part of an answer that is sent in one message.
constexpr std::size_t MaxChunkBytes = 1U << 20U;

program::ProgramLimits limitsOf(const messages::Organisation &Organisation) {
  return {
      .m_BudgetTokens = Organisation.program_budget_tokens(),
      .m_MaxTurns = Organisation.max_turns(),
      .m_MaxHistoryTokens = Organisation.max_history_tokens(),
      .m_MaxLifetime = base::seconds(Organisation.max_program_seconds()),
  };
}

} // namespace

OwnedCalls::OwnedCalls(OwnedOptions Options, const OwnerDirectory &Owners,
                       const control::ControlState &Control,
                       program::ProgramTable &Programs,
                       schedule::Scheduler &Queue)
    : m_Options(std::move(Options)), m_Owners(Owners), m_Control(Control),
      m_Programs(Programs), m_Queue(Queue), m_NextCall(m_Options.m_FirstCall),
      m_Releases(Queue.endpoints(), m_NextExchange) {}

void OwnedCalls::onForwardCall(const InstanceId &From,
                               const ForwardCall &Message, Now Time,
                               Outbox &Out) {
  const auto Existing = m_BySource.find({From, Message.call()});
  if (Existing != m_BySource.end())
    return acknowledge(m_Calls.at(Existing->second), Message.resume_offset(),
                       Out);
  OwnedCall Call;
  Call.m_Source = From;
  Call.m_SourceCall = Message.call();
  Call.m_Message = Message;
  Call.m_Deadline =
      Time.m_Monotonic + base::milliseconds(Message.remaining_ms());
  const base::ProgramId Program(Message.request().program());
  const auto Owner = m_Owners.ownerOf(Program, Time.m_Monotonic);
  if (!Owner || Owner->m_Instance != m_Options.m_Self)
    return refuse(Call, ErrorKind::Stopping, "not the program's owner", Out);
  if (m_Draining)
    return refuse(Call, ErrorKind::Stopping, "the instance is stopping", Out);
  accept(std::move(Call), Time, Out);
}

void OwnedCalls::accept(OwnedCall Call, Now Time, Outbox &Out) {
  if (Call.m_Message.kind() == ForwardCall::RUN) {
    const std::string &Name = Call.m_Message.request().service();
    const messages::Service *Service = m_Control.findService(Name);
    if (Service == nullptr)
      return refuse(Call, ErrorKind::NotFound, "no service " + Name, Out);
    Call.m_Kind = Service->kind();
    Call.m_Repeatable = Service->repeatable();
  }
  Call.m_Number = m_NextCall++;
  m_BySource[{Call.m_Source, Call.m_SourceCall}] = Call.m_Number;
  ++m_Counters.m_Accepted;
  const OwnedCall &Added = m_Calls[Call.m_Number] = std::move(Call);
  acknowledge(Added, 0, Out);
  submit(Added, Time, Out);
}

void OwnedCalls::submit(const OwnedCall &Call, Now Time, Outbox &Out) {
  const ForwardCall &Message = Call.m_Message;
  const base::ProgramId Program(Message.request().program());
  const base::OrganisationId Organisation(Message.organisation());
  const base::KeyId Key(Message.key_id());
  const messages::Organisation *Settings =
      m_Control.findOrganisation(Organisation);
  const auto Limits =
      limitsOf(Settings != nullptr ? *Settings : messages::Organisation());
  switch (Message.kind()) {
  case ForwardCall::CREATE:
    m_Programs.create(Call.m_Number, Program, Organisation, Key, Limits, Time,
                      Out);
    break;
  case ForwardCall::END:
    m_Programs.adopt(Program, Time, Out);
    break;
  default:
    m_Programs.submit({.m_Call = Call.m_Number,
                       .m_Organisation = Organisation,
                       .m_Key = Key,
                       .m_Request = Message.request(),
                       .m_Repeatable = Call.m_Repeatable,
                       .m_CarriesHistory = Call.isModelCall(),
                       .m_Limits = Limits},
                      Time, Out);
  }
}

/// Acknowledges the call to the caller's instance and sends again the part of
/// the answer after \p Offset that was already sent.
void OwnedCalls::acknowledge(const OwnedCall &Call, std::uint64_t Offset,
                             Outbox &Out) const {
  ForwardChunk &Chunk = *Out.add(Call.m_Source).mutable_forward_chunk();
  Chunk.set_call(Call.m_SourceCall);
  Chunk.set_offset(Offset);
  if (Offset < Call.m_Sent)
    Chunk.set_data(Call.m_Answer.substr(Offset, Call.m_Sent - Offset));
}

void OwnedCalls::advance(Now Time, Outbox &Out) {
  bool Idle = false;
  while (!Idle) {
    Idle = true;
    for (const program::ProgramEvent &Event : m_Programs.takeEvents()) {
      Idle = false;
      onProgramEvent(Event, Time, Out);
    }
    for (const auto &Refusal : m_Queue.takeRefusals(Time.m_Monotonic)) {
      Idle = false;
      onRefusal(Refusal, Time, Out);
    }
    for (const auto &Dispatch : m_Queue.takeDispatches(Time.m_Monotonic)) {
      Idle = false;
      onDispatch(Dispatch, Time, Out);
    }
  }
}

void OwnedCalls::onProgramEvent(const program::ProgramEvent &Event, Now Time,
                                Outbox &Out) {
  if (const auto *Ready = std::get_if<program::CallReady>(&Event))
    onReady(*Ready, Time, Out);
  else if (const auto *Claimed = std::get_if<program::CallClaimed>(&Event))
    onClaimed(*Claimed, Time, Out);
  else if (const auto *Done = std::get_if<program::CallDone>(&Event))
    onDone(*Done, Time, Out);
  else if (const auto *Released = std::get_if<program::MemoryReleased>(&Event))
    onReleased(*Released, Time);
}

/// Ends the program once it is open on this instance; before that, the
/// organisation that it belongs to can't be checked.
void OwnedCalls::tryEndProgram(OwnedCall &Call, Now Time, Outbox &Out) {
  const base::ProgramId Program(Call.m_Message.request().program());
  const program::OwnedProgram *Owned = m_Programs.find(Program);
  const bool IsOpen = Owned != nullptr && Owned->state().isCreated();
  if (!IsOpen) {
    if (Time.m_Monotonic >= Call.m_Deadline)
      return refuseAndRemove(Call, ErrorKind::QuorumUnavailable, Out);
    return;
  }
  if (Owned->state().organisation().str() != Call.m_Message.organisation())
    return refuseAndRemove(Call, ErrorKind::NotFound, Out);
  if (!Owned->state().hasEnded())
    return m_Programs.end(Program, "ended by the caller", Time, Out);
  endAtSource(Call, CallOutcome(), Duration::zero(), Out);
  ++m_Counters.m_Succeeded;
  removeCall(Call.m_Number);
}

void OwnedCalls::refuseAndRemove(OwnedCall &Call, ErrorKind Kind, Outbox &Out) {
  refuse(Call, Kind, "", Out);
  removeCall(Call.m_Number);
}

void OwnedCalls::onReady(const program::CallReady &Event, Now Time,
                         Outbox &Out) {
  const auto It = m_Calls.find(Event.m_Call);
  if (It == m_Calls.end())
    return;
  OwnedCall &Call = It->second;
  // The caller has received part of an answer whose rest is lost. Another
  // execution could answer differently, so the caller has to start again.
  if (Call.m_Message.resume_offset() > 0)
    return abandon(Call, ErrorKind::AnswerInterrupted, Duration::zero(), Time,
                   Out);
  if (Time.m_Monotonic >= Call.m_Deadline)
    return abandon(Call, ErrorKind::DeadlineExceeded, Duration::zero(), Time,
                   Out);
  Call.m_Body = Event.m_Body;
  Call.m_Stage = CallStage::Queued;
  const messages::CallRequest &Request = Call.m_Message.request();
  m_Queue.enqueue(
      {
          .m_Call = Call.m_Number,
          .m_Program = base::ProgramId(Request.program()),
          .m_Organisation = base::OrganisationId(Call.m_Message.organisation()),
          .m_Service = Request.service(),
          .m_Class = classOf(Call.m_Kind),
          .m_PromptTokens = Event.m_PromptTokens,
          .m_MaxTokens = Request.max_tokens(),
          .m_Repeatable = Call.m_Repeatable,
          .m_Deadline = Call.m_Deadline,
      },
      Time.m_Monotonic);
}

void OwnedCalls::onDispatch(const schedule::Dispatch &Dispatch, Now Time,
                            Outbox &Out) {
  const auto It = m_Calls.find(Dispatch.m_Call);
  base::checkInvariant(It != m_Calls.end(),
                       "the queue dispatched a call that is not in the table");
  OwnedCall &Call = It->second;
  Call.m_Dispatch = Dispatch;
  if (Call.m_Repeatable) {
    m_Programs.noteSent(Call.m_Number, Dispatch.m_Endpoint);
    return send(Call);
  }
  Call.m_Stage = CallStage::Claiming;
  m_Programs.claim(Call.m_Number, Dispatch.m_Endpoint, fencingNumber(Call),
                   Time, Out);
}

void OwnedCalls::onClaimed(const program::CallClaimed &Event, Now Time,
                           Outbox &Out) {
  const auto It = m_Calls.find(Event.m_Call);
  if (It == m_Calls.end())
    return;
  OwnedCall &Call = It->second;
  base::checkInvariant(Call.m_Stage == CallStage::Claiming,
                       "a claim was committed that was not requested");
  if (Time.m_Monotonic < Call.m_Deadline)
    return send(Call);
  freeSlot(Call, CallResult::Cancelled, Time);
  finish(Call, failedOutcome(ErrorKind::DeadlineExceeded, "before it was sent"),
         Time, Out);
}

std::uint64_t OwnedCalls::fencingNumber(const OwnedCall &Call) const {
  const base::ProgramId Program(Call.m_Message.request().program());
  return m_Control.homeEpoch(program::homeOf(Program));
}

void OwnedCalls::send(OwnedCall &Call) {
  Call.m_Stage = CallStage::Running;
  Call.m_Exchange = m_NextExchange++;
  Call.m_Events = EventStream();
  Call.m_Answer.clear();
  Call.m_Status = 0;
  m_ByExchange[Call.m_Exchange] = Call.m_Number;
  ++m_Counters.m_Sent;
  m_Commands.emplace_back(makeExchange(Call, fencingNumber(Call)));
}

void OwnedCalls::onRefusal(const schedule::Refusal &Refusal, Now Time,
                           Outbox &Out) {
  const auto It = m_Calls.find(Refusal.m_Call);
  if (It != m_Calls.end())
    abandon(It->second, Refusal.m_Kind, Refusal.m_RetryAfter, Time, Out);
}

void OwnedCalls::onDone(const program::CallDone &Event, Now Time, Outbox &Out) {
  const auto It = m_Calls.find(Event.m_Call);
  if (It == m_Calls.end())
    return; // It was answered before its end was recorded.
  OwnedCall &Call = It->second;
  const ForwardCall &Message = Call.m_Message;
  detach(Call, Time);
  if (!Event.m_Outcome.error_kind().empty()) {
    ++m_Counters.m_Refused;
    endAtSource(Call, Event.m_Outcome, Duration::zero(), Out);
    return removeCall(Call.m_Number);
  }
  Call.m_Answer = Event.m_Answer;
  if (Call.m_Sent == 0 && Message.resume_offset() > 0) {
    const std::string Prefix = Call.m_Answer.substr(0, Message.resume_offset());
    if (base::toBytes(base::sha256(Prefix)) != Message.resume_digest()) {
      refuse(Call, ErrorKind::AnswerInterrupted,
             "the recorded answer begins differently", Out);
      return removeCall(Call.m_Number);
    }
    Call.m_Sent = Message.resume_offset();
  }
  sendAnswer(Call, Out);
  endAtSource(Call, Event.m_Outcome, Duration::zero(), Out);
  ++m_Counters.m_Succeeded;
  removeCall(Call.m_Number);
}

/// Removes a finished call from the queue or cancels it at its endpoint.
void OwnedCalls::detach(OwnedCall &Call, Now Time) {
  if (Call.m_Stage == CallStage::Queued)
    m_Queue.remove(Call.m_Number);
  if (Call.m_Stage == CallStage::Running)
    stopExchange(Call);
  if (Call.m_Stage == CallStage::Running || Call.m_Stage == CallStage::Claiming)
    freeSlot(Call, CallResult::Cancelled, Time);
}

void OwnedCalls::onReleased(const program::MemoryReleased &Event, Now Time) {
  m_Queue.programEnded(Event.m_Program);
  m_Releases.add(Event.m_Program, endpointsToFree(Event, Time),
                 Time.m_Monotonic);
}

std::vector<base::EndpointId>
OwnedCalls::endpointsToFree(const program::MemoryReleased &Event,
                            Now Time) const {
  if (!Event.m_MayBeElsewhere)
    return Event.m_Endpoints;
  std::vector<base::EndpointId> All;
  for (const auto &Endpoint :
       m_Queue.endpoints().usableEndpoints(Time.m_Monotonic))
    All.push_back(Endpoint.m_Id);
  return All;
}

void OwnedCalls::onTick(Now Time, Outbox &Out) {
  m_Releases.onTick(Time.m_Monotonic);
  // The record of a program names every endpoint that ran it, so the queue's
  // releases add nothing; they are drained to keep the list from growing.
  m_Queue.takeReleases();
  for (const base::ProgramId &Program : m_Releases.takeFreed())
    m_Programs.memoryFreed(Program, Time, Out);
  for (auto Next = m_Calls.begin(); Next != m_Calls.end();) {
    OwnedCall &Call = (Next++)->second;
    if (Call.m_Message.kind() == ForwardCall::END) {
      tryEndProgram(Call, Time, Out);
      continue;
    }
    const bool Passed = Time.m_Monotonic >= Call.m_Deadline;
    if (Passed && Call.m_Message.kind() == ForwardCall::RUN)
      expire(Call, Time, Out);
  }
}

void OwnedCalls::expire(OwnedCall &Call, Now Time, Outbox &Out) {
  switch (Call.m_Stage) {
  case CallStage::Preparing:
  case CallStage::Queued:
    m_Queue.remove(Call.m_Number);
    return abandon(Call, ErrorKind::DeadlineExceeded, Duration::zero(), Time,
                   Out);
  case CallStage::Running:
    if (Call.m_QueryingOutcome)
      return;
    stopExchange(Call);
    return settleFailed(Call, CallResult::TimedOut, "the deadline passed", Time,
                        Out);
  case CallStage::Claiming:
  case CallStage::Recording:
    return; // The record that decides how the call ends is being written.
  }
}

void OwnedCalls::onForwardCancel(const InstanceId &From,
                                 std::uint64_t SourceCall, Now Time,
                                 Outbox &Out) {
  const auto It = m_BySource.find({From, SourceCall});
  if (It == m_BySource.end())
    return;
  OwnedCall &Call = m_Calls.at(It->second);
  const bool Waiting =
      Call.m_Stage == CallStage::Preparing || Call.m_Stage == CallStage::Queued;
  const bool Stoppable =
      Call.m_Stage == CallStage::Running && Call.m_Repeatable;
  if (Stoppable) {
    stopExchange(Call);
    freeSlot(Call, CallResult::Cancelled, Time);
    return finish(Call,
                  failedOutcome(ErrorKind::AnswerInterrupted, "cancelled"),
                  Time, Out);
  }
  // A call that may run only once continues: its outcome must be recorded.
  if (!Waiting)
    return;
  m_Queue.remove(Call.m_Number);
  abandon(Call, ErrorKind::DeadlineExceeded, Duration::zero(), Time, Out);
}

void OwnedCalls::freeSlot(OwnedCall &Call, CallResult Result, Now Time) {
  const TokenUse &Use = Call.m_Events.use();
  const std::uint64_t Recomputed =
      Use.m_Prompt - std::min(Use.m_Cached, Use.m_Prompt);
  m_Queue.finished(Call.m_Number, Result, Use.m_Prompt + Use.m_Completion,
                   Recomputed, Time.m_Monotonic);
  m_Counters.m_PromptTokens += Use.m_Prompt;
  m_Counters.m_RecomputedTokens += Recomputed;
}

void OwnedCalls::stopExchange(OwnedCall &Call) {
  m_Commands.emplace_back(
      messages::CancelExchange{.m_Exchange = Call.m_Exchange});
  m_ByExchange.erase(Call.m_Exchange);
}

void OwnedCalls::finish(OwnedCall &Call, const CallOutcome &Outcome, Now Time,
                        Outbox &Out) {
  Call.m_Stage = CallStage::Recording;
  m_Programs.finish(Call.m_Number, Outcome, Call.m_Answer, Time, Out);
}

void OwnedCalls::abandon(OwnedCall &Call, ErrorKind Kind, Duration RetryAfter,
                         Now Time, Outbox &Out) {
  m_Programs.abandon(Call.m_Number, Kind, Time, Out);
  ++m_Counters.m_Refused;
  endAtSource(Call, failedOutcome(Kind, ""), RetryAfter, Out);
  removeCall(Call.m_Number);
}

void OwnedCalls::sendAnswer(OwnedCall &Call, Outbox &Out) {
  while (Call.m_Sent < Call.m_Answer.size()) {
    ForwardChunk &Chunk = *Out.add(Call.m_Source).mutable_forward_chunk();
    Chunk.set_call(Call.m_SourceCall);
    Chunk.set_offset(Call.m_Sent);
    Chunk.set_data(Call.m_Answer.substr(Call.m_Sent, MaxChunkBytes));
    Call.m_Sent += Chunk.data().size();
  }
}

void OwnedCalls::endAtSource(const OwnedCall &Call, const CallOutcome &Outcome,
                             Duration RetryAfter, Outbox &Out) const {
  ForwardEnd &End = *Out.add(Call.m_Source).mutable_forward_end();
  End.set_call(Call.m_SourceCall);
  *End.mutable_outcome() = Outcome;
  End.set_program(Call.m_Message.request().program());
  End.set_turn(Call.m_Message.request().turn());
  End.set_length(Call.m_Answer.size());
  const auto Milliseconds =
      std::chrono::duration_cast<base::milliseconds>(RetryAfter);
  End.set_retry_after_ms(static_cast<std::uint64_t>(Milliseconds.count()));
}

void OwnedCalls::refuse(const OwnedCall &Call, ErrorKind Kind,
                        const std::string &Detail, Outbox &Out) {
  ++m_Counters.m_Refused;
  endAtSource(Call, failedOutcome(Kind, Detail), Duration::zero(), Out);
}

void OwnedCalls::removeCall(std::uint64_t Number) {
  const auto It = m_Calls.find(Number);
  m_BySource.erase({It->second.m_Source, It->second.m_SourceCall});
  m_ByExchange.erase(It->second.m_Exchange);
  m_Calls.erase(It);
}

std::vector<messages::EndpointCommand> OwnedCalls::takeCommands() {
  auto Commands = std::exchange(m_Commands, {});
  for (auto &Command : m_Releases.takeCommands())
    Commands.push_back(std::move(Command));
  return Commands;
}

} // namespace psp::entry
