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
                       "the peers must include the process itself");
}

void Membership::onHeartbeat(const InstanceId &From,
                             const messages::Heartbeat &Beat, TimePoint Now) {
  const auto Found = m_Views.find(From);
  if (Found == m_Views.end())
    return;
  PeerView &View = Found->second;
  // A late heartbeat of an earlier incarnation says nothing about this one.
  if (Beat.incarnation() < View.m_Incarnation)
    return;
  const bool Restarted = Beat.incarnation() > View.m_Incarnation;
  View.m_Heard = true;
  View.m_LastHeard = Now;
  View.m_Incarnation = Beat.incarnation();
  View.m_ControlIndex =
      std::max(Beat.control_index(), Restarted ? 0 : View.m_ControlIndex);
  View.m_Stopping = Beat.stopping() || (View.m_Stopping && !Restarted);
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
    messages::Heartbeat &Beat = *Out.add(Instance).mutable_heartbeat();
    Beat.set_incarnation(m_Options.m_Incarnation);
    Beat.set_stopping(m_Stopping);
    Beat.set_control_index(ControlIndex);
  }
}

bool Membership::isReachable(const InstanceId &Peer, TimePoint Now) const {
  if (Peer == m_Options.m_Self)
    return true;
  const auto Found = m_Views.find(Peer);
  if (Found == m_Views.end() || !Found->second.m_Heard)
    return false;
  return Now - Found->second.m_LastHeard < m_Options.m_Timeout;
}

std::vector<InstanceId>
Membership::activeEntries(const DataCentreId &DataCentre, TimePoint Now) const {
  std::vector<InstanceId> Active;
  for (const auto &[Instance, View] : m_Views) {
    const bool Here = View.m_Peer.m_DataCentre == DataCentre &&
                      View.m_Peer.m_Role == PeerRole::Entry;
    const bool Stopping =
        Instance == m_Options.m_Self ? m_Stopping : View.m_Stopping;
    if (Here && !Stopping && isReachable(Instance, Now))
      Active.push_back(Instance);
  }
  return Active;
}

std::vector<InstanceId> Membership::reachable(TimePoint Now) const {
  std::vector<InstanceId> Found;
  for (const auto &[Instance, View] : m_Views) {
    if (Instance != m_Options.m_Self && isReachable(Instance, Now))
      Found.push_back(Instance);
  }
  return Found;
}

std::vector<InstanceId> Membership::peersOf(PeerRole Role) const {
  std::vector<InstanceId> Found;
  for (const auto &[Instance, View] : m_Views) {
    if (View.m_Peer.m_Role == Role)
      Found.push_back(Instance);
  }
  return Found;
}

std::vector<DataCentreId> Membership::dataCentres() const {
  std::vector<DataCentreId> Found;
  for (const auto &[Instance, View] : m_Views)
    Found.push_back(View.m_Peer.m_DataCentre);
  std::sort(Found.begin(), Found.end());
  Found.erase(std::unique(Found.begin(), Found.end()), Found.end());
  return Found;
}

} // namespace psp::membership
