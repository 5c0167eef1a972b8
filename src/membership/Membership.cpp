#include "membership/Membership.h"

#include "base/Error.h"

#include <algorithm>

namespace psp::membership {

using base::DataCentreId;
using base::InstanceId;
using base::TimePoint;
using settings::PeerRole;

Membership::Membership(MembershipOptions Options)
    : m_Options(std::move(Options)) {
  for (const settings::Peer &Peer : m_Options.m_Peers) {
    PeerView View;
    View.m_Peer = Peer;
    m_Views.emplace(Peer.m_Instance, View);
  }
  base::checkInvariant(m_Views.contains(m_Options.m_Self),
                       "the list of peers must include the process itself");
}

void Membership::onHeartbeat(const InstanceId &From,
                             const messages::Heartbeat &Heartbeat,
                             TimePoint Now) {
  const auto Position = m_Views.find(From);
  if (Position == m_Views.end())
    return;
  PeerView &View = Position->second;
  // A late heartbeat of an earlier incarnation doesn't describe the current
  // one.
  if (Heartbeat.incarnation() < View.m_Incarnation)
    return;
  const bool Restarted = Heartbeat.incarnation() > View.m_Incarnation;
  View.m_HeartbeatReceived = true;
  View.m_LastReceivedAt = Now;
  View.m_Incarnation = Heartbeat.incarnation();
  View.m_ControlIndex =
      std::max(Heartbeat.control_index(), Restarted ? 0 : View.m_ControlIndex);
  View.m_Stopping = Heartbeat.stopping() || (View.m_Stopping && !Restarted);
}

void Membership::onTick(TimePoint Now, std::uint64_t ControlIndex,
                        messages::Outbox &Out) {
  if (Now < m_NextHeartbeat)
    return;
  m_NextHeartbeat = Now + m_Options.m_HeartbeatInterval;
  sendHeartbeats(ControlIndex, Out);
}

void Membership::stop(TimePoint Now, messages::Outbox &Out) {
  m_Stopping = true;
  m_NextHeartbeat = Now + m_Options.m_HeartbeatInterval;
  sendHeartbeats(m_ControlIndex, Out);
}

void Membership::sendHeartbeats(std::uint64_t ControlIndex,
                                messages::Outbox &Out) {
  m_ControlIndex = ControlIndex;
  for (const auto &[Instance, View] : m_Views) {
    if (Instance == m_Options.m_Self)
      continue;
    messages::Heartbeat &Heartbeat = *Out.add(Instance).mutable_heartbeat();
    Heartbeat.set_incarnation(m_Options.m_Incarnation);
    Heartbeat.set_stopping(m_Stopping);
    Heartbeat.set_control_index(ControlIndex);
  }
}

bool Membership::isReachable(const InstanceId &Peer, TimePoint Now) const {
  if (Peer == m_Options.m_Self)
    return true;
  const auto Position = m_Views.find(Peer);
  if (Position == m_Views.end() || !Position->second.m_HeartbeatReceived)
    return false;
  return Now - Position->second.m_LastReceivedAt < m_Options.m_Timeout;
}

std::vector<InstanceId>
Membership::activeEntries(const DataCentreId &DataCentre, TimePoint Now) const {
  std::vector<InstanceId> ActiveInstances;
  for (const auto &[Instance, View] : m_Views) {
    const bool IsLocalEntry = View.m_Peer.m_DataCentre == DataCentre &&
                              View.m_Peer.m_Role == PeerRole::Entry;
    const bool Stopping =
        Instance == m_Options.m_Self ? m_Stopping : View.m_Stopping;
    if (IsLocalEntry && !Stopping && isReachable(Instance, Now))
      ActiveInstances.push_back(Instance);
  }
  return ActiveInstances;
}

std::vector<InstanceId> Membership::reachable(TimePoint Now) const {
  std::vector<InstanceId> Instances;
  for (const auto &[Instance, View] : m_Views) {
    if (Instance != m_Options.m_Self && isReachable(Instance, Now))
      Instances.push_back(Instance);
  }
  return Instances;
}

std::vector<InstanceId> Membership::peersOf(PeerRole Role) const {
  std::vector<InstanceId> Instances;
  for (const auto &[Instance, View] : m_Views) {
    if (View.m_Peer.m_Role == Role)
      Instances.push_back(Instance);
  }
  return Instances;
}

std::vector<DataCentreId> Membership::dataCentres() const {
  std::vector<DataCentreId> DataCentres;
  for (const auto &[Instance, View] : m_Views)
    DataCentres.push_back(View.m_Peer.m_DataCentre);
  std::sort(DataCentres.begin(), DataCentres.end());
  DataCentres.erase(std::unique(DataCentres.begin(), DataCentres.end()),
                    DataCentres.end());
  return DataCentres;
}

} // namespace psp::membership
