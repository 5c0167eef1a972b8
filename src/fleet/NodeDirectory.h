/// \file
/// The processes of the system that others connect to, discovered through their
/// hello messages and through other nodes.

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
  /// Returns true if the entry is new or changed.
  bool merge(const NodeState &Update, base::TimePoint Now);
  /// Records that this process received something from the node.
  void touch(const std::string &Name, base::TimePoint Now);
  /// Removes nodes that were neither updated nor touched for \p MaxAge.
  void expire(base::Duration MaxAge, base::TimePoint Now);

  const NodeState *find(const std::string &Name) const;
  /// The node whose group member is \p Identity; null if none.
  const NodeState *findMember(const std::string &Identity) const;
  std::vector<NodeState> ofKind(NodeKind Kind) const;
  std::vector<NodeState> all() const;
  std::optional<base::TimePoint> lastSeenAt(const std::string &Name) const;

private:
  struct NodeEntry {
    NodeState m_State;
    base::TimePoint m_LastSeenAt;
  };
  std::map<std::string, NodeEntry> m_Entries;
  /// Names of the nodes with a disk, by the disk's identity.
  std::unordered_map<std::string, std::string> m_ByMember;
};

} // namespace psp::fleet

#endif
