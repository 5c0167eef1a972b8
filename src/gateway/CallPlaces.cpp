#include "gateway/Call.h"

#include "gateway/Gateway.h"
#include "gateway/RetryTime.h"
#include "metrics/Names.h"

#include <algorithm>

namespace psp::gateway {

using base::ErrorKind;
using messages::fleet::NODE_HISTORY;

std::optional<Refusal> Call::placeRefusal() {
  const InstancePlaces &Places = m_Gateway.places();
  if (!Places.isEnabled())
    return std::nullopt;
  m_AllowedDataCentres = Places.allowedDataCentres(*m_Route, m_Organisation);
  const fleet::EndpointDirectory &Endpoints = m_Gateway.endpoints();
  if (Endpoints.hasEvacuated(m_Service) && !Endpoints.hasUsable(m_Service))
    return Refusal(ErrorKind::NoEndpoint,
                   "all endpoints of the service are in evacuated data centres",
                   EvacuatedRetryDelay);
  if (!m_AllowedDataCentres)
    return std::nullopt;
  if (Endpoints.hasUsable(m_Service) &&
      !Places.hasUsable(m_Service, m_AllowedDataCentres))
    return Refusal(ErrorKind::NoEndpoint,
                   "no endpoint of the service is in a home region of the "
                   "call's route and organisation",
                   EvacuatedRetryDelay);
  // History keeps the text of a retained turn on all of its nodes.
  const bool IsKept =
      m_Route->m_RetainsTurns && m_Metadata.m_TokenBudget.has_value();
  const auto LeavesHome = [&](const fleet::NodeState &Node) {
    return !Places.mayHoldBody(m_AllowedDataCentres, Node.data_centre());
  };
  if (IsKept && std::ranges::any_of(
                    m_Gateway.node().nodes().ofKind(NODE_HISTORY), LeavesHome))
    return Refusal(ErrorKind::NoEndpoint,
                   "history would keep the turn's text outside of its home "
                   "regions",
                   EvacuatedRetryDelay);
  return std::nullopt;
}

CallPlaces Call::callPlaces() const {
  const fleet::ServiceSpec *Service = m_RouteTable->service(m_Service);
  return {.m_Allowed = m_AllowedDataCentres,
          .m_Grant = {.m_Endpoint = m_AssignedEndpoint,
                      .m_Born = m_AssignedBorn,
                      .m_AskedAt = m_SlotAskedAt},
          .m_ColdRatePerSecond = Service ? Service->m_ColdRatePerSecond : 0,
          .m_Instances = m_Gateway.entryInstances()};
}

const fleet::EndpointState *
Call::selectEndpoint(const std::set<std::string> &Excluded) const {
  const TimePoint Now = base::readMonotonic();
  ServicePlacement &Placement = m_Gateway.placement();
  const fleet::EndpointDirectory &Endpoints = m_Gateway.endpoints();
  if (!m_AllowedDataCentres &&
      !(m_Gateway.places().isEnabled() && Endpoints.mayHaveCold(Now)))
    return Placement.selectEndpoint(m_Service, m_AssignedEndpoint, Excluded,
                                    m_Software, Endpoints, Now);
  const InstancePlaces::Rule Rule(m_Gateway.places(), callPlaces(), Now);
  return Placement.selectEndpoint(m_Service, m_AssignedEndpoint, Excluded,
                                  m_Software, Endpoints, Now, &Rule);
}

/// Whether \p Endpoint may get the call now; counts it if the endpoint is cold.
bool Call::takePlace(const fleet::EndpointState &Endpoint) {
  using ColdUse = InstancePlaces::ColdUse;
  if (!m_Gateway.endpoints().isUsable(Endpoint.id(), Endpoint.born()))
    return false;
  if (!m_Gateway.places().isEnabled())
    return true;
  const ColdUse Use = m_Gateway.places().takeCold(Endpoint, callPlaces(),
                                                  base::readMonotonic());
  if (Use == ColdUse::Warm)
    return true;
  const char *Outcome = Use == ColdUse::Granted ? "granted"
                        : Use == ColdUse::Own   ? "own_part"
                                                : "withheld";
  m_Gateway.node()
      .metrics()
      .counter(metrics::names::ColdRequests, {{"outcome", Outcome}})
      .add();
  m_Gateway.node().log().write("cold_endpoint", {{"request", m_Metadata.m_Id},
                                                 {"endpoint", Endpoint.id()},
                                                 {"outcome", Outcome}});
  return Use != ColdUse::None;
}

std::string Call::noEndpointDetail() const {
  return m_Gateway.places().hasUsable(m_Service, m_AllowedDataCentres)
             ? "the endpoints that may run the call get nothing more for now"
             : "no endpoint of the service is known";
}

} // namespace psp::gateway
