/// Parts of chains that are too long for one reply.

#include "history/HistoryNode.h"

#include "base/Error.h"
#include "metrics/Names.h"

#include <utility>

namespace psp::history {

namespace {

/// Of one part: takes a slow connection of 20 Mbit/s 0.1 s.
constexpr std::size_t ChainPartBytes = 256U << 10U;
/// Pause before a read that has to wait for room is looked at again.
constexpr base::Duration ChainReadPause = base::milliseconds(2);
/// A sender of too many reads may come back after this time.
constexpr std::uint32_t ChainRetryMs = 250;

} // namespace

void HistoryNode::onReadChain(const ReplyAddress &From,
                              const Request &Received) {
  if (!m_ChainReads.add({.m_From = From,
                         .m_Request = Received,
                         .m_ReceivedAt = base::readMonotonic()})) {
    m_Node.log().write("chain_read_refused",
                       {{"request", Received.read_chain().reader()},
                        {"waiting", m_ChainReads.size()}});
    Reply Refused;
    Refused.set_kind(messages::fleet::REPLY_BUSY);
    Refused.set_wait_ms(ChainRetryMs);
    reply(From, Received.id(), std::move(Refused));
    return;
  }
  if (!std::exchange(m_ServingChains, true))
    serveChainReads();
}

void HistoryNode::serveChainReads() {
  const auto Next = m_ChainReads.takeNext(m_Node.links().unsentBytes(),
                                          base::readMonotonic());
  if (Next)
    reply(Next->m_From, Next->m_Request.id(), makeChainPart(Next->m_Request));
  if (m_ChainReads.empty()) {
    m_ServingChains = false;
    return;
  }
  m_ChainTimer.expires_after(Next ? base::Duration(0) : ChainReadPause);
  m_ChainTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      serveChainReads();
  });
}

HistoryNode::Reply HistoryNode::makeChainPart(const Request &Received) {
  const messages::fleet::ReadChain &Wanted = Received.read_chain();
  const std::uint32_t Number = Received.group();
  Reply Answer;
  const auto Group = m_Hosted.find(Number);
  if (Group == m_Hosted.end() || !isLeaderOf(Number)) {
    Answer.set_kind(messages::fleet::REPLY_NOT_LEADER);
    Answer.set_leader(leaderOf(Number));
    return Answer;
  }
  const auto Entries = Group->second->m_State.ledger().chainEntries(
      Wanted.organisation(), Wanted.turn());
  if (!Entries) {
    Answer.set_kind(messages::fleet::REPLY_NO_SUCH_TURN);
    return Answer;
  }
  try {
    Answer.set_chain_bytes(chainLength(*Group->second, *Entries));
    Answer.set_text(m_ChainTexts.part(*Group->second, Number, *Entries,
                                      Wanted.offset(), ChainPartBytes));
    m_Node.metrics().counter(metrics::names::ChainPartsRead).add();
  } catch (const base::UserError &Error) {
    // Another member has an undamaged copy.
    Answer.set_kind(messages::fleet::REPLY_NOT_LEADER);
    m_Node.log().write("entry_damaged",
                       {{"number", Number}, {"reason", Error.what()}});
    m_Groups->transferLeadership(Number);
  }
  return Answer;
}

} // namespace psp::history
