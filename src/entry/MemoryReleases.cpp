#include "entry/MemoryReleases.h"

#include <utility>

namespace psp::entry {

using base::TimePoint;
using messages::ExchangeEnd;
using messages::ExchangeFailed;
using messages::ExchangeHead;

namespace {

constexpr base::Duration RetryPause = base::seconds(1);
constexpr base::Duration ReleaseTimeout = base::seconds(2);
constexpr unsigned FirstErrorStatus = 400;

} // namespace

MemoryReleases::MemoryReleases(const schedule::EndpointRegistry &Endpoints,
                               messages::ExchangeNumber &NextExchange)
    : m_Endpoints(Endpoints), m_NextExchange(NextExchange) {}

void MemoryReleases::add(const base::ProgramId &Program,
                         const std::vector<base::EndpointId> &Endpoints,
                         TimePoint Now) {
  if (m_Remaining.contains(Program))
    return; // The releases of the program are in progress.
  // The extra count stands for this function, so that the program isn't
  // reported as freed before all its releases have been sent.
  m_Remaining[Program] = Endpoints.size() + 1;
  for (const base::EndpointId &Endpoint : Endpoints)
    send({.m_Program = Program, .m_Endpoint = Endpoint, .m_NextTry = Now});
  completeOne(Program);
}

void MemoryReleases::completeOne(const base::ProgramId &Program) {
  const auto It = m_Remaining.find(Program);
  if (--It->second > 0)
    return;
  m_Freed.push_back(Program);
  m_Remaining.erase(It);
}

void MemoryReleases::send(Release Next) {
  const auto *Endpoint = m_Endpoints.find(Next.m_Endpoint);
  // An endpoint that left holds no memory.
  if (Endpoint == nullptr)
    return completeOne(Next.m_Program);
  messages::StartExchange Start;
  Start.m_Exchange = m_NextExchange++;
  Start.m_Address = Endpoint->m_Address;
  Start.m_Target = "/v1/release";
  Start.m_Headers = {{"Content-Type", "application/json"}};
  // Program identifiers need no escaping in JSON.
  Start.m_Body = "{\"program\":\"" + Next.m_Program.str() + "\"}";
  Start.m_IdleTimeout = ReleaseTimeout;
  m_Sent.emplace(Start.m_Exchange, std::move(Next));
  m_Commands.emplace_back(std::move(Start));
}

bool MemoryReleases::onEvent(const messages::EndpointEvent &Event,
                             TimePoint Now) {
  const auto It = m_Sent.find(messages::exchangeOf(Event));
  if (It == m_Sent.end())
    return false;
  if (const auto *Head = std::get_if<ExchangeHead>(&Event))
    It->second.m_Status = Head->m_Status;
  else if (std::holds_alternative<ExchangeEnd>(Event))
    settle(It->first, true, Now);
  else if (std::holds_alternative<ExchangeFailed>(Event))
    settle(It->first, false, Now);
  return true;
}

void MemoryReleases::settle(messages::ExchangeNumber Exchange, bool Complete,
                            TimePoint Now) {
  const auto It = m_Sent.find(Exchange);
  Release Settled = std::move(It->second);
  m_Sent.erase(It);
  if (Complete && Settled.m_Status < FirstErrorStatus)
    return completeOne(Settled.m_Program);
  Settled.m_NextTry = Now + RetryPause;
  m_Waiting.push_back(std::move(Settled));
}

void MemoryReleases::onTick(TimePoint Now) {
  for (Release &Next : std::exchange(m_Waiting, {})) {
    if (Now < Next.m_NextTry)
      m_Waiting.push_back(std::move(Next));
    else
      send(std::move(Next));
  }
}

std::vector<base::ProgramId> MemoryReleases::takeFreed() {
  return std::exchange(m_Freed, {});
}

std::vector<messages::EndpointCommand> MemoryReleases::takeCommands() {
  return std::exchange(m_Commands, {});
}

} // namespace psp::entry
