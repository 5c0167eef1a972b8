#include "gateway/Call.h"

#include "gateway/EndpointSilence.h"
#include "gateway/Gateway.h"
#include "gateway/MatchingResponse.h"
#include "gateway/RetryTime.h"
#include "metrics/Names.h"
#include "web/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <sys/socket.h>
#include <utility>

namespace psp::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using base::ErrorKind;

namespace {

bool isHopByHopHeader(std::string_view Name) {
  constexpr std::array<std::string_view, 9> Names = {
      "Connection",        "Keep-Alive", "Proxy-Authenticate",
      "Proxy-Connection",  "TE",         "Trailer",
      "Transfer-Encoding", "Upgrade",    "Content-Length"};
  return std::ranges::any_of(Names, [&](std::string_view HopByHopName) {
    return boost::beast::iequals(HopByHopName, Name);
  });
}

constexpr std::string_view ChunkEnd = "\r\n";

std::string chunkHead(std::size_t Bytes) {
  std::array<char, 16> Length{};
  const auto End =
      std::to_chars(Length.data(), Length.data() + Length.size(), Bytes, 16)
          .ptr;
  return std::string(Length.data(), End) + "\r\n";
}

std::string encodeChunk(std::string_view Bytes) {
  std::string Chunk = chunkHead(Bytes.size());
  Chunk += Bytes;
  Chunk += ChunkEnd;
  return Chunk;
}

constexpr std::string_view LastChunk = "0\r\n\r\n";

/// The framing of a body that is forwarded as it arrives, and that an answer to
/// HEAD names for the body that it doesn't have.
std::string bodyFraming(const EndpointChannel &Channel) {
  if (Channel.length())
    return "Content-Length: " + std::to_string(*Channel.length()) + "\r\n";
  return Channel.framing() == ResponseFraming::Chunked
             ? "Transfer-Encoding: chunked\r\n"
             : "";
}

} // namespace

std::string_view outcomeName(SendOutcome Outcome) {
  switch (Outcome) {
  case SendOutcome::Answered:
    return "answered";
  case SendOutcome::NotRun:
    return "not_run";
  case SendOutcome::Unknown:
    return "cut";
  case SendOutcome::Broken:
    return "broken";
  case SendOutcome::Ended:
    return "ended";
  }
  return "unknown";
}

asio::awaitable<void> Call::sendToEndpoints() {
  std::set<std::string> Excluded;
  ServicePlacement &Placement = m_Gateway.placement();
  bool AnyCandidate = false;
  const auto Select = [&] { return selectEndpoint(Excluded); };
  for (std::uint32_t Try = 0; Try < m_Gateway.options().m_MaxTries; ++Try) {
    if (isCancelled())
      break;
    const fleet::EndpointState *Selected = Select();
    if (isAssignedEndpointUnknown()) {
      co_await learnAssignedEndpoint();
      Selected = Select();
    }
    while (!Selected && !AnyCandidate && !m_Software.empty()) {
      const bool MayAppear = co_await awaitVersion();
      Selected = Select();
      if (!MayAppear)
        break;
    }
    if (!Selected || isCancelled())
      break;
    AnyCandidate = true;
    // Copied, since the directory may change while the call waits.
    const fleet::EndpointState Endpoint = *Selected;
    const std::string &Id = Endpoint.id();
    recordStreamAsync(Endpoint);
    if (!co_await maySend()) {
      auto Reason = holdRefusal();
      if (!Reason)
        Reason.emplace(heldTryRefusal());
      if (m_Executions > 0)
        Reason.emplace(ErrorKind::EndpointFailed,
                       "the endpoints that ran the call have failed");
      co_await refuse(std::move(*Reason));
      co_return;
    }
    const bool TwoTries = mayTryTwice();
    if (!TwoTries) // Exchanges count themselves.
      Placement.onSent(Id);
    const TimePoint Start = base::readMonotonic();
    m_CurrentEndpoint = Id;
    m_CurrentAddress = Endpoint.address();
    m_CurrentDataCentre = Endpoint.data_centre();
    m_ConnectionLost = m_Sent = m_LeftSlowEndpoint = false;
    SendOutcome Outcome = SendOutcome::Ended;
    if (TwoTries)
      Outcome = co_await sendWithSecondTry(Endpoint, Excluded);
    else
      Outcome = co_await sendOnce(Endpoint);
    Excluded.insert(Id);
    onSendEnded(Outcome, Endpoint, Start);
    if (Outcome == SendOutcome::Answered) {
      if (m_StreamRecord)
        m_StreamRecord->m_Needed = false;
      co_return;
    }
    if (Outcome == SendOutcome::Broken) {
      if (m_TurnOpen)
        settleTurnAsync(!isCancelled());
      m_KeepAlive = false;
      co_return;
    }
    if (Outcome == SendOutcome::Unknown && !mayRetry()) {
      if (m_TurnOpen)
        settleTurnAsync(true);
      co_await refuse(
          Refusal(ErrorKind::EndpointFailed,
                  "the endpoint accepted the call and then failed"));
      co_return;
    }
  }
  if (m_CallerDisconnected)
    co_return;
  if (isCancelled() && m_ResponseStarted) {
    m_KeepAlive = false;
    co_return;
  }
  if (m_InstanceEnds) {
    m_KeepAlive = false;
    const bool Sent = m_Executions > 0;
    co_await refuse(
        Refusal(Sent ? ErrorKind::OutcomeUnknown : ErrorKind::Stopping,
                "this instance stops before the endpoint has answered",
                Sent ? std::nullopt
                     : std::optional<base::Duration>(EndpointRetryDelay)));
    co_return;
  }
  if (m_DeadlineExpired) {
    co_await refuse(Refusal(m_Executions > 0 ? ErrorKind::DeadlineExceeded
                                             : ErrorKind::Overloaded,
                            "the call's deadline has passed"));
    co_return;
  }
  if (takesUp() && !AnyCandidate &&
      m_Gateway.endpoints().hasUsable(m_Service)) {
    co_await refuse(versionRefusal());
    co_return;
  }
  if (m_OtherWeights > 0 && m_OtherWeights == Excluded.size()) {
    co_await refuse(Refusal(ErrorKind::WeightsUnavailable,
                            "no endpoint that was tried has the weights that "
                            "the request expects",
                            WeightsRetryDelay));
    co_return;
  }
  const bool MayHaveExecuted = m_Executions > 0 && !m_Route->isRepeatable();
  const std::string Detail = AnyCandidate
                                 ? "no endpoint that was tried has capacity"
                                 : noEndpointDetail();
  co_await refuse(Refusal(MayHaveExecuted ? ErrorKind::EndpointFailed
                          : AnyCandidate  ? ErrorKind::Overloaded
                                          : ErrorKind::NoEndpoint,
                          Detail, EndpointRetryDelay));
}

/// Follows up whether the request has ended the endpoint.
void Call::onSendEnded(SendOutcome Outcome,
                       const fleet::EndpointState &Endpoint, TimePoint SentAt) {
  const bool Answered = Outcome == SendOutcome::Answered;
  if (m_ConnectionLost) {
    checkLostCall(LostCall::Kind::Lost, Endpoint, SentAt);
    return;
  }
  HeldRequestTable &HeldRequests = m_Gateway.heldRequests();
  if (Answered && !HeldRequests.empty())
    for (const std::string &Part : HeldRequests.onSuccess(fingerprint()))
      m_Gateway.reportSuccess(Part);
  if (m_Sent && isCancelled() && !Answered && Outcome != SendOutcome::NotRun)
    checkLostCall(LostCall::Kind::Abandoned, Endpoint, SentAt);
}

bool Call::mayRetry() const {
  return m_Route->isRepeatable() && m_Executions < m_Route->m_Attempts &&
         !isCancelled();
}

bool Call::mayRetryNextTry() const {
  return m_Route->isRepeatable() && m_Executions + 1 < m_Route->m_Attempts;
}

/// Sends the call to one endpoint, and counts that there.
asio::awaitable<SendOutcome>
Call::sendOnce(const fleet::EndpointState &Endpoint) {
  ServicePlacement &Placement = m_Gateway.placement();
  const TimePoint Start = base::readMonotonic();
  SendOutcome Outcome = SendOutcome::Ended;
  try {
    Outcome = co_await sendTo(Endpoint);
  } catch (...) {
    Placement.onDone(Endpoint.id(), base::Duration(0), base::readMonotonic());
    throw;
  }
  const bool Success = Outcome == SendOutcome::Answered;
  Placement.onDone(Endpoint.id(),
                   Success ? base::readMonotonic() - Start : base::Duration(0),
                   base::readMonotonic());
  co_return Outcome;
}

asio::awaitable<SendOutcome>
Call::sendTo(const fleet::EndpointState &Endpoint) {
  const std::string &Id = Endpoint.id();
  ServicePlacement &Placement = m_Gateway.placement();
  std::unique_ptr<EndpointChannel> Channel =
      m_Gateway.pool().acquire(Endpoint.address());
  m_Abort = [Raw = Channel.get()] { Raw->abort(); };
  struct TryCleanup {
    Call &m_Call;
    ~TryCleanup() {
      m_Call.m_Abort = nullptr;
      m_Call.stopInactivityChecks();
    }
  } Cleanup{*this};
  // An abort that came earlier had nothing to end.
  if (isCancelled())
    co_return SendOutcome::Ended;
  if (!Channel->isOpen())
    co_await Channel->connect(
        std::min(m_Gateway.options().m_ConnectTimeout, timeLeft()));
  if (!Channel->isOpen()) {
    Placement.onUnreachable(Id, base::readMonotonic());
    m_UnreachableEndpoints.push_back(Id);
    co_return isCancelled() ? SendOutcome::Ended : SendOutcome::NotRun;
  }
  // It may have announced its departure while the connection was established.
  if (!takePlace(Endpoint))
    co_return isCancelled() ? SendOutcome::Ended : SendOutcome::NotRun;
  OutgoingRequest Out =
      m_Gateway.protocol().makeRequest(m_Request,
                                       {.m_EndpointId = Id,
                                        .m_EndpointAddress = Endpoint.address(),
                                        .m_Organisation = organisationName(),
                                        .m_TimeLeft = timeLeft()},
                                       m_EarlierTurns);
  SendRecord Record;
  Record.m_Endpoint = Id;
  Record.m_StartTime = Endpoint.born();
  Record.m_Software = Endpoint.software();
  Record.m_SentAt = base::readMonotonic();
  const bool SentWhole = co_await sendRequest(*Channel, Out);
  // An endpoint may answer before it has read the whole body.
  const bool HasAnswer = !SentWhole && Channel->hasUnread();
  const bool MayHaveBegun = Channel->mayHaveBegun() || HasAnswer;
  if (MayHaveBegun) {
    ++m_Executions;
    m_Sent = true;
  }
  if (!SentWhole && !HasAnswer) {
    logCutRequest(m_Gateway,
                  {.m_RequestId = m_Metadata.m_Id,
                   .m_Endpoint = Id,
                   .m_StartTime = Endpoint.born()},
                  *Channel, isCancelled() || m_LeftSlowEndpoint);
    if (isCancelled())
      co_return SendOutcome::Ended;
    Placement.onFailed(Id);
    m_ConnectionLost = MayHaveBegun && !m_LeftSlowEndpoint;
    co_return MayHaveBegun ? SendOutcome::Unknown : SendOutcome::NotRun;
  }
  m_LastSentAt = Record.m_SentAt;
  m_FirstEventUs = 0;
  if (m_IsTurn)
    scheduleInactivityCheck(Id);
  co_return co_await receiveResponse(std::move(Channel), std::move(Record));
}

/// Waits for the endpoint's response to this call and forwards it.
asio::awaitable<SendOutcome>
Call::receiveResponse(std::unique_ptr<EndpointChannel> Channel,
                      SendRecord Record) {
  const std::string &Id = Record.m_Endpoint;
  ServicePlacement &Placement = m_Gateway.placement();
  ResponseMetadata HeadMetadata;
  const SentRequest Sent = {.m_RequestId = m_Metadata.m_Id,
                            .m_Endpoint = Record.m_Endpoint,
                            .m_StartTime = Record.m_StartTime};
  const bool HasResponse =
      co_await readMatchingHead(m_Gateway, *Channel, Sent, HeadMetadata);
  Record.m_RespondedAt = base::readMonotonic();
  if (!HasResponse) {
    logSend(Record, isCancelled() ? "ended" : "no_answer");
    if (isCancelled())
      co_return SendOutcome::Ended;
    Placement.onFailed(Id);
    m_ConnectionLost = !hasGivenUp(Id);
    co_return SendOutcome::Unknown;
  }
  Placement.onBytesReceived(Id, Record.m_RespondedAt);
  Record.m_Status = Channel->head().result_int();
  Record.m_Framing = Channel->framing();
  m_Gateway.node()
      .metrics()
      .histogram(metrics::names::FirstByteLatency)
      .record(Record.m_RespondedAt - Record.m_SentAt);
  const ResponseJudgement Judgement = judgeResponse(
      Record.m_Status, HeadMetadata, m_Metadata.m_ExpectedWeights);
  if (HeadMetadata.isRefusal()) {
    logSend(Record, judgementName(Judgement));
    --m_Executions;
    if (Judgement == ResponseJudgement::OtherWeights)
      ++m_OtherWeights;
    onNotExecuted(m_Gateway, Sent, Judgement);
    co_return SendOutcome::NotRun;
  }
  const bool Success = Record.m_Status >= 200 && Record.m_Status < 300;
  const bool Unusable = Judgement == ResponseJudgement::Unusable;
  if (Unusable || (Record.m_Status >= 500 && mayRetry())) {
    logSend(Record, Unusable ? "unusable" : "failed");
    co_return SendOutcome::Unknown;
  }
  const bool Streams =
      m_Route->m_Kind == fleet::CallKind::Stream && Success && !isHeadRequest();
  const SendOutcome Outcome = Streams ? co_await forwardStream(*Channel)
                                      : co_await forwardBuffered(*Channel);
  logSend(Record, outcomeName(Outcome));
  m_ConnectionLost =
      !Channel->isComplete() && !isCancelled() && !hasGivenUp(Id);
  if (Channel->isReusable())
    m_Gateway.pool().release(std::move(Channel), HeadMetadata.m_IdleTimeout);
  const bool Failed =
      Outcome == SendOutcome::Unknown || Outcome == SendOutcome::Broken;
  if (Failed && !m_CallerDisconnected)
    Placement.onFailed(Id);
  co_return Outcome;
}

/// Whether this call has abandoned \p Endpoint as unreachable.
bool Call::hasGivenUp(const std::string &Endpoint) const {
  return std::ranges::find(m_UnreachableEndpoints, Endpoint) !=
         m_UnreachableEndpoints.end();
}

void Call::logSend(const SendRecord &Record, std::string_view Outcome) {
  const auto SinceArrival = [this](TimePoint At) {
    return static_cast<std::uint64_t>((At - m_ArrivedAt).count());
  };
  const bool AssignedByHistory = Record.m_Endpoint == m_AssignedEndpoint;
  m_Gateway.node().log().write(
      "request_sent",
      {{"request", m_Metadata.m_Id},
       {"route", m_Route->m_Name},
       {"priority", priority()},
       {"organisation", organisationName()},
       {"program", m_Metadata.m_Program},
       {"endpoint", Record.m_Endpoint},
       {"software", Record.m_Software},
       {"placed_by", AssignedByHistory ? "history" : "instance"},
       {"try", m_Executions},
       {"attempts", m_Route->m_Attempts},
       {"sent_us", SinceArrival(Record.m_SentAt)},
       {"answered_us", SinceArrival(Record.m_RespondedAt)},
       {"done_us", SinceArrival(base::readMonotonic())},
       {"framing", Record.m_Framing ? framingName(*Record.m_Framing) : "none"},
       {"events", m_Events},
       {"tokens", m_Tokens},
       {"event_gap_us", m_EventGapUs},
       {"status", Record.m_Status},
       {"outcome", Outcome}});
}

void Call::scheduleInactivityCheck(const std::string &Endpoint) {
  if (!m_InactivityMonitor)
    m_InactivityMonitor.emplace(base::readMonotonic());
  m_InactivityTimer.expires_at(m_InactivityMonitor->nextCheckAt());
  m_InactivityTimer.async_wait([Self = shared_from_this(),
                                Endpoint](boost::system::error_code Cancelled) {
    if (Cancelled || Self->m_Finished || !Self->m_InactivityMonitor)
      return;
    ServicePlacement &Placement = Self->m_Gateway.placement();
    // A slow caller keeps this instance from reading the endpoint's bytes.
    if (Self->m_WritingToCaller)
      Self->m_InactivityMonitor->restart(base::readMonotonic());
    const base::TimePoint LastReceivedAt = Placement.lastReceivedAt(Endpoint);
    if (!Self->m_InactivityMonitor->check(LastReceivedAt,
                                          base::readMonotonic())) {
      Self->scheduleInactivityCheck(Endpoint);
      return;
    }
    Placement.onSilent(Endpoint, base::readMonotonic());
    web::spawn(
        Self->m_Gateway.io().get_executor(), "probe_silent_endpoint", Self,
        [Endpoint](Call &Held) { return Held.probeSilentEndpoint(Endpoint); });
  });
}

/// Finds out by a new connection whether \p Endpoint has paused or is lost.
asio::awaitable<void> Call::probeSilentEndpoint(std::string Endpoint) {
  const base::TimePoint LastReceivedAt =
      m_Gateway.placement().lastReceivedAt(Endpoint);
  const Reachability Shown = co_await m_Gateway.probeEndpoint(m_CurrentAddress);
  // The call may have ended or received bytes during the probe.
  if (m_Finished || !m_InactivityMonitor || m_CurrentEndpoint != Endpoint)
    co_return;
  const TimePoint Now = base::readMonotonic();
  const EndpointSilence Silence = {
      .m_Connection = Shown,
      .m_Length = m_InactivityMonitor->silentFor(LastReceivedAt, Now),
      .m_DataCentreSilent =
          m_Gateway.node().isDataCentreSilent(m_CurrentDataCentre),
      .m_CanRetry = mayRetry() && !m_ResponseStarted};
  const bool HeardAgain =
      m_Gateway.placement().lastReceivedAt(Endpoint) != LastReceivedAt;
  const SilenceStep Step =
      HeardAgain
          ? SilenceStep::Wait
          : nextSilenceStep(Silence, m_Gateway.options().m_MaxEndpointPause);
  m_Gateway.node().log().write(
      "endpoint_silent",
      {{"request", m_Metadata.m_Id},
       {"endpoint", Endpoint},
       {"reachable", reachabilityName(Shown)},
       {"silent_us", static_cast<std::uint64_t>(Silence.m_Length.count())},
       {"data_centre_silent", Silence.m_DataCentreSilent ? "yes" : "no"},
       {"abandoned", Step == SilenceStep::Abandon ? "yes" : "no"}});
  if (Step != SilenceStep::Abandon) {
    if (Step == SilenceStep::Wait)
      m_InactivityMonitor->restart(Now);
    scheduleInactivityCheck(Endpoint);
    co_return;
  }
  m_Gateway.placement().onUnreachable(Endpoint, base::readMonotonic());
  m_UnreachableEndpoints.push_back(Endpoint);
  abort();
}

void Call::stopInactivityChecks() {
  m_InactivityMonitor.reset();
  m_InactivityTimer.cancel();
}

/// Buffers the response before its first byte is forwarded, so that the call
/// can still be retried if the response is incomplete. One for which there is
/// no memory is forwarded as it arrives.
asio::awaitable<SendOutcome> Call::forwardBuffered(EndpointChannel &Channel) {
  if (!isHeadRequest() && Channel.length().value_or(0) > MaxResponseBytes) {
    logEndlessResponse(m_Gateway, m_Metadata.m_Id, m_CurrentEndpoint,
                       *Channel.length());
    Channel.abort();
    co_return SendOutcome::Unknown;
  }
  CallMemory::Hold Held(m_Gateway.callMemory());
  std::string Body;
  // Memory that isn't written to isn't used, so an announcement takes none.
  const bool LengthKnown = Channel.length() && !isHeadRequest();
  if (LengthKnown)
    Body.reserve(*Channel.length());
  while (true) {
    const std::string_view Bytes = co_await Channel.readSome();
    if (Bytes.empty())
      break;
    Body += Bytes;
    if (Body.size() > MaxResponseBytes) {
      logEndlessResponse(m_Gateway, m_Metadata.m_Id, m_CurrentEndpoint,
                         Body.size());
      Channel.abort();
      co_return SendOutcome::Unknown;
    }
    // A string that grows has up to twice the capacity that it needs.
    if (!Held.growTo(LengthKnown ? Body.size() : 2 * Body.size()))
      co_return co_await forwardUnbuffered(Channel, std::move(Body),
                                           std::move(Held));
  }
  co_return co_await forwardBody(Channel, std::move(Body));
}

/// Forwards a response whose body has been read whole.
asio::awaitable<SendOutcome> Call::forwardBody(EndpointChannel &Channel,
                                               std::string Body) {
  if (!co_await confirmEnd(Channel))
    co_return isCancelled() ? SendOutcome::Ended : SendOutcome::Unknown;
  const std::string Head = startResponse(
      Channel, isHeadRequest()
                   ? bodyFraming(Channel)
                   : "Content-Length: " + std::to_string(Body.size()) + "\r\n");
  if (!co_await write(Head, Body))
    co_return SendOutcome::Broken;
  setResetOnClose(false);
  co_return SendOutcome::Answered;
}

/// Forwards a response of which \p Begin has been read. The caller's connection
/// ends with it if it doesn't end whole.
asio::awaitable<SendOutcome> Call::forwardUnbuffered(EndpointChannel &Channel,
                                                     std::string Begin,
                                                     CallMemory::Hold Held) {
  const bool Chunked = Channel.framing() == ResponseFraming::Chunked;
  std::uint64_t Size = Begin.size();
  std::string Out = startResponse(Channel, bodyFraming(Channel));
  if (Chunked)
    Out += chunkHead(Begin.size());
  if (!co_await write(Out, Begin))
    co_return SendOutcome::Broken;
  std::string().swap(Begin);
  Held.shrinkTo(0); // Only pieces are held from here on.
  Out = Chunked ? ChunkEnd : "";
  while (true) {
    if (!co_await write(Out))
      co_return SendOutcome::Broken;
    const std::string_view Bytes = co_await Channel.readSome();
    if (Bytes.empty())
      break;
    Size += Bytes.size();
    if (Size > MaxResponseBytes) {
      logEndlessResponse(m_Gateway, m_Metadata.m_Id, m_CurrentEndpoint, Size);
      Channel.abort();
      co_return SendOutcome::Broken;
    }
    Out = Chunked ? encodeChunk(Bytes) : std::string(Bytes);
  }
  const bool Ended = co_await confirmEnd(Channel);
  if (!Ended || (Chunked && !co_await write(LastChunk)))
    co_return SendOutcome::Broken;
  setResetOnClose(false);
  co_return SendOutcome::Answered;
}

asio::awaitable<SendOutcome> Call::forwardStream(EndpointChannel &Channel) {
  if (recordsEvents())
    m_EventStream.emplace(m_EarlierEvents);
  else
    m_EventStream.emplace(m_Route->m_RetainsTurns);
  EventStream &Events = *m_EventStream;
  CallMemory::Hold Held(m_Gateway.callMemory());
  const fleet::ServiceSpec *Service = m_RouteTable->service(m_Service);
  const std::uint64_t TokensPerEvent = Service ? Service->m_TokensPerEvent : 1;
  const bool Chunked = Channel.framing() != ResponseFraming::UntilClose;
  const auto Head = [&] {
    return m_ResponseStarted
               ? std::string()
               : startResponse(Channel, "Transfer-Encoding: chunked\r\n");
  };
  std::optional<TimePoint> FirstAt;
  TimePoint LastAt;
  while (true) {
    const std::string_view Bytes = co_await Channel.readSome();
    if (Bytes.empty())
      break;
    Events.feed(Bytes);
    const bool HasRoom = Held.growTo(2 * Events.bufferedBytes());
    const std::uint64_t StartedEvents =
        Events.eventCount() + (Events.isBetweenEvents() ? 0 : 1);
    // Otherwise it would be forwarded until the caller disconnects, and beyond
    // the turn's budget.
    if (Events.isOverlong() || !HasRoom ||
        exceedsMaxTokens(StartedEvents * TokensPerEvent)) {
      m_Gateway.node().log().write(
          "endpoint_overran",
          {{"request", m_Metadata.m_Id},
           {"endpoint", m_CurrentEndpoint},
           {"tokens", StartedEvents * TokensPerEvent},
           {"most", m_Metadata.m_MaxTokens},
           {"overlong_event", Events.isOverlong() ? "yes" : "no"},
           {"held_bytes", Held.bytes()},
           {"has_room", HasRoom ? "yes" : "no"}});
      Channel.abort();
      co_return m_ResponseStarted ? SendOutcome::Broken : SendOutcome::Unknown;
    }
    m_Tokens = StartedEvents * TokensPerEvent;
    m_Events = Events.eventCount();
    LastAt = base::readMonotonic();
    m_Gateway.placement().onBytesReceived(m_CurrentEndpoint, LastAt);
    if (!FirstAt) {
      FirstAt = LastAt;
      m_FirstEventUs =
          static_cast<std::uint32_t>((LastAt - m_LastSentAt).count());
    }
    if (!m_ResponseStarted && !co_await awaitStreamRecord()) {
      Channel.abort();
      co_return SendOutcome::Unknown;
    }
    m_WritingToCaller = true;
    std::string Out = Head();
    Out += Chunked ? encodeChunk(Bytes) : std::string(Bytes);
    const bool Written = co_await write(Out);
    m_WritingToCaller = false;
    if (!Written)
      co_return SendOutcome::Broken;
  }
  stopInactivityChecks();
  if (FirstAt && Events.eventCount() > 1)
    m_EventGapUs = static_cast<std::uint32_t>(
        (LastAt - *FirstAt).count() /
        static_cast<std::int64_t>(Events.eventCount() - 1));
  // Only the rest of a stream that is taken up may be empty.
  const bool Empty =
      !Chunked && Events.eventCount() == 0 && m_Metadata.m_LastEventId.empty();
  if (Channel.isComplete() && (!Events.isBetweenEvents() || Empty)) {
    m_Gateway.node().log().write("stream_ended_inside_event",
                                 {{"request", m_Metadata.m_Id},
                                  {"endpoint", m_CurrentEndpoint},
                                  {"events", Events.eventCount()}});
    Channel.markIncomplete();
  }
  if (!co_await confirmEnd(Channel)) {
    if (m_ResponseStarted)
      co_return SendOutcome::Broken;
    co_return isCancelled() ? SendOutcome::Ended : SendOutcome::Unknown;
  }
  if (m_IsTurn && m_Route->m_RetainsTurns && !co_await recordTurn())
    co_return SendOutcome::Broken;
  std::string End = Head();
  if (Chunked)
    End += LastChunk;
  if (!co_await write(End))
    co_return SendOutcome::Broken;
  renewOldRecord();
  setResetOnClose(false);
  co_return SendOutcome::Answered;
}

asio::awaitable<bool> Call::confirmEnd(EndpointChannel &Channel) {
  if (!Channel.isComplete() || Channel.framing() != ResponseFraming::UntilClose)
    co_return Channel.isComplete();
  const TimePoint EndedAt = base::readMonotonic();
  const bool Running =
      co_await m_Gateway.isRunning(m_CurrentAddress, timeLeft());
  m_Gateway.node().log().write(
      "unframed_response_ended",
      {{"request", m_Metadata.m_Id},
       {"endpoint", m_CurrentEndpoint},
       {"events", m_Events},
       {"endpoint_runs", Running ? "yes" : "no"},
       {"ended_us_ago", static_cast<std::uint64_t>(
                            (base::readMonotonic() - EndedAt).count())}});
  if (!Running)
    Channel.markIncomplete();
  co_return Running;
}

std::string Call::startResponse(const EndpointChannel &Channel,
                                const std::string &Framing) {
  m_ResponseStarted = true;
  if (Channel.framing() != ResponseFraming::UntilClose)
    return formatHead(Channel.head(), Framing);
  m_KeepAlive = false;
  setResetOnClose(true);
  return formatHead(Channel.head(), "");
}

void Call::setResetOnClose(bool Enable) {
  if (std::exchange(m_ResetOnClose, Enable) == Enable)
    return;
  const linger Value = {.l_onoff = Enable ? 1 : 0, .l_linger = 0};
  // Asio's own option is undone when a socket is destroyed.
  if (::setsockopt(m_CallerSocket.native_handle(), SOL_SOCKET, SO_LINGER,
                   &Value, sizeof(Value)) != 0)
    m_Gateway.node().log().write(
        "linger_not_set",
        {{"request", m_Metadata.m_Id}, {"error", std::strerror(errno)}});
}

/// Whether \p Tokens are more than the turn may generate, counting the tokens
/// of its last event in full.
bool Call::exceedsMaxTokens(std::uint64_t Tokens) const {
  const fleet::ServiceSpec *Service = m_RouteTable->service(m_Service);
  return m_IsTurn && m_Metadata.m_MaxTokens > 0 && Service &&
         Tokens >= m_Metadata.m_MaxTokens +
                       std::uint64_t{2} * Service->m_TokensPerEvent;
}

std::string Call::formatHead(const ResponseHead &Head,
                             const std::string &Framing) const {
  std::string Text = "HTTP/1.1 " + std::to_string(Head.result_int()) + " " +
                     std::string(Head.reason()) + "\r\n";
  for (const auto &Field : Head) {
    if (isHopByHopHeader(Field.name_string()))
      continue;
    Text += Field.name_string();
    Text += ": ";
    Text += Field.value();
    Text += "\r\n";
  }
  Text += Framing;
  if (const std::string Stated = statedIdleTime(); !Stated.empty())
    Text += "Keep-Alive: " + Stated + "\r\n";
  Text += m_KeepAlive ? "Connection: keep-alive\r\n\r\n"
                      : "Connection: close\r\n\r\n";
  return Text;
}

} // namespace psp::gateway
