#include "programs/standin/StandinServer.h"

#include "programs/standin/ModelService.h"
#include "programs/standin/PlainService.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <csignal>

namespace psp::standin {
namespace {

using nlohmann::json;

constexpr std::string_view Json = "application/json";
constexpr base::Duration IdleCheckInterval = base::milliseconds(100);
/// The endpoint stops after it was idle this often in a row, so that work
/// which was on its way when it left is still run.
constexpr unsigned IdleChecksBeforeStop = 20;

std::unique_ptr<EndpointService> makeService(boost::asio::io_context &Context,
                                             const StandinOptions &Options,
                                             FaultSwitch &Switch,
                                             CallLedger &Ledger) {
  if (Options.m_Kind == "model")
    return std::make_unique<ModelService>(Context, Options, Switch, Ledger);
  return std::make_unique<PlainService>(Context, Options, Switch, Ledger);
}

} // namespace

StandinServer::StandinServer(boost::asio::io_context &Context,
                             const StandinOptions &Options)
    : m_Context(Context), m_Options(Options), m_Switch(Options.m_Faults),
      m_Ledger(Options.m_Id, Options.m_LedgerFile),
      m_Service(makeService(Context, m_Options, m_Switch, m_Ledger)),
      m_Announcer(Context, m_Options, *m_Service),
      m_Server(std::make_unique<HttpServer>(
          Context, Options.m_ListenIp, Options.m_ListenPort,
          [this](const std::shared_ptr<HttpExchange> &Exchange) {
            handle(Exchange);
          })),
      m_Signals(Context, SIGTERM, SIGINT), m_IdleTimer(Context) {
  awaitSignal();
  m_Announcer.start();
}

void StandinServer::handle(const std::shared_ptr<HttpExchange> &Exchange) {
  const ServerRequest &Request = Exchange->request();
  if (Request.m_Target == "/faults" && Request.m_Method == "POST")
    setFaults(Exchange);
  else if (Request.m_Target == "/healthz")
    Exchange->answer(200, Json, "{}");
  else if (!m_Service->handle(Exchange))
    Exchange->answer(404, Json, R"({"error":"no such target"})");
}

void StandinServer::setFaults(const std::shared_ptr<HttpExchange> &Exchange) {
  const json Body = json::parse(Exchange->request().m_Body, nullptr, false);
  if (!Body.is_object()) {
    Exchange->answer(400, Json, R"({"error":"expected a JSON object"})");
    return;
  }
  const Faults &Old = m_Switch.faults();
  const std::uint64_t LateMs = Body.value(
      "late_ms", static_cast<std::uint64_t>(Old.m_Late.count() / 1000));
  m_Switch.set({.m_FailEvery = Body.value("fail_every", Old.m_FailEvery),
                .m_HangEvery = Body.value("hang_every", Old.m_HangEvery),
                .m_Late = base::milliseconds(LateMs),
                .m_DropAfterBytes =
                    Body.value("drop_after_bytes", Old.m_DropAfterBytes)});
  Exchange->answer(200, Json, "{}");
}

void StandinServer::awaitSignal() {
  m_Signals.async_wait([this](const auto &Error, int) {
    if (!Error)
      leave();
  });
}

void StandinServer::leave() {
  LOG(INFO) << "standin: " << m_Options.m_Id << " leaves";
  m_Announcer.leave([this] {
    m_Service->noteLeaving(base::readMonotonic());
    stopWhenIdle();
  });
}

void StandinServer::stopWhenIdle() {
  const EndpointLoad Load = m_Service->load();
  const bool Idle = Load.m_Running == 0 && Load.m_Waiting == 0;
  m_IdleChecks = Idle ? m_IdleChecks + 1 : 0;
  if (m_IdleChecks >= IdleChecksBeforeStop) {
    m_Context.stop();
    return;
  }
  m_IdleTimer.expires_after(IdleCheckInterval);
  m_IdleTimer.async_wait([this](const auto &) { stopWhenIdle(); });
}

} // namespace psp::standin
