/// \file
/// Keys that were withdrawn, as far as this instance has heard. The set only
/// grows, so any instance may accept a withdrawal, cut off or not, and sets
/// merge by union. The control log accepts it too, as soon as it can.

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
  /// Returns true when \p Key is new here.
  bool add(const base::KeyId &Key);
  /// Returns true when the message told something new.
  bool merge(const messages::WithdrawnKeys &Message);

  /// Tells \p Peers what the control log doesn't hold yet, at intervals.
  void onTick(base::TimePoint Now, const control::ControlState &Control,
              const std::vector<base::InstanceId> &Peers,
              messages::Outbox &Out);
  void spread(const std::vector<base::InstanceId> &Peers,
              messages::Outbox &Out) const;

  bool contains(const base::KeyId &Key) const { return m_Keys.contains(Key); }

private:
  std::set<base::KeyId> m_Keys;
  base::TimePoint m_NextSpread;
};

} // namespace psp::entry

#endif
