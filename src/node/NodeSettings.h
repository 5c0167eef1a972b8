/// \file
/// The settings of a process of a deployment that uses node discovery.

#ifndef PSP_NODE_NODESETTINGS_H
#define PSP_NODE_NODESETTINGS_H

#include "base/Time.h"
#include "link/LinkManager.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace psp::node {

/// Evacuated data centres, cold endpoints and homes.
struct PlaceSettings {
  /// Whether the deployment asks for them.
  bool m_Enabled = false;
  /// A cold endpoint may get its rate times this in a second, ...
  double m_ColdOvershoot = 1.5;
  /// ... and this many requests more, from all instances together.
  double m_ColdSlack = 5;
  /// Time from the acknowledgement of an evacuation until nothing more is sent.
  base::Duration m_EvacuationTime = base::seconds(5);

  bool operator==(const PlaceSettings &) const = default;
};

struct NodeSettings {
  std::string m_Name;
  std::string m_DataCentre;
  std::string m_Host;
  /// Port for other processes of the system, the same on every node.
  std::uint16_t m_PeerPort = 0;
  /// Hosts of some control nodes. The list may be out of date.
  std::vector<std::string> m_SeedHosts;
  std::optional<link::PeerAddress> m_CallerAddress;
  std::optional<link::PeerAddress> m_ReadinessAddress;
  std::optional<link::PeerAddress> m_ControlAddress;
  std::string m_DataFolder; ///< Empty on nodes without a disk.
  /// The process is killed if it uses more memory. Zero: unknown.
  std::uint64_t m_MemoryBytes = 0;
  /// Size of the data disk. Zero: unknown.
  std::uint64_t m_DiskBytes = 0;
  /// Whether the whole deployment starts for the first time.
  bool m_Bootstrap = false;
  /// Number of nodes with a disk that may fail at the same time.
  std::uint32_t m_ToleratedLosses = 1;
  /// Time until a stopping process is killed.
  base::Duration m_StopGrace = base::seconds(8);
  base::Duration m_AnnounceInterval = base::milliseconds(1200);
  /// Maximum delay of an event of a stream.
  base::Duration m_DeliveryLag = base::milliseconds(120);
  /// The region of each data centre, by its name.
  std::map<std::string, std::string> m_Regions;
  PlaceSettings m_Places;
  /// Whether the memory of engines limits what runs on them, beside their
  /// slots.
  bool m_EngineMemoryLimited = false;

  bool operator==(const NodeSettings &) const = default;
};

/// Loads the settings of a process.
class SettingsSource {
public:
  virtual ~SettingsSource() = default;

  /// Throws UserError(BadRequest) that names the invalid field.
  virtual NodeSettings load() const = 0;
  /// Changes whenever the source may have changed.
  virtual std::string fingerprint() const = 0;
};

} // namespace psp::node

#endif
