/// \file
/// The queries of LedgerCore that describe its state: status and dump.

#include "ledger/LedgerCore.h"
#include "membership/PeerReport.h"

#include <nlohmann/json.hpp>

namespace psp::ledger {

using nlohmann::json;

std::string LedgerCore::status(base::Now Time) const {
  const settings::ProcessSettings &Process = m_Options.m_Settings.m_Process;
  const json Status = {
      {"instance", Process.m_Instance.str()},
      {"role", "ledger"},
      {"data_centre", Process.m_DataCentre.str()},
      {"leader", m_Voter.isLeader()},
      {"has_vote", m_Voter.admitted()},
      {"known_leader", m_Voter.leader().str()},
      {"term", m_Voter.term()},
      {"commit_index", m_Voter.commitIndex()},
      {"configuration", m_Voter.state().configuration().number()},
      {"control_index", m_Voter.state().appliedIndex()},
      {"programs", m_Programs.programCount()},
      {"peers", membership::reportPeers(m_Members, Time.m_Monotonic)},
  };
  return Status.dump();
}

std::string LedgerCore::dump(base::Now Time) const {
  json Dump = json::parse(status(Time));
  Dump["control_synced"] = m_ControlSynced;
  Dump["program_synced"] = m_ProgramSynced;
  Dump["withheld_messages"] =
      m_ControlWithheld.size() + m_ProgramWithheld.size();
  Dump["malformed_messages"] = m_MalformedMessages;
  Dump["submissions"] = m_Submissions.size();
  return Dump.dump();
}

} // namespace psp::ledger
