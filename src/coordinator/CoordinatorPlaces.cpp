#include "coordinator/Coordinator.h"

#include "base/Error.h"
#include "metrics/Names.h"

namespace psp::coordinator {

namespace asio = boost::asio;
using base::ErrorKind;
using messages::fleet::NODE_ENTRY;
using messages::fleet::NODE_HISTORY;

asio::awaitable<ControlAnswer> Coordinator::evacuate(EvacuateCall Call) {
  const node::NodeSettings &Settings = m_Node.settings();
  if (!Settings.m_Places.m_Enabled)
    throw base::UserError(ErrorKind::NotFound,
                          "this deployment evacuates no data centres");
  if (!Settings.m_Regions.contains(Call.m_DataCentre))
    throw base::UserError(ErrorKind::NotFound, "no data centre has this name");
  Request Outgoing;
  Outgoing.mutable_evacuate()->set_data_centre(Call.m_DataCentre);
  Outgoing.mutable_evacuate()->set_start(Call.m_Start);
  const Reply Received = co_await execute(std::move(Outgoing), true);
  m_Node.log().write(
      "evacuation_asked",
      {{"data_centre", Call.m_DataCentre},
       {"start", Call.m_Start ? "yes" : "no"},
       {"outcome", messages::fleet::ReplyKind_Name(Received.kind())},
       {"held_revision", m_StateMachine.evacuationRevision()}});
  co_return controlAnswerOf(Received);
}

void Coordinator::completeColdTime(AnnounceCall &Call) const {
  fleet::EndpointState &State = Call.m_State;
  const auto &Services = m_Configuration.m_Services;
  const auto Service = Services.find(State.service());
  const bool IsConfigured = Service != Services.end();
  if (!m_Node.settings().m_Places.m_Enabled ||
      (IsConfigured && Service->second.m_ColdRatePerSecond <= 0)) {
    State.clear_cold_left_ms();
    return;
  }
  if (Call.m_StatesColdTime)
    return;
  const fleet::EndpointState *Known = m_Endpoints.find(State.id());
  base::Duration ColdTime(0);
  if (Known && Known->born() == State.born())
    ColdTime = m_Endpoints.coldTimeLeft(State.id(), base::readMonotonic());
  else if (IsConfigured)
    ColdTime = Service->second.m_ColdTime;
  State.set_cold_left_ms(base::wholeMilliseconds(ColdTime));
}

void Coordinator::addEvacuations(
    messages::fleet::ConfigurationUpdate &Update) const {
  *Update.mutable_evacuated() = m_StateMachine.evacuated();
  Update.set_evacuation_revision(m_StateMachine.evacuationRevision());
}

/// Tells entry instances without the configuration's document, which they have.
void Coordinator::publishEvacuations() {
  m_PublishedEvacuations = m_StateMachine.evacuationRevision();
  m_Node.metrics()
      .gauge(metrics::names::EvacuatedDataCentres)
      .set(m_StateMachine.evacuated().size());
  LinkMessage ForEntry;
  addEvacuations(*ForEntry.mutable_configuration());
  m_Endpoints.mergeEvacuations(ForEntry.configuration(), base::readMonotonic());
  m_Node.log().write("evacuations_in_force",
                     {{"revision", m_PublishedEvacuations},
                      {"data_centres", m_Endpoints.evacuated().text()}});
  m_Node.broadcast(ForEntry, NODE_ENTRY);
  m_Node.broadcast(configurationMessage(NODE_HISTORY), NODE_HISTORY);
}

} // namespace psp::coordinator
