#include "operators/OperatorHandler.h"

#include "base/Error.h"

namespace psp::operators {
namespace {

[[noreturn]] void refuseMethod(const char *Method) {
  throw base::UserError(base::ErrorKind::NotFound,
                        std::string("this process doesn't serve ") + Method);
}

} // namespace

std::string OperatorHandler::metrics() { refuseMethod("metrics"); }

messages::Configuration OperatorHandler::configuration() {
  refuseMethod("configuration");
}

std::vector<messages::Key> OperatorHandler::keys() { refuseMethod("key_list"); }

std::vector<messages::EndpointState> OperatorHandler::endpoints() {
  refuseMethod("endpoint_list");
}

std::vector<UnknownOrder> OperatorHandler::unknownOrders() {
  refuseMethod("order_list_unknown");
}

std::vector<records::ProgramHistory>
OperatorHandler::histories(const records::RecordFilter & /*Filter*/) {
  refuseMethod("inspect");
}

messages::ControlResult
OperatorHandler::submit(const OperatorCall & /*Call*/,
                        const messages::ControlCommand & /*Command*/) {
  refuseMethod("submit");
}

void OperatorHandler::withdrawKey(const OperatorCall & /*Call*/,
                                  const base::KeyId & /*Key*/) {
  refuseMethod("withdraw_key");
}

void OperatorHandler::drainEndpoint(const OperatorCall & /*Call*/,
                                    const base::EndpointId & /*Endpoint*/,
                                    bool /*Draining*/) {
  refuseMethod("endpoint_drain");
}

EndpointOrderResult
OperatorHandler::orderEndpoint(const OperatorCall & /*Call*/,
                               const EndpointOrder & /*Order*/) {
  refuseMethod("endpoint_order");
}

void OperatorHandler::resolveOrder(const OperatorCall & /*Call*/,
                                   const OrderResolution & /*Resolution*/) {
  refuseMethod("order_resolve");
}

} // namespace psp::operators
