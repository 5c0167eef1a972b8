/// \file
/// What varies between the kinds of stand-in endpoints.

#ifndef PSP_PROGRAMS_STANDIN_ENDPOINTSERVICE_H
#define PSP_PROGRAMS_STANDIN_ENDPOINTSERVICE_H

#include "programs/standin/CallLedger.h"
#include "programs/standin/HttpServer.h"
#include "programs/standin/StandinOptions.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace psp::standin {

/// What an endpoint reports about itself.
struct EndpointLoad {
  std::size_t m_Running = 0;
  std::size_t m_Waiting = 0;
  std::vector<std::string> m_HeldPrograms;
};

/// What a fault did to one call.
enum class CallFault { None, Fail, Hang };

/// Counts calls and says which of them a fault hits.
class FaultSwitch {
public:
  explicit FaultSwitch(const Faults &Initial) : m_Faults(Initial) {}

  void set(const Faults &Value) { m_Faults = Value; }
  const Faults &faults() const { return m_Faults; }

  /// The fault of the next call.
  CallFault next() {
    ++m_Calls;
    if (m_Faults.m_FailEvery != 0 && m_Calls % m_Faults.m_FailEvery == 0)
      return CallFault::Fail;
    if (m_Faults.m_HangEvery != 0 && m_Calls % m_Faults.m_HangEvery == 0)
      return CallFault::Hang;
    return CallFault::None;
  }

private:
  Faults m_Faults;
  std::uint64_t m_Calls = 0;
};

/// Runs the calls of one kind of endpoint.
class EndpointService {
public:
  virtual ~EndpointService() = default;

  /// Handles a request of the work protocol; false: not one of its targets.
  virtual bool handle(const std::shared_ptr<HttpExchange> &Exchange) = 0;

  virtual EndpointLoad load() const = 0;

  /// From now on the endpoint is leaving.
  virtual void noteLeaving(base::TimePoint Time) = 0;
};

} // namespace psp::standin

#endif
