/// \file
/// A history node: member of the group that keeps programs and their turns.

#ifndef PSP_HISTORY_HISTORYNODE_H
#define PSP_HISTORY_HISTORYNODE_H

#include "history/HistoryDesk.h"
#include "link/GroupHost.h"
#include "node/NodeRuntime.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <set>
#include <string>

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

  void onMessage(const NodeState &From, LinkMessage &Message);
  void onRequest(const std::string &From, const Request &Asked);
  void offer(const std::string &From, const Request &Asked);
  void propose(const std::string &From, const Request &Asked);
  void refuseBusy(const turns::TurnAdmission::Offer &Asked,
                  base::Duration RetryAfter);
  void admitWaiting();
  Reply retire(const messages::fleet::RetireNode &Asked);
  void reply(const std::string &To, std::uint64_t Id, Reply Answer);
  void onProgress();
  void housekeeping();
  void stop();

  node::NodeRuntime m_Node;
  HistoryDesk m_Desk;
  std::unique_ptr<link::GroupHost> m_Group;
  std::set<std::string> m_Retiring;
  bool m_Led = false;
  boost::asio::steady_timer m_HouseTimer;
  boost::asio::steady_timer m_AdmitTimer;
};

} // namespace psp::history

#endif
