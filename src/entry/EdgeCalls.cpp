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

/// Until the owner has acknowledged a call it is handed over again.
constexpr Duration ResendUnacknowledged = milliseconds(500);

/// An acknowledged call is asked for again, in case its end was lost.
constexpr Duration ResendAcknowledged = seconds(5);

/// Pause after an owner said that it isn't the owner any more.
constexpr Duration MovedPause = milliseconds(50);

/// How long a call waits for an owner to appear before it is refused.
constexpr Duration OwnerWait = seconds(3);

/// The owner enforces the deadline; this instance steps in later than that.
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

/// What a call is answered with when its owner stays silent to the end.
ErrorKind kindOfSilence(const EdgeCall &Call) {
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
  Active &Added = m_Calls[Number];
  Added.m_Step = Call.m_OneOff ? ForwardCall::CREATE : Call.m_Kind;
  Added.m_Call = std::move(Call);
  Added.m_Started = Now;
  Added.m_NextHand = Now;
  ++m_Counters.m_Started;
  checkOwner(Number, Added, Now, Out);
}

EdgeCalls::Active *EdgeCalls::findFrom(std::uint64_t Number,
                                       const InstanceId &From) {
  const auto Found = m_Calls.find(Number);
  if (Found == m_Calls.end())
    return nullptr;
  // What a former owner still sends is late and must not be mixed in.
  Active &Call = Found->second;
  if (!Call.m_Handed || Call.m_Owner.m_Instance != From)
    return nullptr;
  return &Call;
}

void EdgeCalls::hand(std::uint64_t Number, Active &Call, TimePoint Now,
                     Outbox &Out) {
  const bool IsChat = Call.m_Call.m_Chat && Call.m_Call.m_Call.stream();
  // Only a stream has passed bytes on; anything else starts from scratch.
  if (!IsChat)
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
  if (Call.m_EverHanded)
    ++m_Counters.m_HandedAgain;
  Call.m_Handed = true;
  Call.m_EverHanded = true;
  Call.m_NextHand =
      Now + (Call.m_Acknowledged ? ResendAcknowledged : ResendUnacknowledged);
}

void EdgeCalls::handAgainLater(Active &Call, TimePoint Now) {
  Call.m_Handed = false;
  Call.m_Acknowledged = false;
  Call.m_NextHand = Now + MovedPause;
}

void EdgeCalls::checkOwner(std::uint64_t Number, Active &Call, TimePoint Now,
                           Outbox &Out) {
  if (Call.m_Handed && m_Owners.isServing(Call.m_Owner, Now)) {
    if (Now >= Call.m_NextHand)
      hand(Number, Call, Now, Out);
    return;
  }
  const base::ProgramId Program(Call.m_Call.m_Call.program());
  const auto Owner = m_Owners.ownerOf(Program, Now);
  if (!Owner) {
    const bool Waited = Now - Call.m_Started >= OwnerWait;
    if (Waited && !Call.m_EverHanded) {
      fail(Number, Call, ErrorKind::QuorumUnavailable,
           "no instance of the program's data centre can be reached",
           Duration::zero());
    }
    return;
  }
  if (Call.m_Handed)
    handAgainLater(Call, Now - MovedPause);
  if (Now < Call.m_NextHand)
    return;
  Call.m_Owner = *Owner;
  hand(Number, Call, Now, Out);
}

void EdgeCalls::onChunk(const InstanceId &From, const ForwardChunk &Chunk,
                        TimePoint Now, Outbox &Out) {
  Active *Call = findFrom(Chunk.call(), From);
  if (Call == nullptr)
    return;
  if (!Call->m_Acknowledged) {
    Call->m_Acknowledged = true;
    Call->m_NextHand = Now + ResendAcknowledged;
  }
  const std::uint64_t Have = Call->m_Answer.size();
  if (Chunk.offset() > Have) {
    // A piece was lost on the way; ask for the rest from here.
    hand(Chunk.call(), *Call, Now, Out);
    return;
  }
  const std::uint64_t Known = Have - Chunk.offset();
  if (Known < Chunk.data().size())
    passOn(*Call, Chunk.data().substr(Known));
}

void EdgeCalls::passOn(Active &Call, const std::string &Text) {
  Call.m_Answer += Text;
  if (!Call.m_Call.m_Chat || !Call.m_Call.m_Call.stream())
    return;
  beginStream(Call);
  m_Replies.emplace_back(
      StreamPart{.m_Request = Call.m_Call.m_Request,
                 .m_Data = chatChunk(headOf(Call.m_Call), Text)});
}

void EdgeCalls::beginStream(Active &Call) {
  if (Call.m_StreamBegun)
    return;
  Call.m_StreamBegun = true;
  m_Replies.emplace_back(StreamBegin{.m_Request = Call.m_Call.m_Request,
                                     .m_Headers = programHeaders(Call.m_Call)});
}

void EdgeCalls::onEnd(const InstanceId &From, const ForwardEnd &End,
                      TimePoint Now, Outbox &Out) {
  Active *Call = findFrom(End.call(), From);
  if (Call == nullptr)
    return;
  const std::string &Name = End.outcome().error_kind();
  if (Name.empty()) {
    if (Call->m_Step == ForwardCall::CREATE && Call->m_Call.m_OneOff)
      return finishCreated(End.call(), *Call, Now, Out);
    if (End.length() != Call->m_Answer.size())
      return hand(End.call(), *Call, Now, Out);
    return succeed(End.call(), *Call, End, Out);
  }
  const ErrorKind Kind =
      base::errorKindFromName(Name).value_or(ErrorKind::Internal);
  // The owner gave the program up before it sent anything: ask the next one.
  if (Kind == ErrorKind::Stopping)
    return handAgainLater(*Call, Now);
  fail(End.call(), *Call, Kind, End.outcome().detail(),
       milliseconds(End.retry_after_ms()));
}

/// The program of a one-off call stands; now comes the call itself.
void EdgeCalls::finishCreated(std::uint64_t Number, Active &Call, TimePoint Now,
                              Outbox &Out) {
  Call.m_Step = ForwardCall::RUN;
  Call.m_Call.m_Call.set_turn(1);
  Call.m_Acknowledged = false;
  // A new number, so that the owner doesn't take it for the creation.
  Active Moved = std::move(Call);
  m_Calls.erase(Number);
  const std::uint64_t Next = m_NextCall++;
  m_ByRequest[Moved.m_Call.m_Request] = Next;
  Active &Added = m_Calls[Next] = std::move(Moved);
  hand(Next, Added, Now, Out);
}

void EdgeCalls::succeed(std::uint64_t Number, Active &Call,
                        const ForwardEnd &End, Outbox &Out) {
  const EdgeCall &Asked = Call.m_Call;
  const RequestNumber Request = Asked.m_Request;
  auto Headers = programHeaders(Asked);
  if (!End.outcome().durability().empty())
    Headers.push_back({"Durability", End.outcome().durability()});
  const std::uint64_t Used = End.outcome().used_tokens();
  if (Asked.m_Chat && Asked.m_Call.stream()) {
    beginStream(Call);
    m_Replies.emplace_back(StreamPart{.m_Request = Request,
                                      .m_Data = chatEnd(headOf(Asked), Used)});
    m_Replies.emplace_back(StreamEnd{.m_Request = Request, .m_Whole = true});
  } else if (Asked.m_Chat) {
    m_Replies.emplace_back(
        CallerAnswer{.m_Request = Request,
                     .m_Status = 200,
                     .m_ContentType = "application/json",
                     .m_Headers = Headers,
                     .m_Body = chatAnswer(headOf(Asked), Call.m_Answer, Used)});
  } else if (Asked.m_Kind == ForwardCall::CREATE) {
    m_Replies.emplace_back(CallerAnswer{
        .m_Request = Request,
        .m_Status = 201,
        .m_ContentType = "application/json",
        .m_Headers = Headers,
        .m_Body = "{\"program\":\"" + Asked.m_Call.program() + "\"}\n"});
  } else if (Asked.m_Kind == ForwardCall::END) {
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
  if (Asked.m_OneOff) {
    ForwardCall &Message =
        *Out.add(Call.m_Owner.m_Instance).mutable_forward_call();
    Message.set_call(m_NextCall++);
    Message.set_kind(ForwardCall::END);
    Message.set_organisation(Asked.m_Organisation.str());
    Message.mutable_request()->set_program(Asked.m_Call.program());
  }
  ++m_Counters.m_Succeeded;
  forget(Number);
}

void EdgeCalls::fail(std::uint64_t Number, Active &Call, ErrorKind Kind,
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
  forget(Number);
}

void EdgeCalls::expire(std::uint64_t Number, Active &Call, Outbox &Out) {
  cancelAtOwner(Number, Call, Out);
  const ErrorKind Kind = Call.m_EverHanded ? kindOfSilence(Call.m_Call)
                                           : ErrorKind::DeadlineExceeded;
  fail(Number, Call, Kind, "the deadline passed", Duration::zero());
}

void EdgeCalls::cancelAtOwner(std::uint64_t Number, const Active &Call,
                              Outbox &Out) {
  if (!Call.m_Handed)
    return;
  Out.add(Call.m_Owner.m_Instance).mutable_forward_cancel()->set_call(Number);
}

void EdgeCalls::onCallerGone(RequestNumber Request, Outbox &Out) {
  const auto Found = m_ByRequest.find(Request);
  if (Found == m_ByRequest.end())
    return;
  const std::uint64_t Number = Found->second;
  cancelAtOwner(Number, m_Calls.at(Number), Out);
  ++m_Counters.m_CallerGone;
  forget(Number);
}

void EdgeCalls::onTick(TimePoint Now, Outbox &Out) {
  // A call may end, and leave the table, while it is looked at.
  for (auto Next = m_Calls.begin(); Next != m_Calls.end();) {
    const auto Current = Next++;
    Active &Call = Current->second;
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
    Active &Call = Current->second;
    if (Call.m_Call.m_Key.empty() || !IsWithdrawn(Call.m_Call.m_Key))
      continue;
    cancelAtOwner(Current->first, Call, Out);
    // A call that was handed over may have run, which the kind must not deny.
    const ErrorKind Kind = Call.m_EverHanded ? kindOfSilence(Call.m_Call)
                                             : ErrorKind::KeyWithdrawn;
    fail(Current->first, Call, Kind,
         "the key was withdrawn while the call was under way",
         Duration::zero());
  }
}

void EdgeCalls::forget(std::uint64_t Number) {
  const auto Found = m_Calls.find(Number);
  m_ByRequest.erase(Found->second.m_Call.m_Request);
  m_Calls.erase(Found);
}

std::vector<messages::CallerReply> EdgeCalls::takeReplies() {
  return std::exchange(m_Replies, {});
}

} // namespace psp::entry
