/// \file
/// Serves learners from committed state: what they lack, and at a fixed
/// interval the index and the digest by which they find what they missed.
/// Used by ledgers, and by learners that relay to other learners.

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
  /// A learner that said no hello for this long is dropped.
  base::Duration m_LearnerTimeout = base::seconds(5);
};

class LearnerFeed {
public:
  explicit LearnerFeed(LearnerFeedOptions Options) : m_Options(Options) {}

  /// Starts the kept entries again behind \p State, which was restored.
  void reset(const ControlState &State) { m_Tail.reset(State); }

  /// Keeps \p Entry, which was just applied and led to \p State.
  void add(const messages::LogEntry &Entry, const ControlState &State) {
    m_Tail.add(Entry, State);
  }

  /// \p Age is the time since this instance last heard from the leader's
  /// side; learners prefer a feed that is up to date.
  void onHello(const base::InstanceId &From,
               const messages::LearnerHello &Hello, const ControlState &State,
               base::Duration Age, base::TimePoint Now, messages::Outbox &Out);

  /// Sends what was committed since, and the digest at each interval.
  void onTick(const ControlState &State, base::Duration Age,
              base::TimePoint Now, messages::Outbox &Out);

  std::size_t learnerCount() const { return m_Learners.size(); }

private:
  struct Served {
    std::uint64_t m_SentIndex = 0;
    std::uint64_t m_HelloSent = 0; ///< By the learner's clock.
    base::TimePoint m_LastHello;
    base::TimePoint m_LastPush;
    std::optional<base::TimePoint> m_LastSnapshot;
  };

  bool snapshotIsDue(const Served &Learner, base::TimePoint Now) const;
  void push(const base::InstanceId &To, Served &Learner, bool NeedsSnapshot,
            const ControlState &State, base::Duration Age, base::TimePoint Now,
            messages::Outbox &Out);

  LearnerFeedOptions m_Options;
  CommittedTail m_Tail;
  std::map<base::InstanceId, Served> m_Learners;
};

} // namespace psp::control

#endif
