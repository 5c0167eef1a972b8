#include "entry/OwnedCall.h"

#include <string_view>

namespace psp::entry {

using messages::EndpointHeader;
using messages::Service;
using messages::StartExchange;

namespace {

constexpr base::Duration OutcomeQueryTimeout = base::seconds(1);

/// The key under which a worker stores a call that may not be repeated. It
/// contains the organisation and the program, so that keys of different
/// programs never collide.
std::string workerKey(const OwnedCall &Call) {
  return Call.m_Message.organisation() + "/" +
         callIdentifier(Call.m_Message.request());
}

} // namespace

schedule::CallClass classOf(Service::Kind Kind) {
  switch (Kind) {
  case Service::NOTICE:
    return schedule::CallClass::Alarm;
  case Service::ORDER:
    return schedule::CallClass::Order;
  default:
    return schedule::CallClass::Normal;
  }
}

std::string callIdentifier(const messages::CallRequest &Call) {
  return Call.program() + ":" + std::to_string(Call.turn());
}

StartExchange makeExchange(const OwnedCall &Call, std::uint64_t FencingNumber) {
  const messages::CallRequest &Request = Call.m_Message.request();
  StartExchange Start;
  Start.m_Exchange = Call.m_Exchange;
  Start.m_Address = Call.m_Dispatch.m_Address;
  Start.m_Target = Request.path();
  Start.m_Body = Call.m_Body;
  Start.m_Headers = {
      {"Program-Id", Request.program()},
      {"Program-Turn", std::to_string(Request.turn())},
      {"Call-Id", callIdentifier(Request)},
      {"Content-Type", Request.content_type().empty()
                           ? "application/octet-stream"
                           : Request.content_type()},
  };
  if (!Call.isModelCall()) {
    Start.m_Headers.push_back({"Idempotency-Key", workerKey(Call)});
    Start.m_Headers.push_back(
        {"Fencing-Number", std::to_string(FencingNumber)});
  }
  return Start;
}

StartExchange makeOutcomeQuery(const OwnedCall &Call) {
  const messages::CallRequest &Request = Call.m_Message.request();
  StartExchange Start;
  Start.m_Exchange = Call.m_Exchange;
  Start.m_Address = Call.m_Dispatch.m_Address;
  Start.m_Method = "GET";
  Start.m_Target = "/v1/services/" + Request.service() +
                   "/outcome?idempotency_key=" + workerKey(Call);
  Start.m_IdleTimeout = OutcomeQueryTimeout;
  return Start;
}

} // namespace psp::entry
