#include "history/HistoryNode.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace psp::history {

namespace asio = boost::asio;

namespace {

/// Another group's leader answers in this time, or not at all: a round to its
/// members, between data centres.
constexpr base::Duration FindLimit = base::milliseconds(180);

} // namespace

/// Begins a turn that continues from one that another program left behind, in
/// whichever group. Its chain becomes part of this group, which then has all
/// that later turns of the program need.
asio::awaitable<void> HistoryNode::beginFromElsewhere(std::string From,
                                                      Request Asked) {
  const std::string Turn = Asked.begin().turn();
  const auto [Search, Fresh] = m_Searched.try_emplace(Turn, Asked);
  Search->second.set_id(Asked.id());
  if (!Fresh)
    co_return;
  messages::fleet::FindTurn Wanted;
  Wanted.set_turn(Asked.begin().previous());
  Wanted.set_organisation(Asked.begin().organisation());
  const LocatedTurn Found = co_await searchOtherGroups(Asked.group(), Wanted);
  Asked = m_Searched.at(Turn);
  m_Searched.erase(Turn);
  m_Node.log().write("earlier_turn_searched",
                     {{"request", Turn},
                      {"previous", Wanted.turn()},
                      {"found", Found.m_Text ? "yes" : "no"},
                      {"unsure", Found.m_Unsure ? "yes" : "no"}});
  if (!leads(Asked.group())) {
    replyKind(From, Asked.id(), messages::fleet::REPLY_NOT_LEADER);
  } else if (Found.m_Text) {
    adopt(Asked, *Found.m_Text);
    askForPlace(From, Asked);
  } else if (Found.m_Unsure) {
    replyKind(From, Asked.id(), messages::fleet::REPLY_UNAVAILABLE);
  } else {
    // The group's own log says so, once all earlier commands are applied.
    propose(From, Asked, {});
  }
}

void HistoryNode::adopt(const Request &Asked, const std::string &Text) {
  messages::fleet::HistoryCommand Command;
  auto &Adopted = *Command.mutable_adopt();
  Adopted.set_turn(Asked.begin().previous());
  Adopted.set_organisation(Asked.begin().organisation());
  Adopted.set_text(Text);
  Adopted.set_retention_ms(Asked.begin().retention_ms());
  m_Groups->propose(Asked.group(), Command.SerializeAsString());
}

/// Asks the leaders of all groups but \p Own at once, until one has the turn.
asio::awaitable<HistoryNode::LocatedTurn>
HistoryNode::searchOtherGroups(std::uint32_t Own,
                               messages::fleet::FindTurn Wanted) {
  struct Progress {
    explicit Progress(asio::io_context &Io) : m_End(Io) {}
    LocatedTurn m_Found;
    std::size_t m_Open = 0; ///< Groups that haven't answered.
    link::Waiter m_End;
  };
  // Shared: answers may come after the search has ended.
  const auto Search = std::make_shared<Progress>(m_Node.io());
  for (std::uint32_t Number = 0; Number < m_GroupCount; ++Number) {
    if (Number == Own)
      continue;
    ++Search->m_Open;
    asio::co_spawn(
        m_Node.io(),
        [](HistoryNode &Self, std::uint32_t Group,
           messages::fleet::FindTurn What,
           std::shared_ptr<Progress> All) -> asio::awaitable<void> {
          const auto Answer = co_await Self.askGroup(Group, std::move(What));
          --All->m_Open;
          if (Answer && Answer->kind() == messages::fleet::REPLY_OK)
            All->m_Found.m_Text = Answer->text();
          else if (!Answer ||
                   Answer->kind() != messages::fleet::REPLY_NO_SUCH_TURN)
            All->m_Found.m_Unsure = true;
          if (All->m_Found.m_Text || All->m_Open == 0)
            All->m_End.fire();
        }(*this, Number, Wanted, Search),
        asio::detached);
  }
  if (Search->m_Open > 0)
    co_await Search->m_End.wait(2 * FindLimit);
  LocatedTurn Found = Search->m_Found;
  Found.m_Unsure = Found.m_Unsure || Search->m_Open > 0;
  co_return Found;
}

asio::awaitable<std::optional<HistoryNode::Reply>>
HistoryNode::askGroup(std::uint32_t Number, messages::fleet::FindTurn Wanted) {
  if (leads(Number))
    co_return co_await findTurn(Number, std::move(Wanted));
  Request Asked;
  Asked.set_id(ForeignIds + m_Asked.nextId());
  Asked.set_group(Number);
  *Asked.mutable_find() = std::move(Wanted);
  const std::uint64_t Id = Asked.id();
  LinkMessage Message;
  *Message.mutable_request() = std::move(Asked);
  m_Node.hub().send(leaderOf(Number), Message);
  co_return co_await m_Asked.wait(Id, FindLimit);
}

asio::awaitable<void> HistoryNode::answerFind(std::string From, Request Asked) {
  Reply Answer = co_await findTurn(Asked.group(), Asked.find());
  reply(From, Asked.id(), std::move(Answer));
}

/// Answers for a group that this node leads. That it holds no such turn counts
/// only after a round to its members.
asio::awaitable<HistoryNode::Reply>
HistoryNode::findTurn(std::uint32_t Number, messages::fleet::FindTurn Wanted) {
  HostedGroup &Group = *m_Hosted.at(Number);
  Reply Answer;
  Answer.set_kind(messages::fleet::REPLY_UNAVAILABLE);
  auto Text = Group.m_Desk.chainText(Wanted.organisation(), Wanted.turn());
  if (!Text) {
    const auto Ticket = m_Groups->beginRead(Number);
    if (Ticket) {
      link::Waiter Waiting(m_Node.io());
      Group.m_ReadWaiters[*Ticket] = &Waiting;
      const bool Confirmed = co_await Waiting.wait(FindLimit);
      Group.m_ReadWaiters.erase(*Ticket);
      if (Confirmed) {
        Text = Group.m_Desk.chainText(Wanted.organisation(), Wanted.turn());
        Answer.set_kind(messages::fleet::REPLY_NO_SUCH_TURN);
      }
    }
  }
  if (Text) {
    Answer.set_kind(messages::fleet::REPLY_OK);
    Answer.set_text(*Text);
  }
  co_return Answer;
}

} // namespace psp::history
