#include "node/EvacuationUpdate.h"

#include "metrics/Names.h"

namespace psp::node {

void takeEvacuations(NodeRuntime &Node, fleet::EndpointDirectory &Endpoints,
                     const messages::fleet::ConfigurationUpdate &Update) {
  if (!Endpoints.mergeEvacuations(Update, base::readMonotonic()))
    return;
  const fleet::EvacuatedDataCentres &Evacuated = Endpoints.evacuated();
  Node.metrics()
      .gauge(metrics::names::EvacuatedDataCentres)
      .set(static_cast<std::int64_t>(Evacuated.names().size()));
  Node.log().write(
      "evacuations_in_force",
      {{"revision", Evacuated.revision()}, {"data_centres", Evacuated.text()}});
}

} // namespace psp::node
