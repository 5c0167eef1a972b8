#include "gateway/Call.h"

#include "gateway/Gateway.h"
#include "gateway/RetryTime.h"
#include "metrics/Names.h"
#include "web/Spawn.h"

#include <algorithm>
#include <utility>

namespace psp::gateway {

namespace asio = boost::asio;
using base::ErrorKind;

namespace {

/// Timeout for the record of a version, and for finding one. The first event of
/// a new stream waits for the record, which is on its way while the endpoint
/// prepares the event.
constexpr base::Duration StreamRequestTimeout = base::milliseconds(250);
/// Timeout for what control knows of endpoints.
constexpr base::Duration EndpointsTimeout = base::milliseconds(600);
/// Maximum time that a call waits for an endpoint of its stream's version to
/// become known: an announcement interval.
constexpr base::Duration MaxVersionWait = base::milliseconds(1200);
/// Maximum time that a call waits for the records of earlier attempts at its
/// stream, which are made when these end.
constexpr base::Duration MaxEventsWait = base::milliseconds(1200);
constexpr base::Duration EventsRetryPause = base::milliseconds(40);
/// A stream with a longer name is not recorded, in bytes.
constexpr std::size_t MaxStreamNameBytes = 128;

} // namespace

bool Call::canBeTakenUp() const { return m_Route->canBeTakenUp(); }

bool Call::takesUp() const {
  return canBeTakenUp() &&
         (!m_Metadata.m_LastEventId.empty() || !m_Metadata.m_Resumes.empty());
}

bool Call::namesStream() const {
  return !m_Metadata.m_Resumes.empty() &&
         m_Metadata.m_Resumes.size() <= MaxStreamNameBytes;
}

asio::awaitable<std::optional<Refusal>> Call::findOnlyVersion() {
  if (!m_Metadata.m_Resumes.empty())
    co_return takeUpRefusal(ErrorKind::StreamUnknown);
  co_return co_await useOnlyVersion();
}

asio::awaitable<std::optional<Refusal>> Call::useOnlyVersion() {
  const auto Group = m_Gateway.groupOfService(m_Service);
  std::optional<messages::fleet::Reply> LeaderReply;
  if (Group) {
    messages::fleet::Request LeaderRequest;
    LeaderRequest.set_group(*Group);
    LeaderRequest.mutable_find_service_version()->set_service(m_Service);
    const base::Duration Timeout =
        std::min(m_Gateway.leaderWaitTimeout(*Group), timeLeft());
    LeaderReply = co_await m_Gateway.requestFromLeader(
        messages::fleet::NODE_HISTORY, LeaderRequest, Timeout);
  }
  if (!LeaderReply || LeaderReply->kind() == messages::fleet::REPLY_UNAVAILABLE)
    co_return Refusal(ErrorKind::QuorumUnavailable,
                      "no leader of history answered",
                      m_Gateway.retryDelayWithoutLeader());
  m_Software = LeaderReply->software();
  if (m_Software.empty())
    co_return takeUpRefusal(ErrorKind::StreamUnknown);
  co_return std::nullopt;
}

asio::awaitable<std::optional<Refusal>> Call::useOnlyKnownVersion() {
  std::optional<Refusal> Reason = co_await useOnlyVersion();
  if (Reason)
    co_return Reason;
  // The stream may have begun at a version that history couldn't record either,
  // but not without an announcement of its endpoint.
  const EndpointSearch Search =
      co_await m_Gateway.findEndpoints(messages::fleet::NODE_CONTROL, m_Service,
                                       std::min(EndpointsTimeout, timeLeft()));
  if (!Search.m_Complete)
    co_return Refusal(ErrorKind::QuorumUnavailable,
                      "it is not known whether the service has had other "
                      "software versions",
                      m_Gateway.retryDelayWithoutLeader());
  const auto Known = m_Gateway.endpoints().all(base::readMonotonic());
  const bool HasOther =
      std::ranges::any_of(Known, [this](const fleet::EndpointState &Endpoint) {
        return Endpoint.service() == m_Service &&
               Endpoint.software() != m_Software;
      });
  if (!HasOther)
    co_return std::nullopt;
  m_Software.clear();
  co_return takeUpRefusal(ErrorKind::StreamUnknown);
}

bool Call::isAssignedEndpointUnknown() const {
  if (m_AssignedLearned || m_AssignedBorn == 0)
    return false;
  const fleet::EndpointState *Known =
      m_Gateway.endpoints().find(m_AssignedEndpoint);
  return !Known || Known->born() < m_AssignedBorn;
}

base::Duration Call::versionWaitLeft(base::Duration Limit) {
  const TimePoint Now = base::readMonotonic();
  if (!m_VersionDeadline)
    m_VersionDeadline =
        Now + std::min<base::Duration>(MaxVersionWait, timeLeft() / 2);
  const auto Left =
      std::chrono::duration_cast<base::Duration>(*m_VersionDeadline - Now);
  return std::clamp(Left, base::Duration(0), Limit);
}

asio::awaitable<void> Call::learnAssignedEndpoint() {
  // History has heard of the start, and may be in reach where control isn't.
  co_await m_Gateway.searchEndpoints(messages::fleet::NODE_HISTORY, m_Service,
                                     m_AssignedEndpoint,
                                     versionWaitLeft(StreamRequestTimeout));
  if (isAssignedEndpointUnknown())
    co_await m_Gateway.searchEndpoints(messages::fleet::NODE_CONTROL, m_Service,
                                       m_AssignedEndpoint,
                                       versionWaitLeft(EndpointsTimeout));
  m_AssignedLearned = true;
  markEarlierStartRemoved(m_AssignedEndpoint, m_AssignedBorn);
}

void Call::markEarlierStartRemoved(const std::string &Endpoint,
                                   std::uint64_t Born) {
  const fleet::EndpointState *Known = m_Gateway.endpoints().find(Endpoint);
  if (Known && Known->born() < Born)
    m_Gateway.endpoints().markRemoved(Endpoint, base::readMonotonic());
}

bool Call::isVersionKnown() const {
  bool Known = false;
  m_Gateway.endpoints().forEachUsable(
      m_Service, [&](const fleet::EndpointState &Endpoint) {
        Known = Known || Endpoint.software() == m_Software;
      });
  return Known;
}

asio::awaitable<bool> Call::awaitVersion() {
  const bool KnownBefore = isVersionKnown();
  // It serves again once its data centre is taken back.
  if (!KnownBefore && m_Gateway.endpoints().hasEvacuated(m_Service, m_Software))
    co_return false;
  co_await m_Gateway.findEndpoints(messages::fleet::NODE_HISTORY, m_Service,
                                   versionWaitLeft(StreamRequestTimeout));
  if (!isVersionKnown()) {
    const EndpointSearch Search = co_await m_Gateway.findEndpoints(
        messages::fleet::NODE_CONTROL, m_Service,
        versionWaitLeft(EndpointsTimeout));
    m_VersionGone = Search.m_Complete && !isVersionKnown() &&
                    !m_Gateway.endpoints().hasEvacuated(m_Service, m_Software);
    if (m_VersionGone)
      co_return false;
  }
  if (!isVersionKnown() || KnownBefore)
    co_await m_Gateway.pause(
        versionWaitLeft(m_Gateway.options().m_EndpointSearchInterval));
  const bool TimeLeft = versionWaitLeft(MaxVersionWait) > base::Duration(0);
  co_return TimeLeft && !isCancelled();
}

Refusal Call::versionRefusal() {
  if (m_VersionGone && !m_Software.empty())
    return takeUpRefusal(ErrorKind::StreamVersionGone);
  logTakeUp("not_in_step");
  return {ErrorKind::NoEndpoint,
          "it is not known yet which endpoints have the software version that "
          "began the stream",
          EndpointRetryDelay};
}

void Call::describeStream(messages::fleet::BeginTurn &Begin) const {
  if (!canBeTakenUp())
    return;
  Begin.set_software(m_Software);
  Begin.set_resumes(m_Metadata.m_Resumes);
  Begin.set_stream_retention_ms(
      base::wholeMilliseconds(m_Route->m_Timeout + StreamTakeUpTime));
  Begin.set_after_event(m_Metadata.m_LastEventId);
  Begin.set_records_events(recordsEvents());
}

bool Call::recordsEvents() const {
  return m_IsTurn && m_Route->m_RetainsTurns && canBeTakenUp();
}

asio::awaitable<std::optional<Refusal>>
Call::readEarlierEvents(std::uint32_t Group) {
  if (!recordsEvents() || !namesStream())
    co_return takeUpRefusal(ErrorKind::StreamUnknown);
  messages::fleet::Request LeaderRequest;
  LeaderRequest.set_group(Group);
  auto &Wanted = *LeaderRequest.mutable_find_stream();
  Wanted.set_stream(m_Metadata.m_Resumes);
  Wanted.set_organisation(organisationName());
  Wanted.set_after_event(m_Metadata.m_LastEventId);
  const TimePoint Deadline =
      base::readMonotonic() +
      std::min<base::Duration>(MaxEventsWait, timeLeft() / 2);
  std::optional<messages::fleet::Reply> LeaderReply;
  do {
    if (LeaderReply)
      co_await m_Gateway.pause(EventsRetryPause);
    LeaderReply = co_await m_Gateway.requestFromLeader(
        messages::fleet::NODE_HISTORY, LeaderRequest,
        std::min(m_Gateway.leaderWaitTimeout(Group), timeLeft()));
  } while (LeaderReply && LeaderReply->kind() == messages::fleet::REPLY_BUSY &&
           !isCancelled() && base::readMonotonic() < Deadline);
  if (!LeaderReply || LeaderReply->kind() == messages::fleet::REPLY_UNAVAILABLE)
    co_return Refusal(ErrorKind::QuorumUnavailable,
                      "no leader of history answered",
                      m_Gateway.retryDelayWithoutLeader());
  if (LeaderReply->kind() == messages::fleet::REPLY_BUSY)
    co_return Refusal(ErrorKind::QuorumUnavailable,
                      "the events of an earlier attempt are not recorded yet",
                      EndpointRetryDelay);
  // A leader with earlier software doesn't know of events.
  if (!LeaderReply->has_events() || LeaderReply->events().empty())
    co_return takeUpRefusal(ErrorKind::StreamUnknown);
  if (!m_Held.growTo(m_Held.bytes() + LeaderReply->text().size()))
    co_return Refusal(ErrorKind::Overloaded,
                      "there is no memory for the turn's earlier events",
                      m_Gateway.callMemory().retryDelay());
  for (const messages::fleet::EventMark &Mark : LeaderReply->events())
    m_EarlierEvents.m_Events.push_back(
        {.m_Id = Mark.id(), .m_Bytes = Mark.bytes()});
  m_EarlierEvents.m_Text = std::move(*LeaderReply->mutable_text());
  co_return std::nullopt;
}

Refusal Call::takeUpRefusal(ErrorKind Kind) {
  const bool Unknown = Kind == ErrorKind::StreamUnknown;
  logTakeUp(Unknown ? "unknown" : "no_endpoint");
  return {Kind, Unknown
                    ? "the software version that began the stream is not known"
                    : "no endpoint has the software version that began the "
                      "stream"};
}

asio::awaitable<std::optional<Refusal>> Call::findStream() {
  if (!namesStream())
    co_return co_await findOnlyVersion();
  const auto Group =
      m_Gateway.groupOf(organisationName(), m_Metadata.m_Resumes);
  std::optional<messages::fleet::Reply> LeaderReply;
  if (Group) {
    messages::fleet::Request LeaderRequest;
    LeaderRequest.set_group(*Group);
    LeaderRequest.mutable_find_stream()->set_stream(m_Metadata.m_Resumes);
    LeaderRequest.mutable_find_stream()->set_organisation(organisationName());
    const base::Duration Timeout =
        std::min(m_Gateway.leaderWaitTimeout(*Group), timeLeft());
    LeaderReply = co_await m_Gateway.requestFromLeader(
        messages::fleet::NODE_HISTORY, LeaderRequest, Timeout);
  }
  if (!LeaderReply || LeaderReply->kind() == messages::fleet::REPLY_UNAVAILABLE)
    co_return Refusal(ErrorKind::QuorumUnavailable,
                      "no leader of history answered",
                      m_Gateway.retryDelayWithoutLeader());
  onStreamFound(*LeaderReply);
  if (m_Software.empty())
    co_return co_await useOnlyKnownVersion();
  co_return std::nullopt;
}

void Call::onStreamFound(const messages::fleet::Reply &Found) {
  if (!Found.software().empty())
    m_Software = Found.software();
  m_StreamAge = base::milliseconds(Found.age_ms());
}

void Call::recordStreamAsync(const fleet::EndpointState &Endpoint) {
  const bool AssignedByHistory =
      m_SoftwareFixed && Endpoint.id() == m_AssignedEndpoint;
  const bool SameEndpoint = m_StreamRecord &&
                            m_StreamRecord->m_Endpoint == Endpoint.id() &&
                            m_StreamRecord->m_Born == Endpoint.born();
  if (!canBeTakenUp() || AssignedByHistory || SameEndpoint ||
      Endpoint.software().empty() ||
      m_Metadata.m_Id.size() > MaxStreamNameBytes)
    return;
  if (m_StreamRecord && m_StreamRecord->m_StartEnded)
    forgetEndedStart();
  m_SoftwareFixed = m_SoftwareFixed || m_StreamRecord;
  m_Software = Endpoint.software();
  const auto Earlier = std::exchange(
      m_StreamRecord, std::make_shared<StreamRecord>(m_Gateway.io()));
  if (Earlier)
    Earlier->m_Needed = false;
  m_StreamRecord->m_Endpoint = Endpoint.id();
  m_StreamRecord->m_Born = Endpoint.born();
  m_StreamRecord->m_SentSoftware = m_Software;
  web::spawn(m_Gateway.io().get_executor(), "record_stream", shared_from_this(),
             [Record = m_StreamRecord, Earlier](Call &Self) {
               return Self.recordStream(Record, Earlier);
             });
}

asio::awaitable<void>
Call::recordStream(std::shared_ptr<StreamRecord> Record,
                   std::shared_ptr<StreamRecord> Earlier) {
  // A leader replies to the last of several requests for one stream only.
  if (Earlier)
    co_await Earlier->m_Finished.wait(StreamRequestTimeout);
  const std::string &GroupName =
      m_IsTurn ? m_Metadata.m_Program : m_Metadata.m_Id;
  const auto Group = m_Gateway.groupOf(organisationName(), GroupName);
  messages::fleet::Request LeaderRequest;
  if (Group) {
    LeaderRequest.set_group(*Group);
    auto &Stream = *LeaderRequest.mutable_stream();
    Stream.set_stream(m_Metadata.m_Id);
    Stream.set_organisation(organisationName());
    Stream.set_software(Record->m_SentSoftware);
    Stream.set_endpoint(Record->m_Endpoint);
    Stream.set_born(Record->m_Born);
    Stream.set_retention_ms(
        base::wholeMilliseconds(m_Route->m_Timeout + StreamTakeUpTime));
    const auto LeaderReply = co_await m_Gateway.requestFromLeader(
        messages::fleet::NODE_HISTORY, LeaderRequest, StreamRequestTimeout);
    if (LeaderReply) {
      Record->m_Software = LeaderReply->software();
      Record->m_StartEnded =
          LeaderReply->kind() == messages::fleet::REPLY_REFUSED &&
          !Record->m_Software.empty();
    }
  }
  Record->m_Finished.fire();
  if (!Record->m_Software.empty())
    co_return;
  const bool Repeats =
      Group && m_Gateway.recordStreamLater(
                   {.m_Request = std::move(LeaderRequest),
                    .m_Until = m_Deadline + StreamTakeUpTime,
                    .m_IsNeeded = [Record] { return Record->m_Needed; }});
  m_Gateway.node().log().write("stream_not_recorded",
                               {{"request", m_Metadata.m_Id},
                                {"organisation", organisationName()},
                                {"software", Record->m_SentSoftware},
                                {"repeats", Repeats ? "yes" : "no"}});
}

void Call::forgetEndedStart() {
  markEarlierStartRemoved(m_StreamRecord->m_Endpoint,
                          m_StreamRecord->m_Born + 1);
  m_StreamRecord.reset();
  // A new stream may begin at any version.
  if (!takesUp() && !m_SoftwareFixed)
    m_Software.clear();
}

asio::awaitable<bool> Call::awaitStreamRecord() {
  if (m_StreamRecord) {
    co_await m_StreamRecord->m_Finished.wait(2 * StreamRequestTimeout);
    const std::string &Recorded = m_StreamRecord->m_Software;
    if (!Recorded.empty() && Recorded != m_Software) {
      if (m_StreamRecord->m_StartEnded)
        forgetEndedStart();
      co_return false;
    }
  }
  // Without an answer the stream goes on.
  if (canBeTakenUp() && !m_Software.empty())
    co_await m_Gateway.ensureVersionRecorded(m_Service, m_Software,
                                             StreamRequestTimeout);
  if (takesUp())
    logTakeUp("went_on");
  co_return true;
}

void Call::logTakeUp(std::string_view Outcome) {
  m_Gateway.node()
      .metrics()
      .counter(metrics::names::StreamsTakenUp,
               {{"outcome", std::string(Outcome)}})
      .add();
  m_Gateway.node().log().write(
      "stream_taken_up",
      {{"request", m_Metadata.m_Id},
       {"resumes", m_Metadata.m_Resumes.substr(0, MaxStreamNameBytes)},
       {"after_event", m_Metadata.m_LastEventId.substr(0, MaxStreamNameBytes)},
       {"organisation", organisationName()},
       {"service", m_Service},
       {"software", m_Software},
       {"known_by", m_Software.empty() ? "none"
                    : namesStream()    ? "history"
                                       : "service"},
       {"age_us", static_cast<std::uint64_t>(m_StreamAge.count())},
       {"endpoint", m_CurrentEndpoint},
       {"outcome", Outcome}});
}

} // namespace psp::gateway
