#include "coordinator/EndpointPublisher.h"

#include <map>
#include <utility>

namespace psp::coordinator {

using messages::fleet::EndpointState;
using messages::fleet::NODE_CONTROL;

std::vector<std::string>
EndpointPublisher::setControlDataCentres(std::set<std::string> DataCentres) {
  std::vector<std::string> Lost;
  for (const std::string &Before : m_ControlDataCentres)
    if (!DataCentres.contains(Before) && Before != m_Options.m_DataCentre)
      Lost.push_back(Before);
  m_ControlDataCentres = std::move(DataCentres);
  return Lost;
}

bool EndpointPublisher::passesOnTo(
    const messages::fleet::NodeState &Node) const {
  return Node.kind() == NODE_CONTROL ||
         Node.data_centre() == m_Options.m_DataCentre ||
         !m_ControlDataCentres.contains(Node.data_centre());
}

void EndpointPublisher::onChange(const EndpointState &Endpoint,
                                 base::TimePoint Now) {
  m_Recent.push_back({.m_At = Now, .m_Endpoint = Endpoint});
  while (m_Recent.size() > m_Options.m_MaxRecentChanges ||
         Now - m_Recent.front().m_At > m_Options.m_ResendTime)
    m_Recent.pop_front();
}

std::vector<EndpointState>
EndpointPublisher::recentChanges(base::TimePoint Now) {
  std::map<std::string, EndpointState> Last;
  for (const Change &Each : m_Recent)
    if (Now - Each.m_At <= m_Options.m_ResendTime)
      Last[Each.m_Endpoint.id()] = Each.m_Endpoint;
  std::vector<EndpointState> States;
  States.reserve(Last.size());
  for (auto &[Id, State] : Last)
    States.push_back(std::move(State));
  return States;
}

} // namespace psp::coordinator
