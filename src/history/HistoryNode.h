/// \file
/// A node with a data disk: hosts members of history groups, and answers entry
/// instances where it leads.

#ifndef PSP_HISTORY_HISTORYNODE_H
#define PSP_HISTORY_HISTORYNODE_H

#include "fleet/EndpointDirectory.h"
#include "fleet/LeaderTable.h"
#include "history/CapacityMonitor.h"
#include "history/HistoryStateMachine.h"
#include "history/SlotAllocator.h"
#include "history/SlotRequestTable.h"
#include "link/GroupHost.h"
#include "link/RequestTable.h"
#include "node/NodeRuntime.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace psp::history {

struct HistoryNodeOptions {
  std::uint16_t m_MetricsPort = 0;
  std::string m_PeerBindHost; ///< See node::NodeRuntimeOptions.
};

class HistoryNode {
public:
  HistoryNode(const HistoryNodeOptions &Options,
              const node::SettingsSource &Source);

  void run();

private:
  using LinkMessage = link::LinkMessage;
  using NodeState = fleet::NodeState;
  using Request = messages::fleet::Request;
  using Reply = messages::fleet::Reply;
  using TurnReport = messages::fleet::TurnReport;

  /// A group that this node hosts.
  struct HostedGroup : public EntrySource {
    HostedGroup(const std::unique_ptr<link::GroupHost> &Groups,
                std::uint32_t Number)
        : m_Groups(Groups), m_Number(Number), m_Desk(*this) {}
    std::string commandAt(std::uint64_t Index) const override {
      return m_Groups->find(m_Number)->commandAt(Index);
    }

    const std::unique_ptr<link::GroupHost> &m_Groups;
    std::uint32_t m_Number;
    HistoryStateMachine m_Desk;
    bool m_Led = false;
    /// What was told of it: the term and the index of the membership.
    std::pair<std::uint64_t, std::uint64_t> m_Announced{0, 0};
    /// Waiting for a read, by ticket.
    std::map<std::uint64_t, link::Waiter *> m_ReadWaiters;
  };

  /// What a search for a turn of another group has found.
  struct LocatedTurn {
    std::optional<std::string> m_Text; ///< Of the turn's whole chain.
    bool m_Unsure = false;             ///< Not all groups have answered.
  };

  // Groups.
  consensus::StateMachine &makeState(std::uint32_t Number);
  void onProgress(std::uint32_t Number);
  void onLeadershipLost(HostedGroup &Lost);
  void announceLeadership(HostedGroup &Led);
  messages::fleet::GroupLeader describeLeadership(std::uint32_t Number) const;
  void onUp(const NodeState &Peer);
  void onLeaders(const messages::fleet::LeaderUpdate &News);
  void onConfiguration(const messages::fleet::ConfigurationUpdate &Update);
  void leaveForeignGroups();
  bool leads(std::uint32_t Number) const;
  std::string leaderOf(std::uint32_t Number) const;

  // Requests of entry instances and control nodes.
  void onMessage(const NodeState &From, LinkMessage &Message);
  void onRequest(const std::string &From, const Request &Asked);
  void onBegin(const std::string &From, const Request &Asked);
  void onEnd(const std::string &From, const Request &Asked);
  void propose(const std::string &From, const Request &Asked,
               const std::string &Endpoint);
  Reply retirement(std::uint32_t Number,
                   const messages::fleet::RetireNode &Asked) const;
  void reply(const std::string &To, std::uint64_t Id, Reply Answer);
  void replyKind(const std::string &To, std::uint64_t Id,
                 messages::fleet::ReplyKind Kind);

  /// Identifiers of requests to other groups begin here; those of requests for
  /// places lie below.
  static constexpr std::uint64_t ForeignIds = std::uint64_t{1} << 62U;

  // Turns of other groups, in HistoryForeignTurns.cpp.
  boost::asio::awaitable<void> beginFromElsewhere(std::string From,
                                                  Request Asked);
  boost::asio::awaitable<LocatedTurn>
  searchOtherGroups(std::uint32_t Own, messages::fleet::FindTurn Wanted);
  void adopt(const Request &Asked, const std::string &Text);
  boost::asio::awaitable<void> answerFind(std::string From, Request Asked);
  boost::asio::awaitable<Reply> findTurn(std::uint32_t Number,
                                         messages::fleet::FindTurn Wanted);
  boost::asio::awaitable<std::optional<Reply>>
  askGroup(std::uint32_t Number, messages::fleet::FindTurn Wanted);

  // Places on engines, in HistoryPlaces.cpp.
  void askForPlace(const std::string &From, const Request &Asked);
  void sendPlaceRequest(std::uint64_t Id);
  void onPlaceRequest(const std::string &From, const Request &Asked);
  void onPlaceReply(const Reply &Answer);
  void goWithoutPlace(const SlotRequestTable::Pending &Each);
  void report(const TurnReport &News);
  void onReport(const TurnReport &News);
  void answerPlaces(SlotAllocator &Desk);
  SlotAllocator &engineDesk(const std::string &Service);
  void tick();
  void tickSoon();

  void housekeeping();
  void stop();

  node::NodeRuntime m_Node;
  fleet::EndpointDirectory m_Endpoints;
  fleet::LeaderTable m_Leaders;
  std::size_t m_GroupCount = 0; ///< Zero until control has founded them.
  std::set<std::string> m_Retiring;
  CapacityMonitor m_Room;
  std::map<std::uint32_t, std::unique_ptr<HostedGroup>> m_Hosted;
  std::unique_ptr<link::GroupHost> m_Groups;
  std::map<std::string, SlotAllocator> m_Engines; ///< By service.
  SlotRequestTable m_Places;
  link::RequestTable m_Asked;
  std::map<std::string, Request> m_Searched; ///< Begins, by turn.
  boost::asio::steady_timer m_HouseTimer;
  boost::asio::steady_timer m_TickTimer;
  bool m_Ticking = false;
};

} // namespace psp::history

#endif
