#include "gateway/Call.h"

#include "fleet/RequestFingerprint.h"
#include "gateway/Gateway.h"
#include "gateway/RateAdmission.h"
#include "gateway/RetryTime.h"
#include "gateway/TransferWatch.h"
#include "metrics/Names.h"
#include "web/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <sys/socket.h>
#include <utility>

namespace psp::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using base::ErrorKind;
using messages::fleet::Reply;

namespace {

/// For a late copy of a turn that has ended: the time until another leader may
/// have a newer state of the turn.
constexpr base::Duration LateCopyRetryDelay = base::milliseconds(600);
/// Timeout for a part of the turns before a call's, which may wait behind parts
/// for others.
constexpr base::Duration ChainPartTimeout = base::seconds(1);
constexpr base::Duration RateRetryDelay = base::milliseconds(500);
/// A call with less time left than this can't be served before its deadline.
constexpr base::Duration MinTimeLeft = base::milliseconds(5);
/// Timeout for permission to send a held request: a commit of the control
/// group.
constexpr base::Duration HoldRequestTimeout = base::seconds(1);
/// Timeout of each request that decides whether a call is within the rate.
constexpr base::Duration RateRequestTimeout = base::milliseconds(250);
/// Events with a longer text are not recorded for a caller that takes the
/// stream up.
constexpr std::size_t MaxRecordedEventsBytes = 1U << 20U;

} // namespace

Call::Call(Gateway &Owner, tcp::socket &Caller, Request Received,
           CallMemory::Hold Held, ConnectionUse Use)
    : m_Gateway(Owner), m_CallerSocket(Caller), m_Request(std::move(Received)),
      m_Held(std::move(Held)), m_Use(Use),
      m_KeepAlive(Use != ConnectionUse::Close),
      m_IdleLimit(Owner.idleLimit().current()),
      m_RouteTable(Owner.routeTable()), m_ArrivedAt(base::readMonotonic()),
      m_Deadline(m_ArrivedAt), m_DeadlineTimer(Owner.io()),
      m_InactivityTimer(Owner.io()) {}

asio::awaitable<bool> Call::run() {
  struct Registration {
    Gateway &m_Gateway;
    std::uint64_t m_Id;
    ~Registration() { m_Gateway.removeCall(m_Id); }
  };
  const Registration Registered{m_Gateway, m_Gateway.addCall([this] {
                                  m_InstanceEnds = true;
                                  abort();
                                })};
  if (const auto Failure = co_await web::catchFailure(handle())) {
    const auto Unanswered = co_await web::catchFailure(answerFailure(Failure));
    if (Unanswered)
      web::reportFailure(m_Gateway.io().get_executor(), "answer_failed_call",
                         Unanswered);
  }
  m_Finished = true;
  metrics::Registry &Metrics = m_Gateway.node().metrics();
  Metrics
      .counter(metrics::names::CallsEnded,
               {{"outcome", m_CallerDisconnected ? "caller_left"
                            : m_Refused          ? "refused"
                                                 : "answered"}})
      .add();
  Metrics
      .histogram(metrics::names::CallLatency,
                 {{metrics::names::OrganisationLabel, organisationName()},
                  {metrics::names::ServiceLabel, m_Service}})
      .record(base::readMonotonic() - m_ArrivedAt);
  if (m_Waited)
    count("waited");
  m_DeadlineTimer.cancel();
  if (m_TurnOpen)
    settleTurnAsync(false);
  boost::system::error_code Ignored; // Only ends watchForDisconnect().
  if (m_ResetOnClose)
    m_CallerSocket.close(Ignored); // A shutdown would state the end.
  else if (m_CallerSocket.is_open())
    m_CallerSocket.cancel(Ignored);
  co_return m_KeepAlive && !m_CallerDisconnected;
}

/// Answers a call whose handling has thrown, if the caller has no byte of a
/// response, and closes the connection.
asio::awaitable<void> Call::answerFailure(std::exception_ptr Failure) {
  m_KeepAlive = false;
  m_Gateway.node().log().write("call_failed",
                               {{"request", m_Metadata.m_Id},
                                {"reason", web::describeException(Failure)}});
  if (!m_ResponseStarted)
    co_await refuse(
        Refusal(ErrorKind::Internal, "the call could not be handled"));
}

asio::awaitable<void> Call::handle() {
  m_Metadata = m_Gateway.protocol().parseCall(m_Request);
  if (m_Gateway.isClosing()) {
    closeIfIdle();
    co_await refuse(Refusal(ErrorKind::Stopping, "this instance is stopping",
                            EndpointRetryDelay));
    co_return;
  }
  if (!m_RouteTable)
    m_RouteTable = co_await m_Gateway.waitForRouteTable(
        m_Metadata.m_TimeLeft.value_or(base::Duration::max()));
  if (auto Reason = checkRoute()) {
    co_await refuse(std::move(*Reason));
    co_return;
  }
  count("asked");
  m_Deadline =
      m_ArrivedAt + std::min(m_Metadata.m_TimeLeft.value_or(m_Route->m_Timeout),
                             m_Route->m_Timeout);
  if (timeLeft() < MinTimeLeft) {
    co_await refuse(Refusal(ErrorKind::Overloaded,
                            "the caller's deadline has already passed"));
    co_return;
  }
  if (mayOutliveInstance()) {
    closeIfIdle();
    co_await refuse(Refusal(ErrorKind::Stopping,
                            "this instance stops before the call's deadline",
                            EndpointRetryDelay));
    co_return;
  }
  armDeadline();
  watchForDisconnect();
  if (auto Reason = holdRefusal()) {
    co_await refuse(std::move(*Reason));
    co_return;
  }
  if (mayTryHeldPath()) {
    // Asked before the earlier turn is looked up and a slot is taken.
    const bool MaySend = co_await maySend();
    if (!MaySend) {
      co_await refuse(heldTryRefusal());
      co_return;
    }
  }
  if (auto Reason = placeRefusal()) {
    co_await refuse(std::move(*Reason));
    co_return;
  }
  if (m_Organisation) {
    if (auto Reason = co_await takeRateToken()) {
      co_await refuse(std::move(*Reason));
      co_return;
    }
  }
  if (!m_Metadata.m_Program.empty())
    m_Gateway.programs().recordCall(m_Metadata.m_Program,
                                    base::readMonotonic());
  m_IsTurn = m_Route->m_Kind == fleet::CallKind::Stream &&
             m_Metadata.m_TokenBudget.has_value();
  if (m_IsTurn) {
    if (auto Reason = co_await beginTurn()) {
      co_await refuse(std::move(*Reason));
      co_return;
    }
  } else if (takesUp()) {
    if (auto Reason = co_await findStream()) {
      co_await refuse(std::move(*Reason));
      co_return;
    }
  }
  co_await sendToEndpoints();
}

std::optional<Refusal> Call::checkRoute() {
  if (!m_RouteTable)
    return Refusal(ErrorKind::QuorumUnavailable,
                   "no configuration is known yet",
                   m_Gateway.retryDelayWithoutLeader());
  const std::string_view Target = m_Request.target();
  m_Route =
      m_RouteTable->find(m_Metadata.m_Host, Target.substr(0, Target.find('?')));
  if (!m_Route)
    return Refusal(ErrorKind::NotFound, "no route matches the host and path");
  if (!m_RouteTable->configuration().m_Organisations.empty() &&
      !m_Route->m_Public) {
    m_Organisation = m_RouteTable->organisationOf(m_Metadata.m_Key);
    if (!m_Organisation)
      return Refusal(ErrorKind::Unauthenticated,
                     "the key belongs to no organisation");
  }
  m_Service = fleet::RouteTable::pickService(*m_Route, m_Gateway.randomUnit());
  return std::nullopt;
}

/// Empty if the request is not held, or its hold has ended.
std::optional<Refusal> Call::holdRefusal() {
  if (!m_Gateway.heldRequests().isHolding())
    return std::nullopt;
  const auto Left =
      m_Gateway.heldRequests().holdLeft(fingerprint(), base::readMonotonic());
  if (!Left || *Left == base::Duration(0) || mayTryHeldPath())
    return std::nullopt;
  return Refusal(ErrorKind::RequestHeld,
                 "this request has ended several endpoints that ran it; it is "
                 "kept from endpoints for a time",
                 std::max<base::Duration>(*Left, MinHoldRetryDelay));
}

Refusal Call::heldTryRefusal() const {
  return {ErrorKind::RequestHeld,
          "another call is trying whether this request still ends endpoints",
          std::max(MinHoldRetryDelay, m_HeldPathWait)};
}

bool Call::mayTryHeldPath() {
  return m_Gateway.heldRequests().isHolding() && m_Route->m_RetainsTurns &&
         m_Metadata.m_TokenBudget.has_value() &&
         !m_Metadata.m_PreviousTurn.empty() &&
         m_Gateway.heldRequests().isOnlyPathHeld(fingerprint());
}

/// Whether the request may be sent now. After a hold, the control leader lets
/// one call try it, at one endpoint.
asio::awaitable<bool> Call::maySend() {
  if (!m_Gateway.heldRequests().isHolding())
    co_return true;
  if (m_MayTryHeld)
    co_return m_Executions == 0;
  const auto Left =
      m_Gateway.heldRequests().holdLeft(fingerprint(), base::readMonotonic());
  if (!Left)
    co_return true;
  const bool BeforeEnd = *Left > base::Duration(0);
  if (BeforeEnd && !mayTryHeldPath())
    co_return false;
  messages::fleet::Request LeaderRequest;
  LeaderRequest.mutable_try_held()->set_continues_turn(BeforeEnd);
  LeaderRequest.mutable_try_held()->set_fingerprint(
      m_Gateway.heldRequests().heldPart(fingerprint()));
  const auto LeaderReply = co_await m_Gateway.requestFromLeader(
      messages::fleet::NODE_CONTROL, LeaderRequest,
      std::min<base::Duration>(HoldRequestTimeout, timeLeft()));
  m_MayTryHeld =
      LeaderReply && LeaderReply->kind() == messages::fleet::REPLY_OK;
  if (LeaderReply)
    m_HeldPathWait = base::milliseconds(LeaderReply->wait_ms());
  co_return m_MayTryHeld;
}

asio::awaitable<std::optional<Refusal>> Call::takeRateToken() {
  RateAdmission Admission(
      m_Gateway.rates(), m_Gateway.programs(), *m_Organisation,
      {.m_Program = m_Metadata.m_Program,
       .m_NamesNoEarlierTurn = m_Metadata.m_TokenBudget.has_value() &&
                               m_Metadata.m_PreviousTurn.empty()});
  RateStep Step = Admission.start(base::readMonotonic());
  while (Step == RateStep::RequestTokens || Step == RateStep::FindProgram) {
    if (Step == RateStep::FindProgram) {
      const bool HasBegun = co_await hasProgramBegun();
      Step = Admission.onProgram(HasBegun, base::readMonotonic());
    } else {
      const std::optional<Reply> Granted =
          co_await requestRateTokens(Admission);
      Step = Granted
                 ? Admission.onTokens(Granted->count(), base::readMonotonic(),
                                      base::milliseconds(Granted->wait_ms()))
                 : Admission.onTokens(std::nullopt, base::readMonotonic());
    }
  }
  m_BeginsProgram = Admission.beginsProgram();
  if (Step != RateStep::Pass) {
    const bool IsTold = Admission.retryAfter() > base::Duration(0);
    const base::Duration RetryAfter =
        IsTold ? Admission.retryAfter() : RateRetryDelay;
    co_return Refusal(ErrorKind::RateLimited,
                      "the organisation's rate limit is exhausted", RetryAfter);
  }
  if (Admission.waitForToken() > base::Duration(0)) {
    m_Waited = true;
    co_await m_Gateway.pause(Admission.waitForToken());
    if (isCancelled())
      co_return Refusal(ErrorKind::Overloaded,
                        "the call ended before its token was due");
  }
  co_return std::nullopt;
}

/// The control leader's reply; empty if none replied.
asio::awaitable<std::optional<Reply>>
Call::requestRateTokens(const RateAdmission &Admission) {
  messages::fleet::Request LeaderRequest;
  LeaderRequest.mutable_tokens()->set_organisation(m_Organisation->m_Name);
  LeaderRequest.mutable_tokens()->set_new_program(Admission.beginsProgram());
  LeaderRequest.mutable_tokens()->set_count(Admission.tokensToRequest());
  LeaderRequest.mutable_placement()->set_priority(priority());
  LeaderRequest.mutable_placement()->set_route(m_Route->m_Name);
  auto &Begin = *LeaderRequest.mutable_begin();
  Begin.set_program(m_Metadata.m_Program);
  Begin.set_time_left_ms(base::wholeMilliseconds(timeLeft()));
  describeProgramTime(Begin);
  const auto LeaderReply = co_await m_Gateway.requestFromLeader(
      messages::fleet::NODE_CONTROL, LeaderRequest,
      std::min(RateRequestTimeout, timeLeft()));
  co_return LeaderReply;
}

void Call::describeProgramTime(messages::fleet::BeginTurn &Begin) const {
  if (!m_Metadata.m_ProgramTimeLeft)
    return;
  Begin.set_has_program_left(true);
  Begin.set_program_left_ms(static_cast<std::uint32_t>(
      base::wholeMilliseconds(*m_Metadata.m_ProgramTimeLeft)));
}

/// Whether the program's history group knows a turn of it. No reply counts as
/// no.
asio::awaitable<bool> Call::hasProgramBegun() {
  const auto Group =
      m_Gateway.groupOf(organisationName(), m_Metadata.m_Program);
  if (!Group)
    co_return false;
  messages::fleet::Request LeaderRequest;
  LeaderRequest.set_group(*Group);
  LeaderRequest.mutable_find()->set_organisation(organisationName());
  LeaderRequest.mutable_find()->set_program(m_Metadata.m_Program);
  const auto LeaderReply = co_await m_Gateway.requestFromLeader(
      messages::fleet::NODE_HISTORY, LeaderRequest,
      std::min(RateRequestTimeout, timeLeft()));
  co_return LeaderReply && LeaderReply->kind() == messages::fleet::REPLY_OK;
}

/// Reserves the turn's tokens and fetches the text of the turns before it.
asio::awaitable<std::optional<Refusal>> Call::beginTurn() {
  if (takesUp() && !namesStream()) {
    std::optional<Refusal> Reason = co_await findOnlyVersion();
    if (Reason)
      co_return Reason;
  }
  const auto Group =
      m_Gateway.groupOf(organisationName(), m_Metadata.m_Program);
  if (!Group)
    co_return Refusal(ErrorKind::QuorumUnavailable,
                      "the history groups are not known yet",
                      m_Gateway.retryDelayWithoutLeader());
  messages::fleet::Request LeaderRequest;
  LeaderRequest.set_group(*Group);
  auto &Begin = *LeaderRequest.mutable_begin();
  Begin.set_turn(m_Metadata.m_Id);
  Begin.set_organisation(organisationName());
  Begin.set_program(m_Metadata.m_Program);
  Begin.set_budget(*m_Metadata.m_TokenBudget);
  Begin.set_most(m_Metadata.m_MaxTokens);
  if (m_Route->m_RetainsTurns)
    Begin.set_previous(m_Metadata.m_PreviousTurn);
  Begin.set_retention_ms(base::wholeMilliseconds(m_Route->m_Retention));
  Begin.set_time_left_ms(base::wholeMilliseconds(timeLeft()));
  Begin.set_service(m_Service);
  Begin.set_prompt_prefix(m_Metadata.m_PromptPrefix);
  describeStream(Begin);
  if (m_Route->m_RetainsTurns && !m_Metadata.m_LastEventId.empty())
    if (auto Reason = co_await readEarlierEvents(*Group))
      co_return Reason;
  describeProgramTime(Begin);
  LeaderRequest.set_chain_in_parts(true);
  LeaderRequest.set_prompt_tokens(m_Metadata.m_PromptTokens);
  describePlacement(*LeaderRequest.mutable_placement());
  m_Gateway.endpoints().forEachUsable(
      m_Service, [&](const fleet::EndpointState &Endpoint) {
        if (m_Gateway.pool().hasIdle(Endpoint.address()))
          LeaderRequest.add_connected(Endpoint.id());
      });
  m_TurnOpen = true;
  std::optional<Reply> LeaderReply;
  const TimePoint WaitDeadline =
      base::readMonotonic() +
      std::min(m_Gateway.leaderWaitTimeout(*Group), timeLeft());
  // A busy reply without a wait time means that the turn stays in the leader's
  // queue and the request is to be sent again.
  bool SendAgain = false;
  do {
    m_SlotAskedAt = base::readMonotonic();
    LeaderReply = co_await m_Gateway.requestFromLeader(
        messages::fleet::NODE_HISTORY, LeaderRequest,
        WaitDeadline - base::readMonotonic());
    SendAgain = LeaderReply &&
                LeaderReply->kind() == messages::fleet::REPLY_BUSY &&
                LeaderReply->wait_ms() == 0;
    m_Waited = m_Waited || SendAgain;
    if (LeaderReply &&
        LeaderReply->kind() == messages::fleet::REPLY_NO_ENGINE) {
      if (!LeaderReply->software().empty())
        m_Software = LeaderReply->software();
      do {
        SendAgain = co_await awaitVersion();
      } while (SendAgain && !isVersionKnown());
    }
  } while (SendAgain && !isCancelled() && base::readMonotonic() < WaitDeadline);
  if (!LeaderReply || LeaderReply->kind() == messages::fleet::REPLY_UNAVAILABLE)
    co_return Refusal(ErrorKind::QuorumUnavailable,
                      "no leader of history answered",
                      m_Gateway.retryDelayWithoutLeader());
  if (LeaderReply->kind() == messages::fleet::REPLY_OK) {
    m_Gateway.node()
        .metrics()
        .histogram(metrics::names::BeginLatency)
        .record(base::readMonotonic() - m_ArrivedAt);
    const std::uint64_t ChainBytes = std::max<std::uint64_t>(
        LeaderReply->chain_bytes(), LeaderReply->text().size());
    if (!m_Held.growTo(m_Held.bytes() + ChainBytes))
      co_return Refusal(ErrorKind::Overloaded,
                        "there is no memory for the turns before this one",
                        m_Gateway.callMemory().retryDelay());
    m_EarlierTurns = std::move(*LeaderReply->mutable_text());
    m_AssignedEndpoint = LeaderReply->endpoint();
    m_AssignedBorn = LeaderReply->engine_born();
    onStreamFound(*LeaderReply);
    // A leader with earlier software doesn't know of versions.
    if (takesUp() && m_Software.empty())
      co_return takeUpRefusal(ErrorKind::StreamUnknown);
    m_SoftwareFixed = !LeaderReply->software().empty();
    if (m_EarlierTurns.size() < ChainBytes)
      co_return co_await readEarlierTurns(*Group, ChainBytes);
    co_return std::nullopt;
  }
  m_TurnOpen = false;
  if (LeaderReply->kind() == messages::fleet::REPLY_BUSY)
    co_return Refusal(
        ErrorKind::Overloaded,
        "the engines are full or history is busy, and the turn was "
        "not admitted",
        LeaderReply->wait_ms() > 0 ? base::milliseconds(LeaderReply->wait_ms())
                                   : EndpointRetryDelay);
  if (LeaderReply->kind() == messages::fleet::REPLY_STREAM_UNKNOWN)
    co_return takeUpRefusal(ErrorKind::StreamUnknown);
  if (LeaderReply->kind() == messages::fleet::REPLY_NO_ENGINE)
    co_return versionRefusal();
  if (LeaderReply->kind() == messages::fleet::REPLY_BUDGET_SPENT)
    co_return Refusal(ErrorKind::BudgetExceeded,
                      "the program's token budget is exhausted");
  if (LeaderReply->kind() == messages::fleet::REPLY_NO_SUCH_TURN)
    co_return Refusal(ErrorKind::NotFound,
                      "the organisation has no such previous turn");
  co_return Refusal(ErrorKind::QuorumUnavailable,
                    "the turn has already started and ended",
                    LateCopyRetryDelay);
}

asio::awaitable<std::optional<Refusal>>
Call::readEarlierTurns(std::uint32_t Group, std::uint64_t Bytes) {
  messages::fleet::Request LeaderRequest;
  LeaderRequest.set_group(Group);
  auto &Wanted = *LeaderRequest.mutable_read_chain();
  Wanted.set_turn(m_Metadata.m_PreviousTurn);
  Wanted.set_organisation(organisationName());
  Wanted.set_reader(m_Metadata.m_Id);
  m_EarlierTurns.reserve(Bytes);
  const TimePoint Start = base::readMonotonic();
  bool Failed = false;
  while (m_EarlierTurns.size() < Bytes && !isCancelled() && !Failed) {
    Wanted.set_offset(m_EarlierTurns.size());
    const auto Part = co_await m_Gateway.requestFromLeader(
        messages::fleet::NODE_HISTORY, LeaderRequest,
        std::min<base::Duration>(ChainPartTimeout, timeLeft()));
    Failed = !Part || Part->kind() != messages::fleet::REPLY_OK ||
             Part->chain_bytes() != Bytes || Part->text().empty() ||
             Part->text().size() > Bytes - m_EarlierTurns.size();
    if (!Failed)
      m_EarlierTurns += Part->text();
  }
  m_Gateway.node().log().write(
      "earlier_turns_read",
      {{"request", m_Metadata.m_Id},
       {"previous", m_Metadata.m_PreviousTurn},
       {"bytes", m_EarlierTurns.size()},
       {"of", Bytes},
       {"took_us",
        static_cast<std::uint64_t>((base::readMonotonic() - Start).count())}});
  if (m_EarlierTurns.size() == Bytes)
    co_return std::nullopt;
  co_return Refusal(ErrorKind::QuorumUnavailable,
                    "the turns before this one could not be read",
                    m_Gateway.retryDelayWithoutLeader());
}

void Call::describePlacement(messages::fleet::TurnPlacement &Placement) const {
  Placement.set_data_centre(m_Gateway.node().settings().m_DataCentre);
  Placement.set_priority(priority());
  Placement.set_route(m_Route->m_Name);
  const fleet::ServiceSpec *Service = m_RouteTable->service(m_Service);
  if (m_Gateway.node().settings().m_EngineMemoryLimited && Service)
    Placement.set_engine_memory_tokens(Service->m_EngineMemoryTokens);
  if (!m_AllowedDataCentres)
    return;
  Placement.set_has_allowed_data_centres(true);
  for (const std::string &Name : *m_AllowedDataCentres)
    *Placement.add_allowed_data_centres() = Name;
}

asio::awaitable<void> Call::refuse(Refusal Reason) {
  if (m_CallerDisconnected)
    co_return;
  m_Refused = true;
  m_Gateway.node()
      .metrics()
      .counter(metrics::names::Refusals,
               {{metrics::names::OrganisationLabel, organisationName()},
                {metrics::names::KindLabel,
                 std::string(base::errorAnswer(Reason.m_Kind).m_Name)}})
      .add();
  count(std::string(base::errorAnswer(Reason.m_Kind).m_Name));
  m_Gateway.node().log().write(
      "request_refused",
      {{"request", m_Metadata.m_Id},
       {"kind", base::errorAnswer(Reason.m_Kind).m_Name},
       {"reason", Reason.m_Detail},
       {"route", m_Route ? m_Route->m_Name : ""},
       {"priority", priority()},
       {"organisation", organisationName()},
       {"program", m_Metadata.m_Program},
       {"begins_program", m_BeginsProgram ? "yes" : "no"},
       {"configuration",
        m_RouteTable ? m_RouteTable->configuration().m_Version : 0},
       {"previous_turn", m_Metadata.m_PreviousTurn},
       {"runs", m_Executions},
       {"age_us", static_cast<std::uint64_t>(
                      (base::readMonotonic() - m_ArrivedAt).count())}});
  // A caller with a persistent connection stays at this instance; a new
  // connection goes to the instance that the balancer selects now.
  if (!m_Gateway.isReady())
    closeIfIdle();
  Response ErrorResponse = m_Gateway.protocol().makeRefusal(m_Metadata, Reason);
  ErrorResponse.keep_alive(m_KeepAlive);
  if (const std::string Stated = statedIdleTime(); !Stated.empty())
    ErrorResponse.set(http::field::keep_alive, Stated);
  ErrorResponse.prepare_payload();
  if (isHeadRequest())
    ErrorResponse.body().clear(); // The length stays that of the body.
  m_ResponseStarted = true;
  const TransferWatch Watch(m_Gateway.slowTransfers(), CallerStallLimits,
                            [this] { endSlowCaller(); });
  boost::system::error_code Error;
  co_await http::async_write(m_CallerSocket, ErrorResponse,
                             asio::redirect_error(asio::use_awaitable, Error));
  m_KeepAlive = m_KeepAlive && !Error;
}

void Call::count(const std::string &Outcome) {
  // Calls without a route or a key would have labels that nothing bounds.
  if (!m_Route)
    return;
  metrics::Registry &Metrics = m_Gateway.node().metrics();
  Metrics
      .counter(metrics::names::CallsByClass,
               {{metrics::names::RouteLabel, m_Route->m_Name},
                {metrics::names::PriorityLabel, std::to_string(priority())},
                {metrics::names::OutcomeLabel, Outcome}})
      .add();
  Metrics
      .counter(metrics::names::CallsByOrganisation,
               {{metrics::names::OrganisationLabel, organisationName()},
                {metrics::names::OutcomeLabel, Outcome}})
      .add();
}

messages::fleet::EndTurn Call::makeEndTurn(bool Complete) const {
  messages::fleet::EndTurn End;
  End.set_turn(m_Metadata.m_Id);
  End.set_organisation(organisationName());
  End.set_program(m_Metadata.m_Program);
  End.set_service(m_Service);
  End.set_tokens(m_Tokens);
  End.set_endpoint(m_CurrentEndpoint);
  End.set_event_gap_us(m_EventGapUs);
  End.set_first_event_us(m_FirstEventUs);
  End.set_prompt_tokens(m_Metadata.m_PromptTokens);
  for (const std::string &Endpoint : m_UnreachableEndpoints)
    *End.add_silent() = Endpoint;
  End.set_retention_ms(
      base::wholeMilliseconds(m_TurnRecord.retention(m_Route->m_Retention)));
  if (Complete && m_Route->m_RetainsTurns) {
    End.set_keep(true);
    End.set_previous(m_Metadata.m_PreviousTurn);
    End.set_text(m_Request.body());
    if (m_EventStream)
      End.mutable_text()->append(m_EventStream->text());
    if (m_EarlierEvents.m_Events.empty())
      End.set_after_event(m_Metadata.m_LastEventId);
  }
  if (recordsEvents())
    describeEvents(End);
  return End;
}

void Call::describeEvents(messages::fleet::EndTurn &End) const {
  const bool HandedOutAny = m_EventStream && m_EventStream->eventCount() > 0;
  if (HandedOutAny) {
    const CollectedEvents &Events = m_EventStream->collected();
    if (Events.m_Text.size() > MaxRecordedEventsBytes)
      return;
    for (const CollectedEvent &Each : Events.m_Events) {
      auto &Mark = *End.add_events();
      Mark.set_id(Each.m_Id);
      Mark.set_bytes(Each.m_Bytes);
    }
    if (!End.keep())
      End.set_text(Events.m_Text);
  }
  End.set_stream(m_Metadata.m_LastEventId.empty() ? m_Metadata.m_Id
                                                  : m_Metadata.m_Resumes);
}

/// Records the complete turn before its response ends.
asio::awaitable<bool> Call::recordTurn() {
  messages::fleet::Request LeaderRequest;
  *LeaderRequest.mutable_end() = makeEndTurn(true);
  LeaderRequest.set_group(
      m_Gateway.groupOf(organisationName(), m_Metadata.m_Program).value_or(0));
  do {
    m_TurnRecord.onSent(base::readBootTime());
    const auto LeaderReply = co_await m_Gateway.requestFromLeader(
        messages::fleet::NODE_HISTORY, LeaderRequest, timeLeft());
    if (!LeaderReply || LeaderReply->kind() != messages::fleet::REPLY_OK)
      co_return false;
    m_TurnOpen = false;
  } while (m_TurnRecord.isOld(base::readBootTime()));
  co_return true;
}

void Call::renewOldRecord() {
  if (!m_IsTurn || !m_Route->m_RetainsTurns ||
      !m_TurnRecord.isOld(base::readBootTime()))
    return;
  m_Gateway.node().log().write("turn_record_renewed",
                               {{"request", m_Metadata.m_Id},
                                {"organisation", organisationName()},
                                {"program", m_Metadata.m_Program}});
  m_Gateway.recordTurnEndAsync(makeEndTurn(true));
}

void Call::settleTurnAsync(bool Failed) {
  messages::fleet::EndTurn End = makeEndTurn(false);
  End.set_failed(Failed);
  m_TurnOpen = false;
  m_Gateway.recordTurnEndAsync(std::move(End));
}

/// Detects that the caller closes its connection while it waits.
void Call::watchForDisconnect() {
  m_CallerSocket.async_wait(
      tcp::socket::wait_read,
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Self->m_Finished && !Error)
          Self->onCallerReadable();
      });
}

void Call::onCallerReadable() {
  char Byte = 0;
  const ssize_t Count =
      ::recv(m_CallerSocket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // A pipelined request that has already arrived hides a later close.
  if (Count > 0)
    return;
  if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    watchForDisconnect();
    return;
  }
  m_CallerDisconnected = true;
  abort();
}

void Call::armDeadline() {
  m_DeadlineTimer.expires_at(m_Deadline);
  m_DeadlineTimer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Cancelled) {
        if (Cancelled || Self->m_Finished)
          return;
        Self->m_DeadlineExpired = true;
        Self->abort();
      });
}

bool Call::mayOutliveInstance() const {
  const auto CallsEndAt = m_Gateway.callsEndAt();
  return CallsEndAt && m_Deadline > *CallsEndAt;
}

void Call::closeIfIdle() {
  if (m_Use != ConnectionUse::KeepForNextRequest)
    m_KeepAlive = false;
}

/// Value of the field that tells the caller how long it may reuse its idle
/// connection; empty if it may not.
std::string Call::statedIdleTime() const {
  const std::chrono::seconds Stated = IdleLimit::statedTime(m_IdleLimit);
  if (!m_KeepAlive || Stated.count() == 0)
    return {};
  return "timeout=" + std::to_string(Stated.count());
}

void Call::abort() {
  if (m_Abort)
    m_Abort();
}

std::string Call::organisationName() const {
  return m_Organisation ? m_Organisation->m_Name : std::string();
}

/// Recognises repetitions of the request.
const std::string &Call::fingerprint() {
  if (m_Fingerprint.empty())
    m_Fingerprint = fleet::requestFingerprint(
        organisationName(), m_Request.target(), m_Request.body());
  return m_Fingerprint;
}

/// Has it found out whether \p Endpoint has ended.
void Call::checkLostCall(LostCall::Kind Kind,
                         const fleet::EndpointState &Endpoint,
                         TimePoint SentAt) {
  LostCall Lost;
  Lost.m_Kind = Kind;
  Lost.m_Address = Endpoint.address();
  Lost.m_SentAt = SentAt;
  Lost.m_LostAt = base::readMonotonic();
  Lost.m_Crash.set_fingerprint(fingerprint());
  Lost.m_Crash.set_organisation(organisationName());
  Lost.m_Crash.set_route(m_Route->m_Name);
  Lost.m_Crash.set_endpoint(Endpoint.id());
  Lost.m_Crash.set_born(Endpoint.born());
  Lost.m_Crash.set_previous_endpoint(m_LastLostEndpoint);
  Lost.m_Crash.set_previous_born(m_LastLostStart);
  m_LastLostEndpoint = Endpoint.id();
  m_LastLostStart = Endpoint.born();
  m_MayTryHeld = false; // One attempt is enough to show it.
  m_Gateway.checkLostCallAsync(std::move(Lost));
}

std::uint32_t Call::priority() const {
  if (!m_Route)
    return 0;
  return m_Organisation ? m_Organisation->priorityOn(*m_Route)
                        : m_Route->m_Priority;
}

base::Duration Call::timeLeft() const {
  return std::max(base::Duration(0), std::chrono::duration_cast<base::Duration>(
                                         m_Deadline - base::readMonotonic()));
}

} // namespace psp::gateway
