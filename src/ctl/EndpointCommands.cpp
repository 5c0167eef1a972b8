#include "ctl/EndpointCommands.h"

#include <charconv>

namespace psp::ctl {

ExitCode listEndpoints(const Session &Run) {
  Run.show(Run.call("endpoint_list"), "endpoints",
           {"endpoint", "data_centre", "address", "services", "slots",
            "running", "waiting", "remaining_ms", "leaving", "checks_fencing"});
  return ExitCode::Done;
}

ExitCode drainEndpoint(const Session &Run, const std::string &Endpoint,
                       bool Draining) {
  Json::Value Parameters;
  Parameters["endpoint"] = Endpoint;
  Parameters["draining"] = Draining;
  Run.showLine(Run.call("endpoint_drain", Parameters),
               "endpoint " + Endpoint +
                   (Draining ? " gets no new work" : " gets work again"));
  return ExitCode::Done;
}

ExitCode orderEndpoint(const Session &Run,
                       const std::vector<std::string> &Order) {
  Json::Value Parameters;
  Parameters["endpoint"] = Order.at(0);
  Parameters["action"] = Order.at(1);
  Parameters["name"] = Order.at(2);
  if (Order.size() > 3)
    Parameters["version"] = Order.at(3);
  const Json::Value Result = Run.call("endpoint_order", Parameters);
  const bool Done = Result["done"].asBool();
  Run.showLine(Result, "order to " + Order.at(0) + " under fencing number " +
                           Result["fencing_number"].asString() +
                           (Done ? ": done" : ": not done: ") +
                           Result["detail"].asString());
  return Done ? ExitCode::Done : ExitCode::Refused;
}

ExitCode listUnknownOrders(const Session &Run) {
  if (!Run.options().m_Unknown)
    throw UsageError("order list shows orders with an unknown outcome; "
                     "inspect order shows all");
  Run.show(Run.call("order_list_unknown"), "orders",
           {"program", "turn", "organisation", "service", "endpoint",
            "idempotency_key", "sent_us"});
  return ExitCode::Done;
}

ExitCode resolveOrder(const Session &Run, const std::string &Program,
                      const std::string &Turn, const std::string &Finding) {
  std::uint64_t Number = 0;
  const char *End = Turn.data() + Turn.size();
  const auto [Rest, Error] = std::from_chars(Turn.data(), End, Number);
  if (Error != std::errc() || Rest != End)
    throw UsageError("order resolve: expected a turn number, found '" + Turn +
                     "'");
  Json::Value Parameters;
  Parameters["program"] = Program;
  Parameters["turn"] = Json::UInt64(Number);
  Parameters["finding"] = Finding;
  Run.showLine(Run.call("order_resolve", Parameters),
               "turn " + Turn + " of " + Program + " recorded as " + Finding);
  return ExitCode::Done;
}

} // namespace psp::ctl
