/// \file
/// A process as operators see it, for tests: it remembers what it was told.

#ifndef PSP_TESTS_SUPPORT_FAKEOPERATORHANDLER_H
#define PSP_TESTS_SUPPORT_FAKEOPERATORHANDLER_H

#include "base/Error.h"
#include "operators/OperatorHandler.h"

#include <string>
#include <vector>

namespace psp::tests {

class FakeOperatorHandler : public operators::OperatorHandler {
public:
  std::string status() override {
    return R"({"instance":"a-1","role":"entry","configuration_number":7,)"
           R"("peers":[{"instance":"a-2","reachable":true},)"
           R"({"instance":"b-1","reachable":false}]})";
  }
  std::string dump() override { return R"({"instance":"a-1"})"; }
  std::string metrics() override { return m_Metrics; }
  messages::Configuration configuration() override { return m_Configuration; }
  std::vector<messages::Key> keys() override { return m_Keys; }
  std::vector<operators::UnknownOrder> unknownOrders() override {
    return m_Unknown;
  }
  std::vector<records::ProgramHistory>
  histories(const records::RecordFilter &Filter) override {
    m_Filter = Filter;
    return m_Histories;
  }
  messages::ControlResult
  submit(const operators::OperatorCall & /*Call*/,
         const messages::ControlCommand &Command) override {
    m_Commands.push_back(Command);
    messages::ControlResult Result;
    Result.set_request_id(Command.request_id());
    Result.set_accepted(m_Refusal.empty());
    Result.set_error_kind(m_Refusal);
    Result.set_detail(m_Refusal.empty() ? "" : "refused for the test");
    Result.set_number(Command.put_configuration().number());
    return Result;
  }
  void withdrawKey(const operators::OperatorCall & /*Call*/,
                   const base::KeyId &Key) override {
    m_Withdrawn.push_back(Key.str());
  }
  void drainEndpoint(const operators::OperatorCall & /*Call*/,
                     const base::EndpointId &Endpoint, bool Draining) override {
    if (Endpoint.str() != "e-1")
      throw base::UserError(base::ErrorKind::NotFound, "no such endpoint");
    m_Draining = Draining;
  }
  operators::EndpointOrderResult
  orderEndpoint(const operators::OperatorCall & /*Call*/,
                const operators::EndpointOrder &Order) override {
    m_Order = Order;
    return {.m_Done = true, .m_FencingNumber = 12, .m_Detail = ""};
  }
  void resolveOrder(const operators::OperatorCall & /*Call*/,
                    const operators::OrderResolution &Resolution) override {
    m_Resolution = Resolution;
  }

  std::string m_Metrics;
  std::string m_Refusal; ///< An error kind; empty: commands are accepted.
  messages::Configuration m_Configuration;
  std::vector<messages::Key> m_Keys;
  std::vector<operators::UnknownOrder> m_Unknown;
  std::vector<records::ProgramHistory> m_Histories;
  records::RecordFilter m_Filter;
  std::vector<messages::ControlCommand> m_Commands;
  std::vector<std::string> m_Withdrawn;
  bool m_Draining = false;
  operators::EndpointOrder m_Order;
  operators::OrderResolution m_Resolution;
};

} // namespace psp::tests

#endif
