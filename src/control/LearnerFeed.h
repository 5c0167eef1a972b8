/// \file
/// Sends committed state to learners: the entries or the snapshot that they
/// lack, and at a fixed interval the index and the digest by which they detect
/// what they missed. Used by ledgers, and by learners that relay to other
/// learners.

#ifndef PSP_CONTROL_LEARNERFEED_H
#define PSP_CONTROL_LEARNERFEED_H

#include "base/Ids.h"
#include "base/Time.h"
#include "control/CommittedTail.h"
#include "control/ControlState.h"
#include "messages/Outbox.h"

#include <cstdint>
#include <map>
#include <optional>

namespace psp::control {

struct LearnerFeedOptions {
  base::InstanceId m_Self;
  base::Duration m_PushInterval = base::milliseconds(500);
  /// A learner that sent no hello for this long is removed.
  base::Duration m_LearnerTimeout = base::seconds(5);
};

class LearnerFeed {
public:
  explicit LearnerFeed(LearnerFeedOptions Options) : m_Options(Options) {}

  /// Discards the retained entries after \p State was restored; the next one
  /// follows it.
  void reset(const ControlState &State) { m_Tail.reset(State); }

  /// Retains \p Entry, which was just applied and produced \p State.
  void add(const messages::LogEntry &Entry, const ControlState &State) {
    m_Tail.add(Entry, State);
  }

  /// \p Age is the time since the leader last confirmed the state of this
  /// instance, directly or through other sources. Learners prefer a feed that
  /// is up to date.
  void onHello(const base::InstanceId &From,
               const messages::LearnerHello &Hello, const ControlState &State,
               base::Duration Age, base::TimePoint Now, messages::Outbox &Out);

  /// Sends newly committed entries, and the digest at each interval.
  void onTick(const ControlState &State, base::Duration Age,
              base::TimePoint Now, messages::Outbox &Out);

  std::size_t learnerCount() const { return m_Learners.size(); }

private:
  struct LearnerProgress {
    std::uint64_t m_SentIndex = 0;
    /// By the learner's clock; returned to it.
    std::uint64_t m_HelloSentUs = 0;
    base::TimePoint m_LastHelloAt;
    base::TimePoint m_LastPushAt;
    std::optional<base::TimePoint> m_LastSnapshotAt;
  };

  bool snapshotIsDue(const LearnerProgress &Learner, base::TimePoint Now) const;
  void push(const base::InstanceId &To, LearnerProgress &Learner,
            bool NeedsSnapshot, const ControlState &State, base::Duration Age,
            base::TimePoint Now, messages::Outbox &Out);

  LearnerFeedOptions m_Options;
  CommittedTail m_Tail;
  std::map<base::InstanceId, LearnerProgress> m_Learners;
};

} // namespace psp::control

#endif
