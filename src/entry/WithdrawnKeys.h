/// \file
/// The withdrawn keys that have been reported to this instance. Withdrawals are
/// never revoked, so any instance may accept one, even while it is cut off, and
/// sets merge by union. The control log also accepts each withdrawal as soon as
/// it can.

#ifndef PSP_ENTRY_WITHDRAWNKEYS_H
#define PSP_ENTRY_WITHDRAWNKEYS_H

#include "base/Ids.h"
#include "base/Time.h"
#include "control/ControlState.h"
#include "generated/peer.pb.h"
#include "messages/Outbox.h"

#include <set>
#include <vector>

namespace psp::entry {

class WithdrawnKeys {
public:
  /// Returns true when \p Key was not yet in the set.
  bool add(const base::KeyId &Key);
  /// Returns true when the message contained a new key.
  bool merge(const messages::WithdrawnKeys &Message);

  /// Periodically sends \p Peers the keys that the control log doesn't list as
  /// withdrawn yet.
  void onTick(base::TimePoint Now, const control::ControlState &Control,
              const std::vector<base::InstanceId> &Peers,
              messages::Outbox &Out);
  void broadcast(const std::vector<base::InstanceId> &Peers,
                 messages::Outbox &Out) const;

  bool contains(const base::KeyId &Key) const { return m_Keys.contains(Key); }

private:
  std::set<base::KeyId> m_Keys;
  base::TimePoint m_NextBroadcast;
};

} // namespace psp::entry

#endif
