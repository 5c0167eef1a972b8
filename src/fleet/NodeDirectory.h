/// \file
/// The processes of the system that others connect to, learned from their
/// greetings and from each other.

#ifndef PSP_FLEET_NODEDIRECTORY_H
#define PSP_FLEET_NODEDIRECTORY_H

#include "base/Time.h"
#include "generated/fleet.pb.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace psp::fleet {

using messages::fleet::NodeKind;
using messages::fleet::NodeState;

class NodeDirectory {
public:
  /// True if the row is new or changed.
  bool merge(const NodeState &News, base::TimePoint Now);
  /// Notes that the node was heard by this process.
  void touch(const std::string &Name, base::TimePoint Now);
  /// Forgets nodes that nobody has heard of for \p Age.
  void forget(base::Duration Age, base::TimePoint Now);

  const NodeState *find(const std::string &Name) const;
  /// The node whose group member is \p Identity; null if none.
  const NodeState *findMember(const std::string &Identity) const;
  std::vector<NodeState> ofKind(NodeKind Kind) const;
  std::vector<NodeState> all() const;
  std::optional<base::TimePoint> heardAt(const std::string &Name) const;

private:
  struct Row {
    NodeState m_State;
    base::TimePoint m_HeardAt;
  };
  std::map<std::string, Row> m_Rows;
  /// Names of nodes with a disk, by its identity.
  std::unordered_map<std::string, std::string> m_ByMember;
};

} // namespace psp::fleet

#endif
