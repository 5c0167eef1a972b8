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
  if (m_Left.contains(Program))
    return; // Its releases are under way.
  // The one more stands for this command, so that the program isn't taken for
  // free before all its releases were counted.
  m_Left[Program] = Endpoints.size() + 1;
  for (const base::EndpointId &Endpoint : Endpoints)
    send({.m_Program = Program, .m_Endpoint = Endpoint, .m_NextTry = Now});
  settleOne(Program);
}

void MemoryReleases::settleOne(const base::ProgramId &Program) {
  const auto Found = m_Left.find(Program);
  if (--Found->second > 0)
    return;
  m_Freed.push_back(Program);
  m_Left.erase(Found);
}

void MemoryReleases::send(Release Next) {
  const auto *Endpoint = m_Endpoints.find(Next.m_Endpoint);
  if (Endpoint == nullptr)
    return settleOne(Next.m_Program); // One that has gone holds no memory.
  messages::StartExchange Start;
  Start.m_Exchange = m_NextExchange++;
  Start.m_Address = Endpoint->m_Address;
  Start.m_Target = "/v1/release";
  Start.m_Headers = {{"Content-Type", "application/json"}};
  // Identifiers of programs need no escape in JSON.
  Start.m_Body = "{\"program\":\"" + Next.m_Program.str() + "\"}";
  Start.m_IdleTimeout = ReleaseTimeout;
  m_Sent.emplace(Start.m_Exchange, std::move(Next));
  m_Commands.emplace_back(std::move(Start));
}

bool MemoryReleases::onEvent(const messages::EndpointEvent &Event,
                             TimePoint Now) {
  const auto Found = m_Sent.find(messages::exchangeOf(Event));
  if (Found == m_Sent.end())
    return false;
  if (const auto *Head = std::get_if<ExchangeHead>(&Event))
    Found->second.m_Status = Head->m_Status;
  else if (std::holds_alternative<ExchangeEnd>(Event))
    settle(Found->first, true, Now);
  else if (std::holds_alternative<ExchangeFailed>(Event))
    settle(Found->first, false, Now);
  return true;
}

void MemoryReleases::settle(messages::ExchangeNumber Exchange, bool Whole,
                            TimePoint Now) {
  const auto Found = m_Sent.find(Exchange);
  Release Done = std::move(Found->second);
  m_Sent.erase(Found);
  if (Whole && Done.m_Status < FirstErrorStatus)
    return settleOne(Done.m_Program);
  Done.m_NextTry = Now + RetryPause;
  m_Waiting.push_back(std::move(Done));
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
