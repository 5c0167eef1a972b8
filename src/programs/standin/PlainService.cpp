#include "programs/standin/PlainService.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace psp::standin {
namespace {

constexpr std::string_view ServicesPath = "/v1/services/";
constexpr std::string_view OutcomeSuffix = "/outcome";
constexpr std::string_view KeyParameter = "idempotency_key=";
constexpr std::string_view Json = "application/json";

std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

std::string serviceOf(const std::string &Target) {
  const std::string Rest = pathOf(Target).substr(ServicesPath.size());
  return Rest.substr(0, Rest.find('/'));
}

std::string keyOf(const std::string &Target) {
  const std::size_t Start = Target.find(KeyParameter);
  if (Start == std::string::npos)
    return {};
  const std::string Rest = Target.substr(Start + KeyParameter.size());
  return Rest.substr(0, Rest.find('&'));
}

} // namespace

PlainService::PlainService(boost::asio::io_context &Context,
                           const StandinOptions &Options, FaultSwitch &Switch,
                           CallLedger &Ledger)
    : m_Context(Context), m_Options(Options), m_Switch(Switch),
      m_Ledger(Ledger) {}

bool PlainService::handle(const ExchangePointer &Exchange) {
  const ServerRequest &Request = Exchange->request();
  if (!Request.m_Target.starts_with(ServicesPath))
    return false;
  const std::string Service = serviceOf(Request.m_Target);
  if (Request.m_Method == "GET" &&
      pathOf(Request.m_Target).ends_with(OutcomeSuffix))
    answerOutcome(Exchange, Service);
  else if (!refusesFencing(Exchange))
    admit(Exchange, Service);
  return true;
}

EndpointLoad PlainService::load() const {
  return {.m_Running = m_Running,
          .m_Waiting = m_Waiting.size(),
          .m_HeldPrograms = {}};
}

bool PlainService::refusesFencing(const ExchangePointer &Exchange) {
  const std::string Text = Exchange->request().header("Fencing-Number");
  if (!m_Options.m_ChecksFencing || Text.empty())
    return false;
  const std::uint64_t Number = std::strtoull(Text.c_str(), nullptr, 10);
  if (Number < m_HighestFencing) {
    Exchange->answer(409, Json, R"({"error":"old fencing number"})");
    return true;
  }
  m_HighestFencing = Number;
  return false;
}

void PlainService::answerOutcome(const ExchangePointer &Exchange,
                                 const std::string &Service) {
  const std::string Key = keyOf(Exchange->request().m_Target);
  const auto Known = m_SequenceOfKey.find(Key);
  nlohmann::json Body = {{"service", Service}, {"idempotency_key", Key}};
  if (Known == m_SequenceOfKey.end()) {
    Body["outcome"] = "not run";
    Exchange->answer(404, Json, Body.dump());
    return;
  }
  Body["outcome"] = "done";
  Body["sequence"] = Known->second;
  Exchange->answer(200, Json, Body.dump());
}

void PlainService::admit(const ExchangePointer &Exchange,
                         const std::string &Service) {
  m_Waiting.push_back({.m_Exchange = Exchange, .m_Service = Service});
  startWaiting();
}

void PlainService::startWaiting() {
  while (!m_Waiting.empty() && m_Running < m_Options.m_Engine.m_Slots) {
    const Waiting Next = m_Waiting.front();
    m_Waiting.pop_front();
    const CallFault Fault = m_Switch.next();
    if (Fault == CallFault::Fail) {
      Next.m_Exchange->answer(500, Json, R"({"error":"fault: not run"})");
      continue;
    }
    ++m_Running;
    const auto Timer = std::make_shared<boost::asio::steady_timer>(
        m_Context, m_Options.m_ServiceTime + m_Switch.faults().m_Late);
    Timer->async_wait([this, Next, Fault, Timer](const auto &) {
      --m_Running;
      run(Next.m_Exchange, Next.m_Service, Fault);
      startWaiting();
    });
  }
}

void PlainService::run(const ExchangePointer &Exchange,
                       const std::string &Service, CallFault Fault) {
  CallRun Run = startRun(Service, Exchange->request());
  Run.m_End = Run.m_Start;
  if (m_LeftAt) {
    const auto Since = base::readMonotonic() - *m_LeftAt;
    Run.m_SinceLeaveMs =
        std::chrono::duration_cast<base::milliseconds>(Since).count();
  }
  // The run is on file before the answer leaves, so that a lost answer still
  // counts as a run.
  m_Ledger.append(Run);
  const std::uint64_t Sequence = m_Ledger.count();
  if (!Run.m_IdempotencyKey.empty())
    m_SequenceOfKey.emplace(Run.m_IdempotencyKey, Sequence);
  if (Fault == CallFault::Hang)
    return;
  if (m_Switch.faults().m_DropAfterBytes != 0)
    Exchange->dropAfter(m_Switch.faults().m_DropAfterBytes);
  const nlohmann::json Body = {{"service", Service},
                               {"idempotency_key", Run.m_IdempotencyKey},
                               {"sequence", Sequence}};
  Exchange->answer(200, Json, Body.dump());
}

} // namespace psp::standin
