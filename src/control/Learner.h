/// \file
/// A non-voting replica of the control log. Every entry instance has one.

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
  /// Ledgers, or learners that relay. Each learner ranks them differently.
  std::vector<base::InstanceId> m_Ledgers;
  base::Duration m_HelloInterval = base::milliseconds(500);
  /// The learner switches to the next source when its state has not been
  /// confirmed as up to date for this long.
  base::Duration m_SourceTimeout = base::milliseconds(1500);
};

/// Sends hellos to one source. The source pushes committed entries, a snapshot
/// after a gap, and the index and digest of its state at a fixed interval.
///
/// The state never goes back: older entries and snapshots are ignored. A state
/// from a source that is itself disconnected from the leader is accepted,
/// because an old configuration is better than none, but lastConfirmedAt()
/// does not advance by it.
class Learner {
public:
  explicit Learner(LearnerOptions Options);

  void onMessage(const base::InstanceId &From,
                 const messages::LogMessage &Message, const base::Now &Now,
                 messages::Outbox &Out);
  void onTick(const base::Now &Now, messages::Outbox &Out);

  const ControlState &state() const { return m_State; }

  /// False until the first committed entry or snapshot is applied.
  bool hasState() const { return m_State.appliedIndex() > 0; }

  /// The last time at which the leader is known to have committed nothing
  /// beyond this state; empty before the first contact.
  std::optional<base::TimePoint> lastConfirmedAt() const {
    return m_LastConfirmedAt;
  }

  /// The source that currently receives the hellos.
  const base::InstanceId &source() const { return m_Sources[m_Source]; }

private:
  void onPush(const messages::LearnerPush &Push, base::TimePoint Now,
              messages::Outbox &Out);
  void applyEntries(const messages::LearnerPush &Push);
  void installSnapshot(const messages::ControlSnapshot &Snapshot);
  void sendHello(base::TimePoint Now, messages::Outbox &Out);
  base::Duration age(base::TimePoint Now) const;

  LearnerOptions m_Options;
  std::vector<base::InstanceId> m_Sources; ///< Most preferred first.
  std::size_t m_Source = 0;
  ControlState m_State;
  LearnerFeed m_Feed;
  std::optional<base::TimePoint> m_LastConfirmedAt;
  std::optional<base::TimePoint> m_SourceSelectedAt;
  std::optional<base::TimePoint> m_LastHelloAt;
};

} // namespace psp::control

#endif
