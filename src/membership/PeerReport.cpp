#include "membership/PeerReport.h"

#include <nlohmann/json.hpp>

namespace psp::membership {

using nlohmann::json;

json reportPeers(const Membership &Members, base::TimePoint Now) {
  json Peers = json::array();
  for (const auto &[Instance, View] : Members.views()) {
    const bool IsEntry = View.m_Peer.m_Role == settings::PeerRole::Entry;
    Peers.push_back({{"instance", Instance.str()},
                     {"role", IsEntry ? "entry" : "ledger"},
                     {"data_centre", View.m_Peer.m_DataCentre.str()},
                     {"reachable", Members.isReachable(Instance, Now)},
                     {"stopping", View.m_Stopping},
                     {"control_index", View.m_ControlIndex}});
  }
  return Peers;
}

} // namespace psp::membership
