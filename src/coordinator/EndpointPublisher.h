/// \file
/// Decides which nodes this control node tells of changed endpoints.

#ifndef PSP_COORDINATOR_ENDPOINTPUBLISHER_H
#define PSP_COORDINATOR_ENDPOINTPUBLISHER_H

#include "base/Time.h"
#include "generated/fleet.pb.h"

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace psp::coordinator {

struct EndpointPublisherOptions {
  std::string m_DataCentre; ///< Of this control node.
  /// Changes of this long ago are told again to a data centre whose control
  /// nodes have fallen silent. Longer than it takes to notice that.
  base::Duration m_ResendTime = base::seconds(10);
  std::size_t m_MaxRecentChanges = 2048;
};

/// Load pattern: one announcement reaches one control node, which tells all
/// nodes, and all other control nodes hear of it within a round trip. If each
/// of them told all nodes again, a change would cross between data centres as
/// often as there are control nodes. So they tell the nodes of their own data
/// centre, and those of data centres without a control node that is heard.
class EndpointPublisher {
public:
  explicit EndpointPublisher(EndpointPublisherOptions Options)
      : m_Options(std::move(Options)) {}

  /// Sets the data centres with a control node from which this one hears.
  /// Returns those that have lost their last one: their nodes must be told the
  /// recent changes.
  std::vector<std::string>
  setControlDataCentres(std::set<std::string> DataCentres);

  /// Whether this node passes on what others have heard to \p Node.
  bool passesOnTo(const messages::fleet::NodeState &Node) const;

  void onChange(const messages::fleet::EndpointState &Endpoint,
                base::TimePoint Now);
  /// The last state of each endpoint that has changed lately.
  std::vector<messages::fleet::EndpointState>
  recentChanges(base::TimePoint Now);

private:
  struct Change {
    base::TimePoint m_At;
    messages::fleet::EndpointState m_Endpoint;
  };

  EndpointPublisherOptions m_Options;
  std::set<std::string> m_ControlDataCentres;
  std::deque<Change> m_Recent; ///< Oldest first.
};

} // namespace psp::coordinator

#endif
