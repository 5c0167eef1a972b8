/// \file
/// A node with a data disk: hosts members of history groups, and serves
/// requests of entry instances for the groups that it leads.

#ifndef PSP_HISTORY_HISTORYNODE_H
#define PSP_HISTORY_HISTORYNODE_H

#include "fleet/EndpointDirectory.h"
#include "fleet/LeaderTable.h"
#include "history/CapacityMonitor.h"
#include "history/ChainReadQueue.h"
#include "history/ChainTexts.h"
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
#include <string_view>
#include <tuple>
#include <utility>

namespace psp::history {

struct HistoryNodeOptions {
  std::uint16_t m_MetricsPort = 0;
  std::string m_PeerBindHost; ///< See node::NodeRuntimeOptions.
  /// See turns::EnginePlacementOptions.
  double m_RemoteTurnCostMs = 0;
  /// Whether turns of a higher rank get slots first.
  bool m_UsesRanks = false;
  /// Whether turns are placed by learned speeds, also where the memory of
  /// engines doesn't limit them.
  bool m_LearnsSpeeds = false;
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
  using ReplyAddress = fleet::ReplyAddress;
  using TurnReport = messages::fleet::TurnReport;

  /// A group that this node hosts.
  struct HostedGroup : public EntrySource {
    HostedGroup(const std::unique_ptr<link::GroupHost> &Groups,
                std::uint32_t Number)
        : m_Groups(Groups), m_Number(Number), m_State(*this) {}
    std::string commandAt(std::uint64_t Index) const override {
      return m_Groups->find(m_Number)->commandAt(Index);
    }

    const std::unique_ptr<link::GroupHost> &m_Groups;
    std::uint32_t m_Number;
    HistoryStateMachine m_State;
    bool m_WasLeader = false; ///< At the last progress event.
    /// Last announced leadership: the term and the index of the membership.
    std::pair<std::uint64_t, std::uint64_t> m_Announced{0, 0};
    /// Coroutines that wait for a read, by ticket.
    std::map<std::uint64_t, link::Waiter *> m_ReadWaiters;
  };

  /// Result of a search for a turn in other groups.
  struct LocatedTurn {
    std::optional<std::string> m_Text; ///< Of the turn's complete chain.
    /// Of a chain that is too long for a reply; zero: m_Text is the chain.
    std::uint64_t m_ChainBytes = 0;
    std::uint32_t m_Group = 0;
    std::uint64_t m_LeftMs = 0; ///< How long it is retained; zero: not known.
    bool m_Uncertain = false;   ///< Some groups have not replied.
  };

  /// A long chain that is copied: the group that gets it, the organisation and
  /// the last turn.
  using ChainCopy = std::tuple<std::uint32_t, std::string, std::string>;

  /// The moment of a lookup, in milliseconds of the wall clock.
  static std::uint64_t wallMs();

  // Groups.
  consensus::StateMachine &makeState(std::uint32_t Number);
  void onProgress(std::uint32_t Number);
  void onLeadershipLost(HostedGroup &Group);
  void announceLeadership(HostedGroup &Hosted);
  messages::fleet::GroupLeader describeLeadership(std::uint32_t Number) const;
  void onPeerUp(const NodeState &Peer);
  void onLeaderUpdate(const messages::fleet::LeaderUpdate &Update);
  void onConfiguration(const messages::fleet::ConfigurationUpdate &Update);
  void leaveRemovedGroups();
  bool isLeaderOf(std::uint32_t Number) const;
  std::string leaderOf(std::uint32_t Number) const;

  // Requests from entry instances and control nodes.
  void onMessage(const link::MessageSource &From, LinkMessage &Message);
  void onRequest(const link::MessageSource &Sender, const Request &Received);
  boost::asio::awaitable<void>
  relayToLeader(ReplyAddress From, Request Received, std::string Leader);
  void onBegin(const ReplyAddress &From, const Request &Received);
  void findChainAndSlot(const ReplyAddress &From, const Request &Received);
  void onEnd(const ReplyAddress &From, const Request &Received);
  // Streams that may be taken up, in HistoryStreams.cpp.
  struct FoundStream {
    messages::fleet::ReplyKind m_Kind = messages::fleet::REPLY_STREAM_UNKNOWN;
    turns::StreamVersion m_Version;
  };
  boost::asio::awaitable<void> beginTakeUp(ReplyAddress From, Request Received);
  boost::asio::awaitable<FoundStream> findStream(std::uint32_t Number,
                                                 std::string Organisation,
                                                 std::string Stream);
  void onRecordStream(const ReplyAddress &From, const Request &Received);
  boost::asio::awaitable<void> replyToFindStream(ReplyAddress From,
                                                 Request Received);
  /// Replies with the events that the caller of a stream has, from the records
  /// of its attempts.
  boost::asio::awaitable<void> replyToFindEvents(ReplyAddress From,
                                                 Request Received);
  void onRecordServiceVersion(const ReplyAddress &From,
                              const Request &Received);
  boost::asio::awaitable<void> replyToFindServiceVersion(ReplyAddress From,
                                                         Request Received);
  void replyToFindEndpoints(const ReplyAddress &From, const Request &Received);
  /// Whether all commands that the group \p Number had committed before are
  /// applied here.
  boost::asio::awaitable<bool> confirmRead(std::uint32_t Number);
  /// \p ChainSearched: see HistoryStateMachine::awaitCommit().
  void propose(const ReplyAddress &From, const Request &Received,
               const GrantedSlot &Granted, bool ChainSearched = false);
  Reply retirementReply(std::uint32_t Number,
                        const messages::fleet::RetireNode &Received) const;
  void reply(const ReplyAddress &To, std::uint64_t Id, Reply Outgoing);
  void replyKind(const ReplyAddress &To, std::uint64_t Id,
                 messages::fleet::ReplyKind Kind);

  /// Requests that begin something are rejected while this many commands of
  /// their group wait for their commit: more than a leader commits in the time
  /// that an entry instance waits.
  static constexpr std::size_t MaxPendingCommands = 200;
  /// Identifiers of requests to other groups begin here; those of slot requests
  /// are lower.
  static constexpr std::uint64_t OtherGroupIdBase = std::uint64_t{1} << 62U;

  // Turns of other groups, in HistoryTurnSearch.cpp.
  boost::asio::awaitable<void> beginFromOtherGroup(ReplyAddress From,
                                                   Request Received);
  boost::asio::awaitable<LocatedTurn>
  searchOtherGroups(std::uint32_t Own, messages::fleet::FindTurn Wanted);
  void adopt(const Request &Received, const LocatedTurn &Located);
  /// False if the command at \p Index isn't committed in time.
  boost::asio::awaitable<bool> awaitCommit(std::uint32_t Number,
                                           std::uint64_t Index);
  /// Copies a chain into the group of \p Begin part by part. False if that
  /// failed.
  boost::asio::awaitable<bool> adoptParts(Request Begin, LocatedTurn Located);
  boost::asio::awaitable<void> replyToFind(ReplyAddress From, Request Received);
  boost::asio::awaitable<Reply> findTurn(std::uint32_t Number,
                                         messages::fleet::FindTurn Wanted);
  boost::asio::awaitable<std::optional<Reply>>
  queryGroup(std::uint32_t Number, messages::fleet::FindTurn Wanted);
  /// The reply of the leader of another group; empty without one in time.
  boost::asio::awaitable<std::optional<Reply>>
  requestFromGroup(Request Outgoing, base::Duration Timeout);

  // Parts of long chains, in HistoryChains.cpp.
  void onReadChain(const ReplyAddress &From, const Request &Received);
  /// Serves the reads that there is room for, one in each run of the event
  /// loop.
  void serveChainReads();
  Reply makeChainPart(const Request &Received);

  // Engine slots, in HistorySlots.cpp.
  void requestSlot(const ReplyAddress &From, const Request &Received);
  void refuseProgram(const ReplyAddress &From, const Request &Received,
                     std::string_view Reason, std::uint32_t RetryMs);
  /// Whether something has come lately from the node that allocates the slots
  /// of \p Service.
  bool isAllocatorHeard(const std::string &Service) const;
  void sendSlotRequest(std::uint64_t Id);
  void onSlotRequest(const ReplyAddress &From, const Request &Received);
  void onReply(const Reply &Received);
  void beginWithoutSlot(const SlotRequestTable::PendingRequest &Pending);
  void reportTurn(const TurnReport &Report);
  void onTurnReport(const TurnReport &Report);
  void sendSlotResponses(SlotAllocator &Allocator);
  void countPlacedTurn(const SlotResponse &Granted);
  /// Logs the speeds of the engines whose slots this node allocates.
  void logEngineSpeeds(base::TimePoint Now);
  void countSlotResponse(const SlotResponse &Response);
  SlotAllocator &slotAllocator(const std::string &Service);
  void tick();
  void scheduleTick();

  void runMaintenance();
  void stop();

  node::NodeRuntime m_Node;
  fleet::EndpointDirectory m_Endpoints;
  fleet::LeaderTable m_Leaders;
  /// Zero until the control group has created the history groups.
  std::size_t m_GroupCount = 0;
  std::set<std::string> m_Retiring;
  CapacityMonitor m_Capacity;
  std::map<std::uint32_t, std::unique_ptr<HostedGroup>> m_Hosted;
  std::unique_ptr<link::GroupHost> m_Groups;
  std::map<std::string, SlotAllocator> m_SlotAllocators; ///< By service.
  SlotRequestTable m_SlotRequests;
  link::RequestTable m_OutgoingRequests;
  std::map<std::string, Request> m_PendingSearches; ///< BeginTurn, by turn.
  std::set<ChainCopy> m_ChainCopies;                ///< That are under way.
  ChainReadQueue m_ChainReads;
  ChainTexts m_ChainTexts;
  boost::asio::steady_timer m_ChainTimer;
  bool m_ServingChains = false;
  boost::asio::steady_timer m_MaintenanceTimer;
  boost::asio::steady_timer m_TickTimer;
  bool m_TickScheduled = false;
  double m_RemoteTurnCostMs;
  bool m_UsesRanks;
  bool m_LearnsSpeeds;
  base::TimePoint m_NextSpeedLogAt;
};

} // namespace psp::history

#endif
