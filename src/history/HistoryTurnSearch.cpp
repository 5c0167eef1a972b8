#include "history/HistoryNode.h"

#include "web/Spawn.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace psp::history {

namespace asio = boost::asio;

namespace {

/// Timeout for the reply of another group's leader, which includes a round trip
/// to the members of that group in other data centres.
constexpr base::Duration FindTimeout = base::milliseconds(180);
/// Timeout for a part of a chain, which may wait behind parts for others.
constexpr base::Duration PartTimeout = base::milliseconds(1000);
constexpr int MaxPartTries = 3;
/// How often a copy looks whether its last part is committed.
constexpr base::Duration CommitCheckInterval = base::milliseconds(1);
/// Long chains that are copied into groups of this node at the same time. Each
/// holds one part.
constexpr std::size_t MaxChainCopies = 4;
/// Time until a copy has ended.
constexpr std::uint32_t ChainCopyRetryMs = 250;
/// A copy outlives the turn that it was made for by this, since the clocks of
/// two leaders differ.
constexpr std::uint64_t CopyGraceMs = 10'000;

/// How long a copy of a chain is retained that stays \p LeftMs in its own
/// group: as long as there, and while the turn may wait for its slot.
std::uint64_t copyRetentionMs(const messages::fleet::BeginTurn &Begin,
                              std::uint64_t LeftMs) {
  // A leader with earlier software doesn't state the time.
  const std::uint64_t Retained = LeftMs > 0 ? LeftMs : Begin.retention_ms();
  return std::max(Retained, Begin.time_left_ms() + CopyGraceMs);
}

} // namespace

/// Begins a turn that continues from a turn of another program, which may
/// belong to any group. The chain of that turn is copied into this group, which
/// then has everything that later turns of the program need.
asio::awaitable<void> HistoryNode::beginFromOtherGroup(ReplyAddress From,
                                                       Request Received) {
  const std::string Turn = Received.begin().turn();
  const auto [Search, IsNew] = m_PendingSearches.try_emplace(Turn, Received);
  Search->second.set_id(Received.id());
  if (!IsNew)
    co_return;
  messages::fleet::FindTurn Wanted;
  Wanted.set_turn(Received.begin().previous());
  Wanted.set_organisation(Received.begin().organisation());
  Wanted.set_chain_in_parts(true);
  const LocatedTurn Located =
      co_await searchOtherGroups(Received.group(), Wanted);
  m_Node.log().write("earlier_turn_searched",
                     {{"request", Turn},
                      {"previous", Wanted.turn()},
                      {"found", Located.m_Text ? "yes" : "no"},
                      {"chain_bytes", Located.m_ChainBytes},
                      {"left_ms", Located.m_LeftMs},
                      {"unsure", Located.m_Uncertain ? "yes" : "no"}});
  const bool IsLong = Located.m_ChainBytes > 0;
  // A repeated call has another turn, and goes on from the same chain.
  const ChainCopy Copy(Received.group(), Received.begin().organisation(),
                       Wanted.turn());
  const bool Busy = IsLong && (m_ChainCopies.size() >= MaxChainCopies ||
                               m_ChainCopies.contains(Copy));
  bool Adopted = false;
  if (IsLong && !Busy)
    Adopted = co_await adoptParts(Received, Located);
  Received = m_PendingSearches.at(Turn);
  m_PendingSearches.erase(Turn);
  if (!isLeaderOf(Received.group())) {
    replyKind(From, Received.id(), messages::fleet::REPLY_NOT_LEADER);
  } else if (Busy) {
    Reply Refused;
    Refused.set_kind(messages::fleet::REPLY_BUSY);
    Refused.set_wait_ms(ChainCopyRetryMs);
    reply(From, Received.id(), std::move(Refused));
  } else if (IsLong) {
    if (Adopted)
      requestSlot(From, Received);
    else
      replyKind(From, Received.id(), messages::fleet::REPLY_UNAVAILABLE);
  } else if (Located.m_Text) {
    adopt(Received, Located);
    requestSlot(From, Received);
  } else if (Located.m_Uncertain) {
    replyKind(From, Received.id(), messages::fleet::REPLY_UNAVAILABLE);
  } else {
    // The group's own log confirms that there is no such turn, once all earlier
    // commands are applied.
    propose(From, Received, {}, true);
  }
}

void HistoryNode::adopt(const Request &Received, const LocatedTurn &Located) {
  messages::fleet::HistoryCommand Command;
  auto &Adopted = *Command.mutable_adopt();
  Adopted.set_turn(Received.begin().previous());
  Adopted.set_organisation(Received.begin().organisation());
  Adopted.set_text(*Located.m_Text);
  Adopted.set_retention_ms(copyRetentionMs(Received.begin(), Located.m_LeftMs));
  m_Groups->propose(Received.group(), Command.SerializeAsString());
}

asio::awaitable<bool> HistoryNode::awaitCommit(std::uint32_t Number,
                                               std::uint64_t Index) {
  asio::steady_timer Timer(m_Node.io());
  const base::TimePoint Deadline = base::readMonotonic() + PartTimeout;
  while (isLeaderOf(Number) && base::readMonotonic() < Deadline) {
    if (m_Groups->find(Number)->commitIndex() >= Index)
      co_return true;
    Timer.expires_after(CommitCheckInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
  co_return false;
}

asio::awaitable<bool> HistoryNode::adoptParts(Request Begin,
                                              LocatedTurn Located) {
  struct RunningCopy {
    RunningCopy(std::set<ChainCopy> &Copies, const ChainCopy &Copy)
        : m_Copies(Copies), m_Copy(Copies.insert(Copy).first) {}
    RunningCopy(const RunningCopy &) = delete;
    RunningCopy &operator=(const RunningCopy &) = delete;
    ~RunningCopy() { m_Copies.erase(m_Copy); }
    std::set<ChainCopy> &m_Copies;
    std::set<ChainCopy>::iterator m_Copy;
  };
  const ChainCopy Copy(Begin.group(), Begin.begin().organisation(),
                       Begin.begin().previous());
  const RunningCopy Running(m_ChainCopies, Copy);
  Request Outgoing;
  Outgoing.set_group(Located.m_Group);
  auto &Wanted = *Outgoing.mutable_read_chain();
  Wanted.set_turn(Begin.begin().previous());
  Wanted.set_organisation(Begin.begin().organisation());
  Wanted.set_reader(Begin.begin().turn());
  messages::fleet::HistoryCommand Command;
  auto &Part = *Command.mutable_adopt_part();
  Part.set_turn(Wanted.turn());
  Part.set_organisation(Wanted.organisation());
  Part.set_retention_ms(copyRetentionMs(Begin.begin(), Located.m_LeftMs));
  int Tries = 0;
  while (Part.offset() < Located.m_ChainBytes) {
    Wanted.set_offset(Part.offset());
    auto Read = co_await requestFromGroup(Outgoing, PartTimeout);
    const bool HasPart = Read && Read->kind() == messages::fleet::REPLY_OK &&
                         Read->chain_bytes() == Located.m_ChainBytes &&
                         !Read->text().empty();
    if (!HasPart && ++Tries < MaxPartTries)
      continue;
    if (!HasPart || !isLeaderOf(Begin.group()))
      co_return false;
    Tries = 0;
    const std::uint64_t End = Part.offset() + Read->text().size();
    Part.set_text(std::move(*Read->mutable_text()));
    Part.set_last(End == Located.m_ChainBytes);
    const auto Index =
        m_Groups->propose(Begin.group(), Command.SerializeAsString());
    // Parts that aren't committed yet are held in memory.
    if (!Index || !co_await awaitCommit(Begin.group(), *Index))
      co_return false;
    Part.set_previous_offset(Part.offset());
    Part.set_offset(End);
  }
  co_return true;
}

/// Queries the leaders of all groups except \p Own in parallel, until one has
/// the turn.
asio::awaitable<HistoryNode::LocatedTurn>
HistoryNode::searchOtherGroups(std::uint32_t Own,
                               messages::fleet::FindTurn Wanted) {
  struct Progress {
    explicit Progress(asio::io_context &Io) : m_Finished(Io) {}
    LocatedTurn m_Located;
    std::size_t m_Unanswered = 0; ///< Groups that have not replied.
    link::Waiter m_Finished;
  };
  // Shared, since replies may arrive after the search has ended.
  const auto Search = std::make_shared<Progress>(m_Node.io());
  for (std::uint32_t Number = 0; Number < m_GroupCount; ++Number) {
    if (Number == Own)
      continue;
    ++Search->m_Unanswered;
    web::spawn(
        m_Node.io().get_executor(), "query_group", web::Lasting(*this),
        [Number, Wanted, Search](HistoryNode &Self) -> asio::awaitable<void> {
          const auto Received = co_await Self.queryGroup(Number, Wanted);
          --Search->m_Unanswered;
          if (Received && Received->kind() == messages::fleet::REPLY_OK) {
            Search->m_Located.m_Text = Received->text();
            Search->m_Located.m_ChainBytes = Received->chain_bytes();
            Search->m_Located.m_Group = Number;
            Search->m_Located.m_LeftMs = Received->left_ms();
          } else if (!Received ||
                     Received->kind() != messages::fleet::REPLY_NO_SUCH_TURN) {
            Search->m_Located.m_Uncertain = true;
          }
          if (Search->m_Located.m_Text || Search->m_Unanswered == 0)
            Search->m_Finished.fire();
        });
  }
  if (Search->m_Unanswered > 0)
    co_await Search->m_Finished.wait(2 * FindTimeout);
  LocatedTurn Located = Search->m_Located;
  Located.m_Uncertain = Located.m_Uncertain || Search->m_Unanswered > 0;
  co_return Located;
}

asio::awaitable<std::optional<HistoryNode::Reply>>
HistoryNode::queryGroup(std::uint32_t Number,
                        messages::fleet::FindTurn Wanted) {
  if (isLeaderOf(Number))
    co_return co_await findTurn(Number, std::move(Wanted));
  Request Outgoing;
  Outgoing.set_group(Number);
  *Outgoing.mutable_find() = std::move(Wanted);
  co_return co_await requestFromGroup(std::move(Outgoing), FindTimeout);
}

asio::awaitable<std::optional<HistoryNode::Reply>>
HistoryNode::requestFromGroup(Request Outgoing, base::Duration Timeout) {
  const std::uint32_t Number = Outgoing.group();
  if (Outgoing.has_read_chain() && isLeaderOf(Number))
    co_return makeChainPart(Outgoing);
  Outgoing.set_id(OtherGroupIdBase + m_OutgoingRequests.nextId());
  const std::uint64_t Id = Outgoing.id();
  LinkMessage Message;
  *Message.mutable_request() = std::move(Outgoing);
  m_Node.links().send(leaderOf(Number), Message);
  co_return co_await m_OutgoingRequests.wait(Id, Timeout);
}

asio::awaitable<void> HistoryNode::replyToFind(ReplyAddress From,
                                               Request Received) {
  Reply Outgoing = co_await findTurn(Received.group(), Received.find());
  reply(From, Received.id(), std::move(Outgoing));
}

/// Finds a turn or a program in a group that this node leads. The reply that
/// the group has no such turn requires a confirmed read, with a round trip to
/// its members.
asio::awaitable<HistoryNode::Reply>
HistoryNode::findTurn(std::uint32_t Number, messages::fleet::FindTurn Wanted) {
  HostedGroup &Group = *m_Hosted.at(Number);
  Reply Result;
  // A leader that hasn't applied the program's first turn yet replies that the
  // program has not begun, which only delays the requester's call.
  if (Wanted.turn().empty()) {
    Result.set_kind(Group.m_State.ledger().hasProgram(
                        Wanted.organisation(), Wanted.program(), wallMs())
                        ? messages::fleet::REPLY_OK
                        : messages::fleet::REPLY_NO_SUCH_TURN);
    co_return Result;
  }
  Result.set_kind(messages::fleet::REPLY_UNAVAILABLE);
  Reply Found;
  const auto AddChain = [&] {
    return Group.m_State.addChain(Wanted.organisation(), Wanted.turn(),
                                  Wanted.chain_in_parts(), wallMs(), Found);
  };
  if (AddChain())
    co_return Found;
  if (co_await confirmRead(Number)) {
    if (AddChain())
      co_return Found;
    Result.set_kind(messages::fleet::REPLY_NO_SUCH_TURN);
  }
  co_return Result;
}

asio::awaitable<bool> HistoryNode::confirmRead(std::uint32_t Number) {
  HostedGroup &Group = *m_Hosted.at(Number);
  const auto Ticket = m_Groups->beginRead(Number);
  if (!Ticket)
    co_return false;
  link::Waiter Waiting(m_Node.io());
  Group.m_ReadWaiters[*Ticket] = &Waiting;
  const bool Confirmed = co_await Waiting.wait(FindTimeout);
  Group.m_ReadWaiters.erase(*Ticket);
  co_return Confirmed;
}

} // namespace psp::history
