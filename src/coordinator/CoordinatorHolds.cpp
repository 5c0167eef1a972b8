#include "coordinator/Coordinator.h"

#include "base/Hash.h"
#include "fleet/RequestFingerprint.h"
#include "metrics/Names.h"

#include <algorithm>
#include <utility>

namespace psp::coordinator {

namespace asio = boost::asio;
using base::readMonotonic;
using messages::fleet::HeldRequest;
using messages::fleet::NODE_ENTRY;

namespace {

std::uint64_t wallMs() { return base::readClocks().m_Wall / 1000; }

} // namespace

void Coordinator::onCrashReports(const messages::fleet::CrashReports &Reports) {
  for (const auto &Crash : Reports.crashes())
    onCrash(Crash);
  for (const std::string &Fingerprint : Reports.succeeded()) {
    m_CrashTracker.clear(Fingerprint);
    if (group().isEstablishedLeader() &&
        m_StateMachine.heldRequests().find(Fingerprint)) {
      messages::fleet::ControlGroupCommand Command;
      Command.mutable_release()->set_fingerprint(Fingerprint);
      m_Group->propose(ControlGroup, Command.SerializeAsString());
    }
  }
}

void Coordinator::onCrash(const messages::fleet::EndpointCrash &Crash) {
  const std::string &Fingerprint = Crash.fingerprint();
  const std::string Path = fleet::pathFingerprint(Fingerprint);
  const base::TimePoint Now = readMonotonic();
  bool Held = false;
  for (const std::string &Key : {Fingerprint, Path}) {
    if (!m_StateMachine.heldRequests().find(Key))
      continue;
    m_CrashTracker.onHeld(Key, Now);
    if (Key == Path)
      m_PathTrials.onCrash(Path, Now);
    Held = true;
  }
  const bool Counted = m_CrashTracker.onCrash(Crash, Now);
  if (Held)
    return;
  const CrashTracker::Suspect &Suspected = *m_CrashTracker.find(Fingerprint);
  m_Node.log().write("endpoint_crash_reported",
                     {{"fingerprint", base::toHex(Fingerprint)},
                      {"organisation", Crash.organisation()},
                      {"route", Crash.route()},
                      {"endpoint", Crash.endpoint()},
                      {"counted", Counted ? "yes" : "no"},
                      {"crashes", Suspected.m_Counted.size()},
                      {"endpoints", Suspected.m_Endpoints.size()}});
  holdSuspects();
  if (!Counted)
    return;
  m_Node.metrics().counter(metrics::names::EndpointCrashes).add();
  if (!group().isEstablishedLeader())
    return;
  LinkMessage Message;
  for (const std::string &Key : {Fingerprint, Path})
    if (m_CrashTracker.isSuspect(Key))
      Message.mutable_suspected()->add_fingerprints(Key);
  if (Message.has_suspected())
    m_Node.broadcast(Message, NODE_ENTRY);
}

/// Proposes to hold the requests that have ended too many endpoints.
void Coordinator::holdSuspects() {
  if (!group().isEstablishedLeader())
    return;
  for (const std::string &Fingerprint : m_CrashTracker.requestsToHold()) {
    if (m_StateMachine.heldRequests().find(Fingerprint) ||
        !m_PendingHolds.insert(Fingerprint).second)
      continue;
    const CrashTracker::Suspect &Suspected = *m_CrashTracker.find(Fingerprint);
    messages::fleet::ControlGroupCommand Command;
    auto &Hold = *Command.mutable_hold();
    Hold.set_fingerprint(Fingerprint);
    Hold.set_organisation(Suspected.m_Organisation);
    Hold.set_route(Suspected.m_Route);
    Hold.set_hold(m_StateMachine.heldRequests().nextHold(Fingerprint));
    for (const auto &[Endpoint, StartTime] : Suspected.m_Endpoints)
      Hold.add_endpoints(Endpoint);
    if (!m_Group->propose(ControlGroup, Command.SerializeAsString()))
      m_PendingHolds.erase(Fingerprint); // Proposed again by the maintenance.
  }
}

void Coordinator::publishHeldRequests() {
  const messages::fleet::HeldRequests &Held =
      m_StateMachine.heldRequests().state();
  std::set<std::string> HeldPaths;
  for (const HeldRequest &Entry : Held.requests()) {
    HeldPaths.insert(fleet::pathFingerprint(Entry.fingerprint()));
    m_CrashTracker.onHeld(Entry.fingerprint(), readMonotonic());
    if (Entry.fingerprint() == fleet::pathFingerprint(Entry.fingerprint()))
      m_PathTrials.onHeld(Entry.fingerprint(), readMonotonic());
    m_PendingHolds.erase(Entry.fingerprint());
    if (m_LoggedHolds[Entry.fingerprint()] == Entry.holds())
      continue;
    m_LoggedHolds[Entry.fingerprint()] = Entry.holds();
    m_Node.log().write(
        "request_held",
        {{"fingerprint", base::toHex(Entry.fingerprint())},
         {"organisation", Entry.organisation()},
         {"route", Entry.route()},
         {"endpoints", static_cast<std::uint64_t>(Entry.endpoints_size())},
         {"holds", Entry.holds()},
         {"since_ms", Entry.since_ms()},
         {"until_ms", Entry.until_ms()}});
  }
  std::erase_if(m_LoggedHolds, [&](const auto &Entry) {
    const bool Ended = !m_StateMachine.heldRequests().find(Entry.first);
    if (Ended) {
      m_CrashTracker.clear(Entry.first);
      m_PathTrials.onReleased(Entry.first);
    }
    return Ended;
  });
  m_CrashTracker.setHeldPaths(std::move(HeldPaths));
  m_PublishedHolds = Held.revision();
  m_Node.metrics()
      .gauge(metrics::names::RequestsHeld)
      .set(Held.requests_size());
  m_Node.broadcast(heldRequestsMessage(), NODE_ENTRY);
}

Coordinator::LinkMessage Coordinator::heldRequestsMessage() const {
  LinkMessage Message;
  *Message.mutable_held() = m_StateMachine.heldRequests().state();
  const std::uint64_t Now = wallMs();
  for (HeldRequest &Entry : *Message.mutable_held()->mutable_requests()) {
    Entry.set_left_ms(m_StateMachine.heldRequests().leftMs(Entry, Now));
    Entry.clear_endpoints();
  }
  return Message;
}

/// Lets one call try a held request whose hold has ended. The next hold begins
/// at once, so that the call is the only one even if this node fails.
asio::awaitable<Coordinator::Reply>
Coordinator::tryHeldRequest(std::string Fingerprint) {
  Reply Result;
  Result.set_kind(messages::fleet::REPLY_OK);
  const HeldRequest *Held = m_StateMachine.heldRequests().find(Fingerprint);
  if (!Held)
    co_return Result;
  Result.set_kind(messages::fleet::REPLY_BUSY);
  if (m_StateMachine.heldRequests().leftMs(*Held, wallMs()) > 0 ||
      !m_PendingTries.insert(Fingerprint).second)
    co_return Result;
  messages::fleet::ControlGroupCommand Command;
  Command.mutable_hold()->set_fingerprint(Fingerprint);
  Command.mutable_hold()->set_hold(Held->holds() + 1);
  const bool Committed = co_await commit(std::move(Command));
  m_PendingTries.erase(Fingerprint);
  m_Node.log().write("held_request_tried",
                     {{"fingerprint", base::toHex(Fingerprint)},
                      {"outcome", Committed ? "granted" : "not committed"}});
  if (Committed)
    Result.set_kind(messages::fleet::REPLY_OK);
  co_return Result;
}

/// Lets turns that continue retained ones be sent one after another while their
/// path is held. The first that an endpoint answers releases the path.
Coordinator::Reply Coordinator::tryTurnOnHeldPath(const std::string &Path) {
  Reply Result;
  if (!m_StateMachine.heldRequests().find(Path))
    return Result;
  const base::Duration Wait = m_PathTrials.take(Path, readMonotonic());
  const bool Granted = Wait == base::Duration(0);
  if (!Granted) {
    Result.set_kind(messages::fleet::REPLY_BUSY);
    Result.set_wait_ms(
        static_cast<std::uint32_t>(base::wholeMilliseconds(Wait)));
  }
  m_Node.log().write("held_path_tried",
                     {{"fingerprint", base::toHex(Path)},
                      {"outcome", Granted ? "granted" : "later"},
                      {"wait_ms", Result.wait_ms()}});
  return Result;
}

asio::awaitable<ControlAnswer>
Coordinator::releaseRequest(ReleaseRequestCall Call) {
  const auto &Requests = m_StateMachine.heldRequests().state().requests();
  const auto Held =
      std::ranges::find_if(Requests, [&](const HeldRequest &Listed) {
        return base::toHex(Listed.fingerprint()) == Call.m_FingerprintHex;
      });
  if (Held == Requests.end())
    co_return FailureAnswer(base::ErrorKind::NotFound,
                            "no held request has this fingerprint");
  Request Outgoing;
  Outgoing.mutable_release()->set_fingerprint(Held->fingerprint());
  const Reply Received = co_await execute(std::move(Outgoing), true);
  m_Node.log().write(
      "request_released",
      {{"fingerprint", Call.m_FingerprintHex},
       {"outcome", messages::fleet::ReplyKind_Name(Received.kind())}});
  co_return controlAnswerOf(Received);
}

} // namespace psp::coordinator
