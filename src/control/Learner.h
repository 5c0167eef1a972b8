/// \file
/// Follows the control log without a vote, on every entry instance.

#ifndef PSP_CONTROL_LEARNER_H
#define PSP_CONTROL_LEARNER_H

#include "base/Ids.h"
#include "base/Time.h"
#include "control/ControlState.h"
#include "control/LearnerFeed.h"
#include "generated/log.pb.h"
#include "messages/Outbox.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace psp::control {

struct LearnerOptions {
  base::InstanceId m_Self;
  /// Ledgers, or learners that relay. Each learner prefers another order.
  std::vector<base::InstanceId> m_Ledgers;
  base::Duration m_HelloInterval = base::milliseconds(500);
  /// Another source is tried after this long without news of the leader.
  base::Duration m_SilenceTimeout = base::milliseconds(1500);
};

/// Says hello to one source, which pushes committed entries, a snapshot after
/// a gap, and at a fixed interval the index and digest of its state.
///
/// The state only goes forward: entries and snapshots behind it are ignored.
/// A state from a source that is itself cut off is taken, since an old
/// configuration serves better than none, but it doesn't count as heard.
class Learner {
public:
  explicit Learner(LearnerOptions Options);

  void onMessage(const base::InstanceId &From,
                 const messages::LogMessage &Message, const base::Now &Now,
                 messages::Outbox &Out);
  void onTick(const base::Now &Now, messages::Outbox &Out);

  const ControlState &state() const { return m_State; }

  /// False until anything that was committed is known.
  bool hasState() const { return m_State.appliedIndex() > 0; }

  /// When the leader's side was last known to stand where this state stands
  /// or nearer the beginning; empty before the first contact.
  std::optional<base::TimePoint> lastHeard() const { return m_LastHeard; }

  /// The source in use.
  const base::InstanceId &source() const { return m_Sources[m_Source]; }

private:
  void onPush(const messages::LearnerPush &Push, base::TimePoint Now,
              messages::Outbox &Out);
  void applyEntries(const messages::LearnerPush &Push);
  void takeSnapshot(const messages::ControlSnapshot &Snapshot);
  void sayHello(base::TimePoint Now, messages::Outbox &Out);
  base::Duration age(base::TimePoint Now) const;

  LearnerOptions m_Options;
  std::vector<base::InstanceId> m_Sources; ///< Best first.
  std::size_t m_Source = 0;
  ControlState m_State;
  LearnerFeed m_Feed;
  std::optional<base::TimePoint> m_LastHeard;
  std::optional<base::TimePoint> m_SourceSince;
  std::optional<base::TimePoint> m_LastHello;
};

} // namespace psp::control

#endif
