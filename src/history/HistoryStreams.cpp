#include "history/HistoryNode.h"

#include <algorithm>
#include <utility>

namespace psp::history {

namespace asio = boost::asio;

/// Begins a turn that takes up a stream, on an engine of the version that began
/// it. Whether the stream is unknown is decided by the group's own log, since a
/// leader that is cut off may lack its record.
void HistoryNode::onTakeUp(const std::string &From, Request Received) {
  const auto &Begin = Received.begin();
  const turns::StreamVersion *Version =
      m_Hosted.at(Received.group())
          ->m_State.ledger()
          .streams()
          .find(Begin.organisation(), Begin.resumes());
  m_Node.log().write(
      "stream_searched",
      {{"request", Begin.turn()},
       {"resumes", Begin.resumes()},
       {"organisation", Begin.organisation()},
       {"software", Version ? Version->m_Software : std::string()},
       {"found", Version ? "yes" : "no"}});
  if (!Version) {
    propose(From, Received, {});
    return;
  }
  Received.mutable_begin()->set_software(Version->m_Software);
  requestSlot(From, Received);
}

/// Records a stream that no turn of this group begins, or whose turn has begun
/// without a slot.
void HistoryNode::onRecordStream(const std::string &From,
                                 const Request &Received) {
  HistoryStateMachine &State = m_Hosted.at(Received.group())->m_State;
  if (State.pendingCommands() >= MaxPendingCommands) {
    replyKind(From, Received.id(), messages::fleet::REPLY_UNAVAILABLE);
    return;
  }
  if (!State.coalesce(From, Received))
    propose(From, Received, {});
}

asio::awaitable<void> HistoryNode::replyToFindStream(std::string From,
                                                     Request Received) {
  const auto &Wanted = Received.find_stream();
  const std::uint32_t Number = Received.group();
  const auto Find = [&] {
    return m_Hosted.at(Number)->m_State.ledger().streams().find(
        Wanted.organisation(), Wanted.stream());
  };
  Reply Outgoing;
  const turns::StreamVersion *Version = Find();
  if (!Version) {
    const bool Confirmed = co_await confirmRead(Number);
    Version = Find();
    Outgoing.set_kind(Confirmed ? messages::fleet::REPLY_STREAM_UNKNOWN
                                : messages::fleet::REPLY_UNAVAILABLE);
  }
  if (Version) {
    const std::uint64_t NowMs = base::readClocks().m_Wall / 1000;
    Outgoing.set_kind(messages::fleet::REPLY_OK);
    Outgoing.set_software(Version->m_Software);
    Outgoing.set_age_ms(NowMs - std::min(NowMs, Version->m_RecordedMs));
  }
  reply(From, Received.id(), std::move(Outgoing));
}

} // namespace psp::history
