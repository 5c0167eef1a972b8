#include "entry/EdgeCalls.h"

#include "base/Hash.h"
#include "entry/ChatFormat.h"

#include <utility>

namespace psp::entry {

using base::Duration;
using base::ErrorKind;
using base::InstanceId;
using base::milliseconds;
using base::seconds;
using base::TimePoint;
using messages::CallerAnswer;
using messages::ForwardCall;
using messages::ForwardChunk;
using messages::ForwardEnd;
using messages::Outbox;
using messages::RequestNumber;
using messages::StreamBegin;
using messages::StreamEnd;
using messages::StreamPart;

namespace {

/// Interval at which a call is forwarded again until the owner acknowledges it.
constexpr Duration UnacknowledgedResendInterval = milliseconds(500);

/// Interval at which an acknowledged call is forwarded again, in case the
/// message that ends it was lost.
constexpr Duration AcknowledgedResendInterval = seconds(5);

/// Delay before a call is forwarded again after the instance that received it
/// reported that it no longer owns the program.
constexpr Duration OwnerChangePause = milliseconds(50);

/// How long a call waits for a reachable owner before it is refused.
constexpr Duration OwnerWaitTimeout = seconds(3);

/// The owner enforces the deadline. If it doesn't, this instance ends the call
/// this long after the deadline.
constexpr Duration DeadlineGrace = milliseconds(500);

ChatHead headOf(const EdgeCall &Call) {
  return {.m_Program = base::ProgramId(Call.m_Call.program()),
          .m_Turn = Call.m_Call.turn(),
          .m_Model = Call.m_Call.service()};
}

std::vector<messages::AnswerHeader> programHeaders(const EdgeCall &Call) {
  return {{"Program-Id", Call.m_Call.program()},
          {"Program-Turn", std::to_string(Call.m_Call.turn())}};
}

/// The error for a call whose owner has not reported an outcome.
ErrorKind errorKindWithoutReply(const EdgeCall &Call) {
  if (!Call.m_Repeatable)
    return ErrorKind::OutcomeUnknown;
  return Call.m_Chat ? ErrorKind::AnswerInterrupted : ErrorKind::EndpointFailed;
}

std::uint64_t millisecondsLeft(TimePoint Deadline, TimePoint Now) {
  if (Deadline <= Now)
    return 0;
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Deadline - Now).count());
}

} // namespace

EdgeCalls::EdgeCalls(const OwnerDirectory &Owners, std::uint64_t FirstCall)
    : m_Owners(Owners), m_NextCall(FirstCall) {}

void EdgeCalls::start(EdgeCall Call, TimePoint Now, Outbox &Out) {
  const std::uint64_t Number = m_NextCall++;
  m_ByRequest[Call.m_Request] = Number;
  ActiveCall &Added = m_Calls[Number];
  Added.m_Step = Call.m_OneOff ? ForwardCall::CREATE : Call.m_Kind;
  Added.m_Call = std::move(Call);
  Added.m_Started = Now;
  Added.m_NextForward = Now;
  ++m_Counters.m_Started;
  checkOwner(Number, Added, Now, Out);
}

EdgeCalls::ActiveCall *EdgeCalls::findFrom(std::uint64_t Number,
                                           const InstanceId &From) {
  const auto It = m_Calls.find(Number);
  if (It == m_Calls.end())
    return nullptr;
  // Late messages from a former owner must not be mixed into the answer.
  ActiveCall &Call = It->second;
  if (!Call.m_Forwarded || Call.m_Owner.m_Instance != From)
    return nullptr;
  return &Call;
}

void EdgeCalls::forward(std::uint64_t Number, ActiveCall &Call, TimePoint Now,
                        Outbox &Out) {
  const bool IsChatStream = Call.m_Call.m_Chat && Call.m_Call.m_Call.stream();
  // Only a stream has relayed bytes to the caller; any other answer is received
  // again from its first byte.
  if (!IsChatStream)
    Call.m_Answer.clear();
  ForwardCall &Message =
      *Out.add(Call.m_Owner.m_Instance).mutable_forward_call();
  Message.set_call(Number);
  Message.set_kind(Call.m_Step);
  Message.set_organisation(Call.m_Call.m_Organisation.str());
  Message.set_key_id(Call.m_Call.m_Key.str());
  *Message.mutable_request() = Call.m_Call.m_Call;
  Message.set_remaining_ms(millisecondsLeft(Call.m_Call.m_Deadline, Now));
  Message.set_resume_offset(Call.m_Answer.size());
  if (!Call.m_Answer.empty())
    Message.set_resume_digest(base::toBytes(base::sha256(Call.m_Answer)));
  if (Call.m_EverForwarded)
    ++m_Counters.m_ForwardedAgain;
  Call.m_Forwarded = true;
  Call.m_EverForwarded = true;
  Call.m_NextForward =
      Now + (Call.m_Acknowledged ? AcknowledgedResendInterval
                                 : UnacknowledgedResendInterval);
}

void EdgeCalls::scheduleForward(ActiveCall &Call, TimePoint Now) {
  Call.m_Forwarded = false;
  Call.m_Acknowledged = false;
  Call.m_NextForward = Now + OwnerChangePause;
}

void EdgeCalls::checkOwner(std::uint64_t Number, ActiveCall &Call,
                           TimePoint Now, Outbox &Out) {
  if (Call.m_Forwarded && m_Owners.isServing(Call.m_Owner, Now)) {
    if (Now >= Call.m_NextForward)
      forward(Number, Call, Now, Out);
    return;
  }
  const base::ProgramId Program(Call.m_Call.m_Call.program());
  const auto Owner = m_Owners.ownerOf(Program, Now);
  if (!Owner) {
    const bool Waited = Now - Call.m_Started >= OwnerWaitTimeout;
    if (Waited && !Call.m_EverForwarded) {
      fail(Number, Call, ErrorKind::QuorumUnavailable,
           "no instance of the program's data centre can be reached",
           Duration::zero());
    }
    return;
  }
  if (Call.m_Forwarded)
    scheduleForward(Call, Now - OwnerChangePause);
  if (Now < Call.m_NextForward)
    return;
  Call.m_Owner = *Owner;
  forward(Number, Call, Now, Out);
}

void EdgeCalls::onChunk(const InstanceId &From, const ForwardChunk &Chunk,
                        TimePoint Now, Outbox &Out) {
  ActiveCall *Call = findFrom(Chunk.call(), From);
  if (Call == nullptr)
    return;
  if (!Call->m_Acknowledged) {
    Call->m_Acknowledged = true;
    Call->m_NextForward = Now + AcknowledgedResendInterval;
  }
  const std::uint64_t ReceivedBytes = Call->m_Answer.size();
  if (Chunk.offset() > ReceivedBytes) {
    // A chunk was lost; request the rest of the answer from this offset.
    forward(Chunk.call(), *Call, Now, Out);
    return;
  }
  const std::uint64_t DuplicateBytes = ReceivedBytes - Chunk.offset();
  if (DuplicateBytes < Chunk.data().size())
    relay(*Call, Chunk.data().substr(DuplicateBytes));
}

void EdgeCalls::relay(ActiveCall &Call, const std::string &Text) {
  Call.m_Answer += Text;
  if (!Call.m_Call.m_Chat || !Call.m_Call.m_Call.stream())
    return;
  beginStream(Call);
  m_Replies.emplace_back(
      StreamPart{.m_Request = Call.m_Call.m_Request,
                 .m_Data = chatChunk(headOf(Call.m_Call), Text)});
}

void EdgeCalls::beginStream(ActiveCall &Call) {
  if (Call.m_StreamBegun)
    return;
  Call.m_StreamBegun = true;
  m_Replies.emplace_back(StreamBegin{.m_Request = Call.m_Call.m_Request,
                                     .m_Headers = programHeaders(Call.m_Call)});
}

void EdgeCalls::onEnd(const InstanceId &From, const ForwardEnd &End,
                      TimePoint Now, Outbox &Out) {
  ActiveCall *Call = findFrom(End.call(), From);
  if (Call == nullptr)
    return;
  const std::string &Name = End.outcome().error_kind();
  if (Name.empty()) {
    if (Call->m_Step == ForwardCall::CREATE && Call->m_Call.m_OneOff)
      return runAfterCreation(End.call(), *Call, Now, Out);
    if (End.length() != Call->m_Answer.size())
      return forward(End.call(), *Call, Now, Out);
    return succeed(End.call(), *Call, End, Out);
  }
  const ErrorKind Kind =
      base::errorKindFromName(Name).value_or(ErrorKind::Internal);
  // The owner stopped owning the program before it sent anything, so the call
  // is forwarded to the next owner.
  if (Kind == ErrorKind::Stopping)
    return scheduleForward(*Call, Now);
  fail(End.call(), *Call, Kind, End.outcome().detail(),
       milliseconds(End.retry_after_ms()));
}

/// Runs a one-off call after its program has been created.
void EdgeCalls::runAfterCreation(std::uint64_t Number, ActiveCall &Call,
                                 TimePoint Now, Outbox &Out) {
  Call.m_Step = ForwardCall::RUN;
  Call.m_Call.m_Call.set_turn(1);
  Call.m_Acknowledged = false;
  // Uses a new number, so that the owner doesn't treat the call as a
  // retransmission of the creation.
  ActiveCall Continued = std::move(Call);
  m_Calls.erase(Number);
  const std::uint64_t Next = m_NextCall++;
  m_ByRequest[Continued.m_Call.m_Request] = Next;
  ActiveCall &Added = m_Calls[Next] = std::move(Continued);
  forward(Next, Added, Now, Out);
}

void EdgeCalls::succeed(std::uint64_t Number, ActiveCall &Call,
                        const ForwardEnd &End, Outbox &Out) {
  const EdgeCall &CallerCall = Call.m_Call;
  const RequestNumber Request = CallerCall.m_Request;
  auto Headers = programHeaders(CallerCall);
  if (!End.outcome().durability().empty())
    Headers.push_back({"Durability", End.outcome().durability()});
  const std::uint64_t Used = End.outcome().used_tokens();
  if (CallerCall.m_Chat && CallerCall.m_Call.stream()) {
    beginStream(Call);
    m_Replies.emplace_back(StreamPart{
        .m_Request = Request, .m_Data = chatEnd(headOf(CallerCall), Used)});
    m_Replies.emplace_back(StreamEnd{.m_Request = Request, .m_Whole = true});
  } else if (CallerCall.m_Chat) {
    m_Replies.emplace_back(CallerAnswer{
        .m_Request = Request,
        .m_Status = 200,
        .m_ContentType = "application/json",
        .m_Headers = Headers,
        .m_Body = chatAnswer(headOf(CallerCall), Call.m_Answer, Used)});
  } else if (CallerCall.m_Kind == ForwardCall::CREATE) {
    m_Replies.emplace_back(CallerAnswer{
        .m_Request = Request,
        .m_Status = 201,
        .m_ContentType = "application/json",
        .m_Headers = Headers,
        .m_Body = "{\"program\":\"" + CallerCall.m_Call.program() + "\"}\n"});
  } else if (CallerCall.m_Kind == ForwardCall::END) {
    m_Replies.emplace_back(CallerAnswer{.m_Request = Request,
                                        .m_Status = 204,
                                        .m_ContentType = "application/json",
                                        .m_Headers = Headers,
                                        .m_Body = {}});
  } else {
    m_Replies.emplace_back(
        CallerAnswer{.m_Request = Request,
                     .m_Status = static_cast<int>(End.outcome().status()),
                     .m_ContentType = End.outcome().content_type(),
                     .m_Headers = Headers,
                     .m_Body = Call.m_Answer});
  }
  if (CallerCall.m_OneOff) {
    ForwardCall &Message =
        *Out.add(Call.m_Owner.m_Instance).mutable_forward_call();
    Message.set_call(m_NextCall++);
    Message.set_kind(ForwardCall::END);
    Message.set_organisation(CallerCall.m_Organisation.str());
    Message.mutable_request()->set_program(CallerCall.m_Call.program());
  }
  ++m_Counters.m_Succeeded;
  removeCall(Number);
}

void EdgeCalls::fail(std::uint64_t Number, ActiveCall &Call, ErrorKind Kind,
                     const std::string &Detail, Duration RetryAfter) {
  const RequestNumber Request = Call.m_Call.m_Request;
  if (Call.m_StreamBegun) {
    m_Replies.emplace_back(
        StreamPart{.m_Request = Request, .m_Data = chatFailure(Kind, Detail)});
    m_Replies.emplace_back(StreamEnd{.m_Request = Request, .m_Whole = false});
  } else {
    CallerAnswer Answer =
        messages::problemAnswer(Request, Kind, Detail, RetryAfter);
    for (auto &Header : programHeaders(Call.m_Call))
      Answer.m_Headers.push_back(std::move(Header));
    m_Replies.emplace_back(std::move(Answer));
  }
  ++m_Counters.m_Failed;
  removeCall(Number);
}

void EdgeCalls::expire(std::uint64_t Number, ActiveCall &Call, Outbox &Out) {
  cancelAtOwner(Number, Call, Out);
  const ErrorKind Kind = Call.m_EverForwarded
                             ? errorKindWithoutReply(Call.m_Call)
                             : ErrorKind::DeadlineExceeded;
  fail(Number, Call, Kind, "the deadline passed", Duration::zero());
}

void EdgeCalls::cancelAtOwner(std::uint64_t Number, const ActiveCall &Call,
                              Outbox &Out) {
  if (!Call.m_Forwarded)
    return;
  Out.add(Call.m_Owner.m_Instance).mutable_forward_cancel()->set_call(Number);
}

void EdgeCalls::onCallerDisconnected(RequestNumber Request, Outbox &Out) {
  const auto It = m_ByRequest.find(Request);
  if (It == m_ByRequest.end())
    return;
  const std::uint64_t Number = It->second;
  cancelAtOwner(Number, m_Calls.at(Number), Out);
  ++m_Counters.m_CallerDisconnected;
  removeCall(Number);
}

void EdgeCalls::onTick(TimePoint Now, Outbox &Out) {
  // A call may end, and be erased from the table, while it is processed.
  for (auto Next = m_Calls.begin(); Next != m_Calls.end();) {
    const auto Current = Next++;
    ActiveCall &Call = Current->second;
    if (Now >= Call.m_Call.m_Deadline + DeadlineGrace)
      expire(Current->first, Call, Out);
    else
      checkOwner(Current->first, Call, Now, Out);
  }
}

void EdgeCalls::endWithdrawn(
    const std::function<bool(const base::KeyId &)> &IsWithdrawn, Outbox &Out) {
  for (auto Next = m_Calls.begin(); Next != m_Calls.end();) {
    const auto Current = Next++;
    ActiveCall &Call = Current->second;
    if (Call.m_Call.m_Key.empty() || !IsWithdrawn(Call.m_Call.m_Key))
      continue;
    cancelAtOwner(Current->first, Call, Out);
    // A forwarded call may have been executed, so the error kind must not state
    // that it was not.
    const ErrorKind Kind = Call.m_EverForwarded
                               ? errorKindWithoutReply(Call.m_Call)
                               : ErrorKind::KeyWithdrawn;
    fail(Current->first, Call, Kind,
         "the key was withdrawn while the call was in progress",
         Duration::zero());
  }
}

void EdgeCalls::removeCall(std::uint64_t Number) {
  const auto It = m_Calls.find(Number);
  m_ByRequest.erase(It->second.m_Call.m_Request);
  m_Calls.erase(It);
}

std::vector<messages::CallerReply> EdgeCalls::takeReplies() {
  return std::exchange(m_Replies, {});
}

} // namespace psp::entry
