#include "entry/WithdrawnKeys.h"

namespace psp::entry {

namespace {
constexpr base::Duration BroadcastInterval = base::milliseconds(500);
} // namespace

bool WithdrawnKeys::add(const base::KeyId &Key) {
  return m_Keys.insert(Key).second;
}

bool WithdrawnKeys::merge(const messages::WithdrawnKeys &Message) {
  bool Added = false;
  for (const std::string &Key : Message.key_ids())
    Added |= add(base::KeyId(Key));
  return Added;
}

void WithdrawnKeys::onTick(base::TimePoint Now,
                           const control::ControlState &Control,
                           const std::vector<base::InstanceId> &Peers,
                           messages::Outbox &Out) {
  if (Now < m_NextBroadcast)
    return;
  m_NextBroadcast = Now + BroadcastInterval;
  std::erase_if(
      m_Keys, [&](const base::KeyId &Key) { return Control.isWithdrawn(Key); });
  broadcast(Peers, Out);
}

void WithdrawnKeys::broadcast(const std::vector<base::InstanceId> &Peers,
                              messages::Outbox &Out) const {
  if (m_Keys.empty())
    return;
  for (const base::InstanceId &Peer : Peers) {
    messages::WithdrawnKeys &Message = *Out.add(Peer).mutable_withdrawn_keys();
    for (const base::KeyId &Key : m_Keys)
      Message.add_key_ids(Key.str());
  }
}

} // namespace psp::entry
