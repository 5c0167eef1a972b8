#include "fleet/EvacuatedDataCentres.h"

#include <utility>

namespace psp::fleet {

bool EvacuatedDataCentres::merge(
    const messages::fleet::ConfigurationUpdate &Update) {
  if (Update.evacuation_revision() <= m_Revision)
    return false;
  m_Revision = Update.evacuation_revision();
  std::set<std::string> Names(Update.evacuated().begin(),
                              Update.evacuated().end());
  const bool Changed = Names != m_Names;
  m_Names = std::move(Names);
  return Changed;
}

std::string EvacuatedDataCentres::text() const {
  std::string Text;
  for (const std::string &Name : m_Names)
    Text += (Text.empty() ? "" : ",") + Name;
  return Text;
}

} // namespace psp::fleet
