#include "coordinator/Coordinator.h"

#include <algorithm>
#include <set>
#include <utility>

namespace psp::coordinator {

using messages::fleet::EndpointState;
using messages::fleet::NODE_CONTROL;

void Coordinator::onEndpointChange(const EndpointState &Endpoint) {
  m_EndpointPublisher.onChange(Endpoint, base::readMonotonic());
  m_Node.log().write(
      "endpoint_changed",
      {{"endpoint", Endpoint.id()},
       {"service", Endpoint.service()},
       {"phase", messages::fleet::EndpointPhase_Name(Endpoint.phase())},
       {"silent", Endpoint.silent() ? "yes" : "no"},
       {"cold_ms", Endpoint.cold_left_ms()},
       {"sequence", Endpoint.sequence()}});
}

void Coordinator::broadcastEndpoint(const EndpointState &Endpoint) {
  onEndpointChange(Endpoint);
  LinkMessage Message;
  *Message.mutable_endpoints()->add_endpoints() = Endpoint;
  m_Node.broadcast(Message);
}

void Coordinator::passOnEndpoint(const EndpointState &Endpoint) {
  onEndpointChange(Endpoint);
  LinkMessage Message;
  *Message.mutable_endpoints()->add_endpoints() = Endpoint;
  for (const std::string &Name : m_Node.links().connectedNodes()) {
    const NodeState *Node = m_Node.nodes().find(Name);
    if (Node && m_EndpointPublisher.passesOnTo(*Node))
      m_Node.links().send(Name, Message);
  }
}

void Coordinator::checkControlDataCentres() {
  std::set<std::string> DataCentres;
  for (const NodeState &Node : m_Node.nodes().ofKind(NODE_CONTROL))
    if (!Node.stopping() && m_Node.isHeard(Node.name()))
      DataCentres.insert(Node.data_centre());
  const auto Lost =
      m_EndpointPublisher.setControlDataCentres(std::move(DataCentres));
  if (Lost.empty())
    return;
  LinkMessage Message;
  for (const EndpointState &Endpoint :
       m_EndpointPublisher.recentChanges(base::readMonotonic()))
    *Message.mutable_endpoints()->add_endpoints() = Endpoint;
  for (const std::string &Name : m_Node.links().connectedNodes()) {
    const NodeState *Node = m_Node.nodes().find(Name);
    if (Node && Node->kind() != NODE_CONTROL && Message.has_endpoints() &&
        std::ranges::find(Lost, Node->data_centre()) != Lost.end())
      m_Node.links().send(Name, Message);
  }
}

} // namespace psp::coordinator
