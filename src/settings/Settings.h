/// \file
/// The validated settings of each process, which the functions of
/// settings/Load.h load from one YAML file.

#ifndef PSP_SETTINGS_SETTINGS_H
#define PSP_SETTINGS_SETTINGS_H

#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace psp::settings {

/// An IP address and a port.
struct Address {
  std::string m_Ip;
  std::uint16_t m_Port = 0;

  std::string str() const { return m_Ip + ":" + std::to_string(m_Port); }
  auto operator<=>(const Address &) const = default;
};

enum class PeerRole { Entry, Ledger };

/// One process of the fleet, as listed in the settings of every process.
struct Peer {
  base::InstanceId m_Instance;
  base::DataCentreId m_DataCentre;
  PeerRole m_Role = PeerRole::Entry;
  Address m_Address; ///< Address on which it listens for peers.

  auto operator<=>(const Peer &) const = default;
};

/// Settings that entry instances and ledgers have in common.
struct ProcessSettings {
  base::InstanceId m_Instance;
  base::DataCentreId m_DataCentre;
  Address m_PeerAddress;
  Address m_OperatorAddress;
  std::string m_FleetSecret;   ///< Read from the file fleet_secret_file.
  std::string m_OperatorToken; ///< Read from the file operator_token_file.
  std::string m_LogFolder;     ///< Empty: standard error only.
  std::vector<Peer> m_Peers;   ///< The whole fleet, including this process.
  base::Duration m_HeartbeatInterval = base::milliseconds(200);
  base::Duration m_PeerTimeout = base::milliseconds(1500);

  bool operator==(const ProcessSettings &) const = default;
};

/// Settings of psp-entry.
struct EntrySettings {
  ProcessSettings m_Process;
  Address m_CallerAddress;
  std::size_t m_MaxBodyBytes = 4U << 20U;
  std::size_t m_MaxHeaderBytes = 16U << 10U;
  std::size_t m_MaxQueuedCalls = 2000;
  base::Duration m_CallerIdleTimeout = base::seconds(30);
  base::Duration m_DefaultDeadline = base::seconds(60);
  base::Duration m_EndpointLease = base::seconds(3);
  base::Duration m_DrainTimeout = base::seconds(60);

  bool operator==(const EntrySettings &) const = default;
};

/// Settings of psp-ledger.
struct LedgerSettings {
  ProcessSettings m_Process;
  std::string m_DataFolder;
  base::Duration m_ElectionTimeout = base::milliseconds(600);

  bool operator==(const LedgerSettings &) const = default;
};

} // namespace psp::settings

#endif
