#include "history/HistoryNode.h"

#include "base/Hash.h"
#include "metrics/Names.h"

#include <algorithm>
#include <filesystem>
#include <utility>

namespace psp::history {

using base::readClocks;
using messages::fleet::NODE_HISTORY;

namespace {

constexpr base::Duration HouseInterval = base::milliseconds(500);
constexpr std::size_t IdentityBytes = 8;
/// Begins are refused while this many commands wait for their commit: more than
/// a leader commits in the time that an entry instance waits.
constexpr std::size_t MostWaiting = 200;
/// Waiting turns are looked at this often, beside each end of a turn.
constexpr base::Duration AdmitInterval = base::milliseconds(40);

} // namespace

HistoryNode::HistoryNode(const HistoryNodeOptions &Options,
                         const node::SettingsSource &Source)
    : m_Node({.m_Program = "psp-history",
              .m_Kind = NODE_HISTORY,
              .m_MetricsPort = Options.m_MetricsPort,
              .m_PeerBindHost = Options.m_PeerBindHost},
             Source),
      m_Desk({.m_Seed = base::stableHash(m_Node.settings().m_Name)}),
      m_HouseTimer(m_Node.io()), m_AdmitTimer(m_Node.io()) {
  const node::NodeSettings &Settings = m_Node.settings();
  const std::uint64_t Seed =
      base::stableHash(Settings.m_Name + std::to_string(readClocks().m_Wall));
  m_Group = std::make_unique<link::GroupHost>(
      m_Node.io(),
      link::GroupHostOptions{
          .m_Kind = messages::fleet::GROUP_HISTORY,
          .m_Nodes = NODE_HISTORY,
          .m_Folder = std::filesystem::path(Settings.m_DataFolder) / "history",
          .m_FreshIdentity = Settings.m_Host + "/" +
                             base::toHex(base::randomBytes(IdentityBytes)),
          .m_Group = {.m_AnnounceCommits = false, .m_Seed = Seed},
          .m_TargetMembers = 2 * Settings.m_ToleratedLosses + 1},
      m_Desk, m_Node.hub(), m_Node.nodes(), m_Node.log(),
      link::GroupHost::Handlers{.m_OnProgress = [this] { onProgress(); }});
}

void HistoryNode::run() {
  m_Desk.setTime(base::readMonotonic());
  m_Group->start();
  m_Node.start(m_Group->group().identity(),
               {.m_OnMessage =
                    [this](const NodeState &From, LinkMessage &Message) {
                      onMessage(From, Message);
                    },
                .m_OnUp = [](const NodeState &) {},
                .m_OnDown = [](const NodeState &) {},
                .m_OnStop = [this] { stop(); }});
  housekeeping();
  m_Node.run();
}

void HistoryNode::onMessage(const NodeState &From, LinkMessage &Message) {
  const base::TimePoint Now = base::readMonotonic();
  m_Desk.setTime(Now);
  if (Message.has_group()) {
    m_Group->onMessage(Message.group());
  } else if (Message.has_endpoints()) {
    for (const auto &Each : Message.endpoints().endpoints())
      m_Desk.endpoints().merge(Each, false, Now);
  } else if (Message.has_configuration()) {
    const auto &Founders = Message.configuration().history_founders();
    const bool Founds =
        std::ranges::any_of(Founders.members(), [this](const auto &Each) {
          return Each.id() == m_Group->group().identity();
        });
    if (Founds && !m_Group->group().hasHistory())
      m_Group->found(Founders);
  } else if (Message.has_request()) {
    onRequest(From.name(), Message.request());
  }
}

void HistoryNode::onRequest(const std::string &From, const Request &Asked) {
  if (!m_Group->group().isSettledLeader()) {
    Reply Answer;
    Answer.set_kind(messages::fleet::REPLY_NOT_LEADER);
    Answer.set_leader(m_Group->leaderNode());
    reply(From, Asked.id(), std::move(Answer));
    return;
  }
  if (Asked.has_retire())
    reply(From, Asked.id(), retire(Asked.retire()));
  else if (Asked.has_begin())
    offer(From, Asked);
  else if (Asked.has_end())
    propose(From, Asked);
}

void HistoryNode::offer(const std::string &From, const Request &Asked) {
  const auto &Begin = Asked.begin();
  const turns::TurnAdmission::Offer Offered = {
      .m_Node = From,
      .m_Request = Asked,
      .m_NewProgram =
          Begin.previous().empty() &&
          !m_Desk.ledger().hasProgram(Begin.organisation(), Begin.program()),
      .m_ArrivedAt = base::readMonotonic()};
  switch (m_Desk.admission().decide(Offered, m_Desk.load(Begin.service()))) {
  case turns::TurnAdmission::Decision::Begin:
    propose(From, Asked);
    break;
  case turns::TurnAdmission::Decision::Refuse:
    refuseBusy(Offered, m_Desk.admission().retryAfter());
    break;
  case turns::TurnAdmission::Decision::Wait:
    if (m_Desk.admission().waiting() == 1)
      admitWaiting();
    break;
  }
}

void HistoryNode::refuseBusy(const turns::TurnAdmission::Offer &Asked,
                             base::Duration RetryAfter) {
  const auto &Begin = Asked.m_Request.begin();
  const auto Load = m_Desk.load(Begin.service());
  m_Node.metrics().counter(metrics::names::TurnsTurnedAway).add();
  m_Node.log().write(
      "turn_turned_away",
      {{"request", Begin.turn()},
       {"new_program", Asked.m_NewProgram ? "yes" : "no"},
       {"running", Load.m_Running},
       {"slots", Load.m_Slots},
       {"waiting", m_Desk.admission().waiting()},
       {"share_percent",
        static_cast<std::uint64_t>(100 * m_Desk.admission().newShare())}});
  Reply Answer;
  Answer.set_kind(messages::fleet::REPLY_BUSY);
  Answer.set_wait_ms(
      static_cast<std::uint32_t>(base::wholeMilliseconds(RetryAfter)));
  reply(Asked.m_Node, Asked.m_Request.id(), std::move(Answer));
}

/// Begins turns that waited as places come free; called while any waits.
void HistoryNode::admitWaiting() {
  if (m_Desk.admission().waiting() == 0)
    return;
  const std::string Service = m_Desk.admission().nextService();
  // A leader that hands over takes nothing for a moment.
  if (m_Group->group().isSettledLeader())
    for (const auto &Each : m_Desk.admission().takeReady(m_Desk.load(Service)))
      propose(Each.m_Node, Each.m_Request);
  for (const auto &Each : m_Desk.admission().takeOverdue(base::readMonotonic()))
    refuseBusy(Each, base::Duration(0));
  if (m_Desk.admission().waiting() == 0)
    return;
  m_AdmitTimer.expires_after(AdmitInterval);
  m_AdmitTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      admitWaiting();
  });
}

void HistoryNode::propose(const std::string &From, const Request &Asked) {
  if (m_Desk.joins(From, Asked))
    return;
  if (Asked.has_begin())
    m_Node.metrics().counter(metrics::names::TurnsBegun).add();
  // Ends are always taken: they free what begins have reserved.
  if (Asked.has_begin() && m_Desk.waiting() >= MostWaiting) {
    Reply Answer;
    Answer.set_kind(messages::fleet::REPLY_UNAVAILABLE);
    reply(From, Asked.id(), std::move(Answer));
    return;
  }
  if (Asked.end().keep() && Asked.end().endpoint().empty())
    m_Node.log().write("turn_names_no_endpoint",
                       {{"request", Asked.end().turn()},
                        {"reason", "its pace is held against no engine"}});
  messages::fleet::HistoryCommand Command;
  if (Asked.has_begin())
    *Command.mutable_begin() = Asked.begin();
  else
    *Command.mutable_end() = Asked.end();
  // Registered first: with one member the commit comes before propose returns.
  m_Desk.expect(m_Group->group().lastIndex() + 1, From, Asked);
  m_Group->propose(Command.SerializeAsString());
}

HistoryNode::Reply
HistoryNode::retire(const messages::fleet::RetireNode &Asked) {
  Reply Answer;
  const NodeState *Target = m_Node.nodes().find(Asked.node());
  if (!Target || Target->kind() != NODE_HISTORY) {
    Answer.set_kind(messages::fleet::REPLY_UNKNOWN_NODE);
    return Answer;
  }
  std::size_t Others = 0;
  for (const NodeState &Each : m_Node.nodes().ofKind(NODE_HISTORY)) {
    const bool Self = Each.name() == m_Node.settings().m_Name;
    if (Each.name() != Asked.node() && !m_Retiring.contains(Each.name()) &&
        (Self || m_Node.hub().isUp(Each.name())))
      ++Others;
  }
  const std::size_t Needed = 2 * m_Node.settings().m_ToleratedLosses + 1;
  if (Others < Needed) {
    Answer.set_kind(messages::fleet::REPLY_REFUSED);
    return Answer;
  }
  if (m_Retiring.insert(Asked.node()).second)
    m_Node.log().write("retiring", {{"target", Asked.node()}});
  m_Group->setRetiring(m_Retiring);
  const auto &Members = m_Group->group().membership().members();
  const bool Full = static_cast<std::size_t>(Members.size()) >= Needed;
  const bool CaughtUp = std::ranges::all_of(Members, [this](const auto &Each) {
    return Each.id() == m_Group->group().identity() ||
           m_Group->group().isCaughtUp(Each.id());
  });
  Answer.set_done(!m_Group->isMemberNode(Asked.node()) && Full && CaughtUp);
  return Answer;
}

void HistoryNode::reply(const std::string &To, std::uint64_t Id, Reply Answer) {
  LinkMessage Message;
  Answer.set_id(Id);
  *Message.mutable_reply() = std::move(Answer);
  m_Node.hub().send(To, Message);
}

void HistoryNode::onProgress() {
  const bool Leads = m_Group && m_Group->group().isLeader();
  if (std::exchange(m_Led, Leads) && !Leads) {
    m_Desk.failAll(m_Group->leaderNode());
    for (const auto &Each : m_Desk.admission().takeAll())
      refuseBusy(Each, base::Duration(0));
  }
  for (AddressedReply &Each : m_Desk.takeReplies()) {
    const std::uint64_t Id = Each.m_Reply.id();
    reply(Each.m_Node, Id, std::move(Each.m_Reply));
  }
  if (m_Desk.admission().waiting() > 0)
    admitWaiting();
}

void HistoryNode::housekeeping() {
  m_Desk.setTime(base::readMonotonic());
  m_Desk.expire();
  m_Node.metrics()
      .gauge(metrics::names::TurnsKept)
      .set(static_cast<std::int64_t>(m_Desk.ledger().turnCount()));
  m_HouseTimer.expires_after(HouseInterval);
  m_HouseTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      housekeeping();
  });
}

void HistoryNode::stop() {
  if (m_Node.isStopping())
    return;
  m_Node.finishSoon();
  m_Group->handOver();
}

} // namespace psp::history
