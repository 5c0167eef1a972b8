#include "gateway/EndpointExchange.h"

#include "gateway/Gateway.h"
#include "gateway/MatchingResponse.h"
#include "metrics/Names.h"
#include "web/Spawn.h"

#include <utility>

namespace psp::gateway {

namespace asio = boost::asio;

EndpointExchange::EndpointExchange(Gateway &Owner,
                                   EndpointExchangeOptions Options,
                                   std::function<void()> OnEnded)
    : m_Gateway(Owner), m_Options(std::move(Options)),
      m_OnEnded(std::move(OnEnded)), m_Held(Owner.callMemory()),
      m_StartedAt(base::readMonotonic()) {}

void EndpointExchange::start() {
  m_Gateway.placement().onSent(endpoint().id());
  web::spawn(m_Gateway.io().get_executor(), "endpoint_exchange",
             shared_from_this(),
             [](EndpointExchange &Self) { return Self.run(); });
}

void EndpointExchange::cancel() {
  m_Cancelled = true;
  if (m_Channel)
    m_Channel->abort();
}

asio::awaitable<void> EndpointExchange::run() {
  ExchangeResult Result = ExchangeResult::Lost;
  const auto Failure = co_await web::catchFailure(
      [](EndpointExchange &Self, ExchangeResult &Out) -> asio::awaitable<void> {
        Out = co_await Self.exchange();
      }(*this, Result));
  if (Failure)
    web::reportFailure(m_Gateway.io().get_executor(), "endpoint_exchange",
                       Failure);
  m_Result = m_Cancelled ? ExchangeResult::Cancelled : Result;
  // Also a call that was given up shows that the endpoint takes at least so
  // long.
  const bool HasTime = m_Result == ExchangeResult::Received ||
                       (m_Result == ExchangeResult::Cancelled && m_Sent);
  m_Gateway.placement().onDone(endpoint().id(),
                               HasTime ? base::readMonotonic() - m_StartedAt
                                       : base::Duration(0),
                               base::readMonotonic());
  m_OnEnded();
}

asio::awaitable<ExchangeResult> EndpointExchange::exchange() {
  ServicePlacement &Placement = m_Gateway.placement();
  const std::string &Id = endpoint().id();
  m_Channel = m_Gateway.pool().acquire(endpoint().address());
  if (!m_Channel->isOpen() && !m_Cancelled)
    co_await m_Channel->connect(m_Options.m_ConnectTimeout);
  if (m_Cancelled)
    co_return ExchangeResult::Cancelled;
  if (!m_Channel->isOpen()) {
    Placement.onUnreachable(Id, base::readMonotonic());
    co_return ExchangeResult::NotRun;
  }
  // It may have announced its departure while the connection was established.
  if (!m_Options.m_MaySend())
    co_return ExchangeResult::NotRun;
  m_SentAt = base::readMonotonic();
  m_Sending = true;
  const bool SentWhole = co_await m_Channel->send(m_Options.m_Request);
  m_Sending = false;
  // An endpoint may answer before it has read the whole body.
  const bool HasAnswer = !SentWhole && m_Channel->hasUnread();
  m_Sent = m_Channel->mayHaveBegun() || HasAnswer;
  if (!SentWhole && !HasAnswer) {
    logCutRequest(m_Gateway,
                  {.m_RequestId = m_Options.m_RequestId,
                   .m_Endpoint = Id,
                   .m_StartTime = endpoint().born()},
                  *m_Channel, m_Cancelled);
    if (!m_Cancelled)
      Placement.onFailed(Id);
    m_ConnectionLost = m_Sent && !m_Cancelled;
    co_return m_Sent ? ExchangeResult::Lost : ExchangeResult::NotRun;
  }
  co_return co_await receive();
}

asio::awaitable<ExchangeResult> EndpointExchange::receive() {
  ServicePlacement &Placement = m_Gateway.placement();
  const std::string &Id = endpoint().id();
  const SentRequest Sent = {.m_RequestId = m_Options.m_RequestId,
                            .m_Endpoint = Id,
                            .m_StartTime = endpoint().born()};
  const bool HasResponse =
      co_await readMatchingHead(m_Gateway, *m_Channel, Sent, m_Metadata);
  if (m_Cancelled)
    co_return ExchangeResult::Cancelled;
  if (!HasResponse) {
    Placement.onFailed(Id);
    m_ConnectionLost = true;
    co_return ExchangeResult::Lost;
  }
  m_RespondedAt = base::readMonotonic();
  Placement.onBytesReceived(Id, m_RespondedAt);
  m_Gateway.node()
      .metrics()
      .histogram(metrics::names::FirstByteLatency)
      .record(m_RespondedAt - m_SentAt);
  const ResponseJudgement Judgement =
      judgeResponse(status(), m_Metadata, m_Options.m_ExpectedWeights);
  switch (Judgement) {
  case ResponseJudgement::Refusal:
  case ResponseJudgement::WrongEndpoint:
  case ResponseJudgement::OtherWeights:
    onNotExecuted(m_Gateway, Sent, Judgement);
    m_HasOtherWeights = Judgement == ResponseJudgement::OtherWeights;
    co_return ExchangeResult::NotRun;
  case ResponseJudgement::Unusable:
    co_return ExchangeResult::Lost;
  case ResponseJudgement::Usable:
    break;
  }
  const auto TooLong = [this](std::uint64_t Bytes) {
    return Bytes > m_Options.m_MaxResponseBytes;
  };
  bool HasRoom = !TooLong(m_Channel->length().value_or(0));
  while (HasRoom) {
    const std::string_view Bytes = co_await m_Channel->readSome();
    if (Bytes.empty())
      break;
    m_Body += Bytes;
    if (TooLong(m_Body.size()))
      HasRoom = false;
    // A string that grows has up to twice the capacity that it needs.
    else if (!m_Held.growTo(2 * m_Body.size()))
      co_return ExchangeResult::Received;
  }
  if (!HasRoom) {
    logEndlessResponse(m_Gateway, m_Options.m_RequestId, Id, m_Body.size());
    m_Channel->abort();
    co_return ExchangeResult::Lost;
  }
  m_Whole = m_Channel->isComplete();
  m_ConnectionLost = !m_Whole;
  if (!m_Whole && !m_Cancelled)
    Placement.onFailed(Id);
  co_return m_Whole ? ExchangeResult::Received : ExchangeResult::Lost;
}

} // namespace psp::gateway
