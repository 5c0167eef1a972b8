#include "control/LearnerFeed.h"

#include <algorithm>

namespace psp::control {

using base::Duration;
using base::InstanceId;
using base::TimePoint;

void LearnerFeed::onHello(const InstanceId &From,
                          const messages::LearnerHello &Hello,
                          const ControlState &State, Duration Age,
                          TimePoint Now, messages::Outbox &Out) {
  LearnerProgress &Learner = m_Learners[From];
  Learner.m_LastHelloAt = Now;
  Learner.m_HelloSentUs = Hello.sent_us();
  Learner.m_SentIndex = Hello.applied_index();
  bool IsAhead = Hello.applied_index() > State.appliedIndex();
  std::optional<base::Digest> Digest = m_Tail.digestAt(Hello.applied_index());
  bool Agrees = Digest && base::toBytes(*Digest) == Hello.digest();
  push(From, Learner, !IsAhead && !Agrees, State, Age, Now, Out);
}

void LearnerFeed::onTick(const ControlState &State, Duration Age, TimePoint Now,
                         messages::Outbox &Out) {
  std::erase_if(m_Learners, [&](const auto &Entry) {
    return Now - Entry.second.m_LastHelloAt > m_Options.m_LearnerTimeout;
  });
  for (auto &[To, Learner] : m_Learners) {
    bool IsBehind = Learner.m_SentIndex < State.appliedIndex();
    bool NeedsSnapshot = IsBehind && !m_Tail.digestAt(Learner.m_SentIndex);
    bool IsDue = Now - Learner.m_LastPushAt >= m_Options.m_PushInterval;
    if (IsDue || (IsBehind && !NeedsSnapshot))
      push(To, Learner, NeedsSnapshot, State, Age, Now, Out);
  }
}

bool LearnerFeed::snapshotIsDue(const LearnerProgress &Learner,
                                TimePoint Now) const {
  return !Learner.m_LastSnapshotAt ||
         Now - *Learner.m_LastSnapshotAt >= m_Options.m_PushInterval;
}

void LearnerFeed::push(const InstanceId &To, LearnerProgress &Learner,
                       bool NeedsSnapshot, const ControlState &State,
                       Duration Age, TimePoint Now, messages::Outbox &Out) {
  messages::Envelope &Envelope = Out.add(To);
  Envelope.set_sender(m_Options.m_Self.str());
  Envelope.set_recipient(To.str());
  messages::LearnerPush &Push = *Envelope.mutable_log()->mutable_learner_push();
  Push.set_commit_index(State.appliedIndex());
  Push.set_digest(base::toBytes(State.digest()));
  Push.set_age_ms(base::wholeMilliseconds(Age));
  Push.set_hello_sent_us(Learner.m_HelloSentUs);
  Learner.m_LastPushAt = Now;
  if (NeedsSnapshot) {
    // Frequent hellos of a learner must not cause frequent snapshots.
    if (!snapshotIsDue(Learner, Now))
      return;
    *Push.mutable_snapshot() = State.snapshot();
    Learner.m_LastSnapshotAt = Now;
    Learner.m_SentIndex = State.appliedIndex();
    return;
  }
  if (Learner.m_SentIndex >= State.appliedIndex())
    return;
  m_Tail.copyAfter(Learner.m_SentIndex, *Push.mutable_entries());
  Learner.m_SentIndex += static_cast<std::uint64_t>(Push.entries_size());
}

} // namespace psp::control
