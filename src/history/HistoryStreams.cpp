#include "history/HistoryNode.h"

#include "base/Error.h"
#include "fleet/ProgramGroups.h"
#include "history/LaterVersion.h"

#include <algorithm>
#include <utility>

namespace psp::history {

namespace asio = boost::asio;

namespace {

/// Versions of services are remembered for longer than requested by this.
constexpr std::uint64_t AddedRetentionMs = 10'000;

} // namespace

/// Begins a turn that takes up a stream, on an engine of the version that began
/// it.
asio::awaitable<void> HistoryNode::beginTakeUp(ReplyAddress From,
                                               Request Received) {
  auto &Begin = *Received.mutable_begin();
  const FoundStream Found = co_await findStream(
      Received.group(), Begin.organisation(), Begin.resumes());
  m_Node.log().write(
      "stream_searched",
      {{"request", Begin.turn()},
       {"resumes", Begin.resumes()},
       {"organisation", Begin.organisation()},
       {"software", Found.m_Version.m_Software},
       {"found", messages::fleet::ReplyKind_Name(Found.m_Kind)}});
  if (Found.m_Kind != messages::fleet::REPLY_OK) {
    replyKind(From, Received.id(), Found.m_Kind);
    co_return;
  }
  Begin.set_software(Found.m_Version.m_Software);
  // A repeated request may have come meanwhile.
  if (!m_Hosted.at(Received.group())->m_State.coalesce(From, Received) &&
      !m_SlotRequests.coalesce(From, Received))
    findChainAndSlot(From, Received);
}

/// Looks up a stream in a group that this node leads. That the group has no
/// record of it is confirmed by a round to the group's members, since a leader
/// that is cut off may lack the record.
asio::awaitable<HistoryNode::FoundStream>
HistoryNode::findStream(std::uint32_t Number, std::string Organisation,
                        std::string Stream) {
  const auto Find = [&]() -> const turns::StreamVersion * {
    return m_Hosted.at(Number)->m_State.ledger().streams().find(
        Organisation, Stream, wallMs());
  };
  FoundStream Result;
  const turns::StreamVersion *Version = Find();
  if (!Version) {
    const bool Confirmed = co_await confirmRead(Number);
    if (!Confirmed) {
      Result.m_Kind = messages::fleet::REPLY_NOT_LEADER;
      co_return Result;
    }
    Version = Find();
  }
  if (Version) {
    Result.m_Kind = messages::fleet::REPLY_OK;
    Result.m_Version = *Version;
  }
  co_return Result;
}

/// Records a stream that no turn of this group begins, or whose turn has begun
/// without a slot.
void HistoryNode::onRecordStream(const ReplyAddress &From,
                                 const Request &Received) {
  HistoryStateMachine &State = m_Hosted.at(Received.group())->m_State;
  if (State.pendingCommands() >= MaxPendingCommands) {
    replyKind(From, Received.id(), messages::fleet::REPLY_UNAVAILABLE);
    return;
  }
  const std::string Later = laterVersion(Received.stream(), m_Endpoints);
  if (!Later.empty()) {
    Reply Outgoing;
    Outgoing.set_kind(messages::fleet::REPLY_REFUSED);
    Outgoing.set_software(Later);
    reply(From, Received.id(), std::move(Outgoing));
    return;
  }
  // The first record counts, so a later one needs no entry.
  if (const turns::StreamVersion *Recorded =
          State.ledger().streams().find(Received.stream().organisation(),
                                        Received.stream().stream(), wallMs())) {
    Reply Outgoing;
    Outgoing.set_kind(messages::fleet::REPLY_OK);
    Outgoing.set_software(Recorded->m_Software);
    reply(From, Received.id(), std::move(Outgoing));
    return;
  }
  if (!State.coalesce(From, Received))
    propose(From, Received, {});
}

/// All entry instances send the same versions, so few of these requests change
/// the log.
void HistoryNode::onRecordServiceVersion(const ReplyAddress &From,
                                         const Request &Received) {
  HistoryStateMachine &State = m_Hosted.at(Received.group())->m_State;
  const auto &Recorded = Received.service_version();
  const bool Owned = m_GroupCount > 0 &&
                     fleet::dispatchingGroup(Recorded.service(),
                                             m_GroupCount) == Received.group();
  if (!Owned || State.pendingCommands() >= MaxPendingCommands) {
    replyKind(From, Received.id(), messages::fleet::REPLY_UNAVAILABLE);
    return;
  }
  const std::uint64_t NowMs = wallMs();
  if (State.ledger().serviceVersions().expiresMs(Recorded.service(),
                                                 Recorded.software()) >=
      NowMs + Recorded.retention_ms()) {
    replyKind(From, Received.id(), messages::fleet::REPLY_OK);
    return;
  }
  Request Longer = Received;
  Longer.mutable_service_version()->set_retention_ms(Recorded.retention_ms() +
                                                     AddedRetentionMs);
  if (!State.coalesce(From, Longer))
    propose(From, Longer, {});
}

/// A service that has had several versions has none that is known to be that of
/// a stream.
asio::awaitable<void> HistoryNode::replyToFindServiceVersion(ReplyAddress From,
                                                             Request Received) {
  const std::uint32_t Number = Received.group();
  const std::string &Service = Received.find_service_version().service();
  Reply Outgoing;
  Outgoing.set_kind(messages::fleet::REPLY_NOT_LEADER);
  const bool Confirmed = co_await confirmRead(Number);
  std::size_t VersionCount = 0;
  if (Confirmed) {
    const std::set<std::string> Versions =
        m_Hosted.at(Number)->m_State.ledger().serviceVersions().find(Service,
                                                                     wallMs());
    VersionCount = Versions.size();
    Outgoing.set_kind(VersionCount == 1
                          ? messages::fleet::REPLY_OK
                          : messages::fleet::REPLY_STREAM_UNKNOWN);
    if (VersionCount == 1)
      Outgoing.set_software(*Versions.begin());
  }
  m_Node.log().write("service_version_searched",
                     {{"service", Service},
                      {"versions", VersionCount},
                      {"software", Outgoing.software()},
                      {"confirmed", Confirmed ? "yes" : "no"}});
  reply(From, Received.id(), std::move(Outgoing));
}

/// An instance that is cut off from control learns of the endpoints to which
/// its turns are assigned. Endpoints that are silent may have ended long ago.
void HistoryNode::replyToFindEndpoints(const ReplyAddress &From,
                                       const Request &Received) {
  Reply Known;
  fleet::listEndpoints(Received.find_endpoints(), m_Endpoints,
                       base::readMonotonic(), Known);
  Reply Outgoing;
  Outgoing.set_kind(messages::fleet::REPLY_OK);
  for (const fleet::EndpointState &Endpoint : Known.endpoints())
    if (!Endpoint.silent())
      *Outgoing.add_endpoints() = Endpoint;
  reply(From, Received.id(), std::move(Outgoing));
}

asio::awaitable<void> HistoryNode::replyToFindStream(ReplyAddress From,
                                                     Request Received) {
  if (!Received.find_stream().after_event().empty()) {
    co_await replyToFindEvents(From, Received);
    co_return;
  }
  const FoundStream Found = co_await findStream(
      Received.group(), Received.find_stream().organisation(),
      Received.find_stream().stream());
  const std::uint64_t NowMs = wallMs();
  Reply Outgoing;
  Outgoing.set_kind(Found.m_Kind);
  Outgoing.set_software(Found.m_Version.m_Software);
  Outgoing.set_age_ms(NowMs - std::min(NowMs, Found.m_Version.m_RecordedMs));
  reply(From, Received.id(), std::move(Outgoing));
}

/// A leader that is cut off may lack the record of a later attempt, so the
/// state is confirmed by a round to the group's members.
asio::awaitable<void> HistoryNode::replyToFindEvents(ReplyAddress From,
                                                     Request Received) {
  const messages::fleet::FindStream &Wanted = Received.find_stream();
  Reply Outgoing;
  Outgoing.set_kind(messages::fleet::REPLY_NOT_LEADER);
  if (co_await confirmRead(Received.group())) {
    try {
      Outgoing.set_kind(messages::fleet::REPLY_OK);
      m_Hosted.at(Received.group())
          ->m_State.addHandedOutEvents(Wanted, wallMs(), Outgoing);
    } catch (const base::UserError &Error) {
      // Another member has an undamaged copy.
      Outgoing.set_kind(messages::fleet::REPLY_NOT_LEADER);
      m_Node.log().write("entry_damaged", {{"number", Received.group()},
                                           {"reason", Error.what()}});
      m_Groups->transferLeadership(Received.group());
    }
  }
  m_Node.log().write(
      "stream_events_searched",
      {{"stream", Wanted.stream()},
       {"organisation", Wanted.organisation()},
       {"after_event", Wanted.after_event()},
       {"found", messages::fleet::ReplyKind_Name(Outgoing.kind())},
       {"bytes", Outgoing.text().size()}});
  reply(From, Received.id(), std::move(Outgoing));
}

} // namespace psp::history
