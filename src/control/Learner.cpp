#include "control/Learner.h"

#include "base/Error.h"
#include "base/Placement.h"

#include <algorithm>

namespace psp::control {

using base::InstanceId;
using base::TimePoint;

namespace {

/// Minimum time between two hellos when the state makes no progress.
constexpr base::Duration MinHelloInterval = base::milliseconds(50);

} // namespace

Learner::Learner(LearnerOptions Options)
    : m_Options(std::move(Options)),
      m_Sources(
          base::rankInstances(m_Options.m_Self.str(), m_Options.m_Ledgers)),
      m_Feed({.m_Self = m_Options.m_Self,
              .m_PushInterval = m_Options.m_HelloInterval}) {
  base::checkInvariant(!m_Sources.empty(), "a learner needs a source");
}

void Learner::onMessage(const InstanceId &From,
                        const messages::LogMessage &Message,
                        const base::Now &Now, messages::Outbox &Out) {
  switch (Message.body_case()) {
  case messages::LogMessage::kLearnerPush:
    onPush(Message.learner_push(), Now.m_Monotonic, Out);
    return;
  case messages::LogMessage::kLearnerHello:
    m_Feed.onHello(From, Message.learner_hello(), m_State, age(Now.m_Monotonic),
                   Now.m_Monotonic, Out);
    return;
  default:
    throw base::UserError(base::ErrorKind::BadRequest,
                          "log: expected a learner message, found "
                          "another kind from " +
                              From.str());
  }
}

void Learner::onPush(const messages::LearnerPush &Push, TimePoint Now,
                     messages::Outbox &Out) {
  std::uint64_t NumberBefore = m_State.configuration().number();
  std::uint64_t IndexBefore = m_State.appliedIndex();
  if (Push.has_snapshot())
    installSnapshot(Push.snapshot());
  applyEntries(Push);
  base::checkInvariant(m_State.configuration().number() >= NumberBefore &&
                           m_State.appliedIndex() >= IndexBefore,
                       "the state of a learner must not go back");

  bool IsSame = m_State.appliedIndex() == Push.commit_index() &&
                base::toBytes(m_State.digest()) == Push.digest();
  if (IsSame) {
    // The push may have been delayed in transit, but it can't have been sent
    // before the hello that it answers.
    TimePoint HelloSentAt{base::Duration(Push.hello_sent_us())};
    TimePoint ConfirmedAt =
        std::min(HelloSentAt, Now) - base::milliseconds(Push.age_ms());
    m_LastConfirmedAt =
        std::max(m_LastConfirmedAt.value_or(ConfirmedAt), ConfirmedAt);
  } else if (Push.commit_index() >= m_State.appliedIndex()) {
    // Entries are missing or the states differ. As long as the state makes
    // progress, the next hello is sent at once.
    bool HasMoved = m_State.appliedIndex() > IndexBefore;
    if (HasMoved || Now - m_LastHelloAt.value_or(Now) >= MinHelloInterval)
      sendHello(Now, Out);
  }
}

void Learner::applyEntries(const messages::LearnerPush &Push) {
  for (const messages::LogEntry &Entry : Push.entries()) {
    if (Entry.index() <= m_State.appliedIndex())
      continue;
    if (Entry.index() != m_State.appliedIndex() + 1)
      return;
    m_State.apply(Entry.index(), Entry.command());
    m_Feed.add(Entry, m_State);
  }
}

void Learner::installSnapshot(const messages::ControlSnapshot &Snapshot) {
  bool IsOld =
      Snapshot.applied_index() < m_State.appliedIndex() ||
      Snapshot.configuration().number() < m_State.configuration().number();
  bool IsSame = Snapshot.applied_index() == m_State.appliedIndex() &&
                Snapshot.digest() == base::toBytes(m_State.digest());
  if (IsOld || IsSame)
    return;
  m_State.restore(Snapshot);
  m_Feed.reset(m_State);
}

void Learner::onTick(const base::Now &Now, messages::Outbox &Out) {
  TimePoint Time = Now.m_Monotonic;
  if (!m_SourceSelectedAt)
    m_SourceSelectedAt = Time;
  TimePoint LastConfirmedAt = std::max(
      *m_SourceSelectedAt, m_LastConfirmedAt.value_or(*m_SourceSelectedAt));
  if (Time - LastConfirmedAt >= m_Options.m_SourceTimeout) {
    m_Source = (m_Source + 1) % m_Sources.size();
    m_SourceSelectedAt = Time;
    sendHello(Time, Out);
  } else if (!m_LastHelloAt ||
             Time - *m_LastHelloAt >= m_Options.m_HelloInterval) {
    sendHello(Time, Out);
  }
  m_Feed.onTick(m_State, age(Time), Time, Out);
}

void Learner::sendHello(TimePoint Now, messages::Outbox &Out) {
  m_LastHelloAt = Now;
  messages::Envelope &Envelope = Out.add(source());
  Envelope.set_sender(m_Options.m_Self.str());
  Envelope.set_recipient(source().str());
  messages::LearnerHello &Hello =
      *Envelope.mutable_log()->mutable_learner_hello();
  Hello.set_applied_index(m_State.appliedIndex());
  Hello.set_digest(base::toBytes(m_State.digest()));
  Hello.set_sent_us(static_cast<std::uint64_t>(Now.time_since_epoch().count()));
}

base::Duration Learner::age(TimePoint Now) const {
  // Before the first contact, report an age that makes learners prefer any
  // other source.
  constexpr base::Duration Unknown = std::chrono::hours(1);
  return m_LastConfirmedAt ? Now - *m_LastConfirmedAt : Unknown;
}

} // namespace psp::control
