/// Calls whose slow answers may be overtaken by a second try.

#include "gateway/Call.h"

#include "gateway/EndpointExchange.h"
#include "gateway/Gateway.h"
#include "gateway/MatchingResponse.h"
#include "metrics/Names.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace psp::gateway {

namespace asio = boost::asio;

namespace {

constexpr unsigned FirstServerError = 500;

using Exchanges = std::vector<std::shared_ptr<EndpointExchange>>;

bool isAnswer(const EndpointExchange &Exchange) {
  return Exchange.result() == ExchangeResult::Received &&
         Exchange.status() < FirstServerError;
}

bool isRunning(const EndpointExchange &Exchange) {
  return Exchange.result() == ExchangeResult::Running;
}

/// The exchange whose response the caller gets: null while a better one may
/// come, and if there is no response.
std::shared_ptr<EndpointExchange> selectResponse(const Exchanges &All) {
  std::shared_ptr<EndpointExchange> Failure;
  for (const auto &Each : All) {
    if (isAnswer(*Each))
      return Each;
    if (Each->result() == ExchangeResult::Received)
      Failure = Each;
  }
  const bool Waits = std::ranges::any_of(
      All, [](const auto &Each) { return isRunning(*Each); });
  return Waits ? nullptr : Failure;
}

} // namespace

bool Call::mayTryTwice() const {
  return m_Gateway.secondTries().isEnabled() &&
         m_Route->m_Kind == fleet::CallKind::Repeatable && !isHeadRequest() &&
         m_Request.body().size() <= m_Gateway.callMemory().smallBytes() &&
         m_Gateway.heldRequests().empty();
}

std::shared_ptr<EndpointExchange>
Call::startExchange(const fleet::EndpointState &Endpoint,
                    const std::shared_ptr<asio::steady_timer> &Changed) {
  auto Started = std::make_shared<EndpointExchange>(
      m_Gateway,
      EndpointExchangeOptions{
          .m_Endpoint = Endpoint,
          .m_Request = m_Gateway.protocol().makeRequest(
              m_Request,
              {.m_EndpointId = Endpoint.id(),
               .m_EndpointAddress = Endpoint.address(),
               .m_Organisation = organisationName(),
               .m_TimeLeft = timeLeft()},
              std::string_view()),
          .m_RequestId = m_Metadata.m_Id,
          .m_ExpectedWeights = m_Metadata.m_ExpectedWeights,
          .m_ConnectTimeout =
              std::min(m_Gateway.options().m_ConnectTimeout, timeLeft()),
          .m_MaxResponseBytes = MaxResponseBytes,
          .m_MaySend = [Self = shared_from_this(),
                        Endpoint] { return Self->takePlace(Endpoint); }},
      [Changed] { Changed->cancel(); });
  Started->start();
  return Started;
}

/// Decides on a second try while \p First is under way; null if none is sent.
const fleet::EndpointState *
Call::selectSecondEndpoint(const CallClass &Class,
                           const EndpointExchange &First,
                           std::set<std::string> Excluded) {
  const TimePoint Now = base::readMonotonic();
  Excluded.insert(First.endpoint().id());
  const fleet::EndpointState *Second = selectEndpoint(Excluded);
  // Bytes between data centres may be dear.
  const bool HasRoom =
      Second && !Second->silent() &&
      !m_Gateway.endpoints().isCold(Second->id(), Now) &&
      !m_Gateway.placement().isAvoided(Second->id(), Now) &&
      Second->data_centre() == m_Gateway.node().settings().m_DataCentre;
  SecondTries &Tries = m_Gateway.secondTries();
  SecondTryDecision Decision =
      Tries.decide({.m_Class = Class,
                    .m_TimeLeft = timeLeft(),
                    .m_Executions = m_Executions + (First.wasSent() ? 1 : 0),
                    .m_MaxExecutions = m_Route->m_Attempts,
                    .m_HasEndpoint = HasRoom},
                   Now);
  if (Decision == SecondTryDecision::Send && m_Organisation &&
      m_Gateway.rates().take(*m_Organisation, true, Now) != RateDecision::Pass)
    Decision = SecondTryDecision::NoAllowance;
  const bool Sends = Decision == SecondTryDecision::Send;
  if (Sends)
    Tries.onSent(m_Service);
  m_Gateway.node()
      .metrics()
      .counter(metrics::names::SecondTries,
               {{"outcome", std::string(secondTryDecisionName(Decision))}})
      .add();
  m_Gateway.node().log().write(
      "second_try_considered",
      {{"request", m_Metadata.m_Id},
       {"route", m_Route->m_Name},
       {"organisation", organisationName()},
       {"first", First.endpoint().id()},
       {"second", Sends ? Second->id() : std::string()},
       {"waited_us",
        static_cast<std::uint64_t>((Now - First.startedAt()).count())},
       {"decision", secondTryDecisionName(Decision)}});
  return Sends ? Second : nullptr;
}

asio::awaitable<SendOutcome>
Call::sendWithSecondTry(fleet::EndpointState Endpoint,
                        std::set<std::string> &Excluded) {
  SecondTries &Tries = m_Gateway.secondTries();
  const CallClass Class = {.m_Service = m_Service,
                           .m_Route = m_Route->m_Name,
                           .m_SizeClass = sizeClassOf(m_Request.body().size())};
  if (Excluded.empty())
    Tries.onRequest(m_Service);
  const auto Changed = std::make_shared<asio::steady_timer>(m_Gateway.io());
  Exchanges All = {startExchange(Endpoint, Changed)};
  const auto CancelAll = [&All] {
    for (const auto &Each : All)
      Each->cancel();
  };
  struct Cleanup {
    Call &m_Call;
    ~Cleanup() { m_Call.m_Abort = nullptr; }
  } Cleared{*this};
  m_Abort = [&] {
    CancelAll();
    Changed->cancel();
  };
  const auto Delay = Tries.delay(Class);
  std::optional<TimePoint> SecondAt;
  if (Delay)
    SecondAt = base::readMonotonic() + *Delay;
  std::shared_ptr<EndpointExchange> Chosen;
  const auto AnyRunning = [&All] {
    return std::ranges::any_of(
        All, [](const auto &Each) { return isRunning(*Each); });
  };
  while (!isCancelled()) {
    Chosen = selectResponse(All);
    if (Chosen || !AnyRunning())
      break;
    if (SecondAt && base::readMonotonic() >= *SecondAt) {
      SecondAt.reset();
      if (const auto *Second =
              selectSecondEndpoint(Class, *All.front(), Excluded))
        All.push_back(startExchange(*Second, Changed));
      continue;
    }
    Changed->expires_at(SecondAt.value_or(m_Deadline));
    boost::system::error_code Ignored; // Either way the state is looked at.
    co_await Changed->async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
  CancelAll();
  co_return co_await finishExchanges(Class, std::move(All), std::move(Chosen),
                                     Excluded);
}

/// Accounts for the exchanges of a call and forwards the response of \p Chosen.
asio::awaitable<SendOutcome>
Call::finishExchanges(CallClass Class, Exchanges All,
                      std::shared_ptr<EndpointExchange> Chosen,
                      std::set<std::string> &Excluded) {
  SecondTries &Tries = m_Gateway.secondTries();
  const TimePoint Now = base::readMonotonic();
  bool AnyMayHaveRun = false;
  for (const auto &Each : All) {
    const std::string &Id = Each->endpoint().id();
    Excluded.insert(Id);
    if (Each->mayHaveRun()) {
      ++m_Executions;
      AnyMayHaveRun = true;
      Tries.onEnded(Class, Now - Each->startedAt());
    } else if (Each->hasOtherWeights()) {
      ++m_OtherWeights;
    } else if (Each->result() == ExchangeResult::NotRun && Each->wasSent()) {
      Tries.onFull(m_Service, Now);
    }
    if (Each->isConnectionLost())
      checkLostCall(LostCall::Kind::Lost, Each->endpoint(), Each->startedAt());
    if (Each != Chosen)
      logExchange(*Each, "not_used");
  }
  if (All.size() > 1) {
    const std::string_view Outcome = !Chosen                ? "no_answer"
                                     : Chosen == All.back() ? "won"
                                                            : "lost";
    m_Gateway.node()
        .metrics()
        .counter(metrics::names::SecondTries,
                 {{"outcome", std::string(Outcome)}})
        .add();
  }
  m_Sent = AnyMayHaveRun;
  if (isCancelled())
    co_return SendOutcome::Ended;
  if (!Chosen)
    co_return AnyMayHaveRun ? SendOutcome::Unknown : SendOutcome::NotRun;
  if (!isAnswer(*Chosen) && mayRetry())
    co_return SendOutcome::Unknown;
  m_CurrentEndpoint = Chosen->endpoint().id();
  m_CurrentAddress = Chosen->endpoint().address();
  m_CurrentDataCentre = Chosen->endpoint().data_centre();
  EndpointChannel &Channel = Chosen->channel();
  m_Abort = [&Channel] { Channel.abort(); };
  SendOutcome Outcome = SendOutcome::Unknown;
  if (Chosen->isWhole())
    Outcome = co_await forwardBody(Channel, Chosen->takeBody());
  else
    Outcome = co_await forwardUnbuffered(Channel, Chosen->takeBody(),
                                         Chosen->takeHold());
  logExchange(*Chosen, outcomeName(Outcome));
  if (Channel.isReusable())
    m_Gateway.pool().release(Chosen->takeChannel(),
                             Chosen->metadata().m_IdleTimeout);
  co_return Outcome;
}

void Call::logExchange(const EndpointExchange &Ended,
                       std::string_view Outcome) {
  SendRecord Record;
  Record.m_Endpoint = Ended.endpoint().id();
  Record.m_StartTime = Ended.endpoint().born();
  Record.m_Software = Ended.endpoint().software();
  Record.m_SentAt = Ended.sentAt();
  Record.m_RespondedAt = Ended.respondedAt();
  if (Ended.result() == ExchangeResult::Received)
    Record.m_Status = Ended.status();
  logSend(Record, Outcome);
}

} // namespace psp::gateway
