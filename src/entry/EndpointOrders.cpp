#include "entry/EndpointOrders.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace psp::entry {

using base::TimePoint;

namespace {

constexpr unsigned FirstErrorStatus = 400;

/// Percentage added to a wait to allow for clock drift between instances.
constexpr int DriftMarginPercent = 5;

std::string bodyOf(const EndpointOrder &Order, std::uint64_t Number) {
  const nlohmann::json Body = {{"order", Order.m_Order},
                               {"name", Order.m_Name},
                               {"version", Order.m_Version},
                               {"fencing_number", Number}};
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

EndpointOrders::EndpointOrders(const schedule::EndpointRegistry &Endpoints,
                               messages::ExchangeNumber &NextExchange)
    : m_Endpoints(Endpoints), m_NextExchange(NextExchange) {}

void EndpointOrders::start(std::uint64_t Ticket, EndpointOrder Order,
                           TimePoint Now) {
  Pending &Added = m_Pending[Ticket];
  Added.m_Order = std::move(Order);
  Added.m_WindowStart = Now;
}

void EndpointOrders::onNumber(std::uint64_t Ticket, std::uint64_t Number,
                              TimePoint Now) {
  const auto It = m_Pending.find(Ticket);
  if (It == m_Pending.end())
    return;
  Pending &Next = It->second;
  const auto *Endpoint = m_Endpoints.find(Next.m_Order.m_Endpoint);
  if (Number == 0)
    return settle(Ticket, false, "the control log granted no fencing number");
  if (Endpoint == nullptr)
    return settle(Ticket, false, "the endpoint is not registered");
  Next.m_Number = Number;
  Next.m_HasNumber = true;
  Next.m_SendAt = Now;
  if (!Endpoint->m_ChecksFencing && Number > 1) {
    const base::Duration Earlier = SendWindow + MaxWriteTime;
    Next.m_SendAt += Earlier + Earlier * DriftMarginPercent / 100;
    // The window restarts at the send time: the number is already granted, and
    // a later order waits for this one in the same way.
    Next.m_WindowStart = Next.m_SendAt;
  }
}

void EndpointOrders::onTick(TimePoint Now) {
  for (auto Entry = m_Pending.begin(); Entry != m_Pending.end();) {
    const auto Current = Entry++;
    Pending &Next = Current->second;
    if (Next.m_Sent || !Next.m_HasNumber || Now < Next.m_SendAt)
      continue;
    send(Current->first, Next, Now);
  }
}

void EndpointOrders::send(std::uint64_t Ticket, Pending &Next, TimePoint Now) {
  const auto *Endpoint = m_Endpoints.find(Next.m_Order.m_Endpoint);
  if (Endpoint == nullptr)
    return settle(Ticket, false, "the endpoint has left");
  if (Now - Next.m_WindowStart > SendWindow)
    return settle(Ticket, false,
                  "the send window has passed; submit the order again");
  messages::StartExchange Start;
  Start.m_Exchange = m_NextExchange++;
  Start.m_Address = Endpoint->m_Address;
  Start.m_Target = "/v1/orders";
  Start.m_Headers = {{"Content-Type", "application/json"}};
  Start.m_Body = bodyOf(Next.m_Order, Next.m_Number);
  Start.m_IdleTimeout = MaxWriteTime;
  Next.m_Sent = true;
  Next.m_Exchange = Start.m_Exchange;
  m_Commands.emplace_back(std::move(Start));
}

bool EndpointOrders::onEvent(const messages::EndpointEvent &Event) {
  const messages::ExchangeNumber Exchange = messages::exchangeOf(Event);
  const auto It =
      std::find_if(m_Pending.begin(), m_Pending.end(), [&](const auto &Entry) {
        return Entry.second.m_Sent && Entry.second.m_Exchange == Exchange;
      });
  if (It == m_Pending.end())
    return false;
  if (const auto *Head = std::get_if<messages::ExchangeHead>(&Event))
    It->second.m_Status = Head->m_Status;
  else if (std::holds_alternative<messages::ExchangeEnd>(Event))
    settle(It->first, It->second.m_Status < FirstErrorStatus,
           "status " + std::to_string(It->second.m_Status));
  else if (const auto *Failure = std::get_if<messages::ExchangeFailed>(&Event))
    settle(It->first, false, Failure->m_Detail);
  return true;
}

void EndpointOrders::settle(std::uint64_t Ticket, bool Succeeded,
                            const std::string &Detail) {
  m_Outcomes.push_back({.m_Ticket = Ticket,
                        .m_Done = Succeeded,
                        .m_FencingNumber = m_Pending.at(Ticket).m_Number,
                        .m_Detail = Detail});
  m_Pending.erase(Ticket);
}

std::vector<messages::EndpointCommand> EndpointOrders::takeCommands() {
  return std::exchange(m_Commands, {});
}

std::vector<EndpointOrderOutcome> EndpointOrders::takeOutcomes() {
  return std::exchange(m_Outcomes, {});
}

} // namespace psp::entry
