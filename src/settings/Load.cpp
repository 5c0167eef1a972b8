#include "settings/Load.h"

#include "settings/MappingReader.h"

#include <algorithm>
#include <filesystem>
#include <set>

namespace psp::settings {
namespace {

using base::Duration;
using base::milliseconds;
using base::seconds;

constexpr std::size_t MinSecretBytes = 16;
constexpr std::size_t MaxSecretBytes = 4096;
constexpr std::size_t MaxPeers = 10000;

constexpr Range<Duration> HeartbeatRange = {milliseconds(10), seconds(10)};
constexpr Range<Duration> PeerTimeoutRange = {milliseconds(50), seconds(60)};
constexpr Range<Duration> ElectionRange = {milliseconds(50), seconds(60)};
constexpr Range<Duration> IdleRange = {seconds(1), seconds(3600)};
constexpr Range<Duration> DeadlineRange = {milliseconds(100), seconds(3600)};
constexpr Range<Duration> LeaseRange = {milliseconds(500), seconds(60)};
constexpr Range<Duration> DrainRange = {seconds(0), seconds(3600)};
constexpr Range<std::size_t> BodyBytesRange = {1024, 256U << 20U};
constexpr Range<std::size_t> HeaderBytesRange = {1024, 1U << 20U};
constexpr Range<std::uint64_t> QueuedCallsRange = {1, 1000000};

/// Minimum number of heartbeat intervals in a timeout, so that one lost message
/// is not taken for a failed process.
constexpr int MinHeartbeatsPerTimeout = 3;

/// A settings file that is being read, and the faults found so far.
struct Source {
  std::string m_File;
  std::vector<Fault> m_Faults;

  std::string resolve(const std::string &Path) const {
    return (std::filesystem::path(m_File).parent_path() / Path).string();
  }
};

std::string trimmed(const std::string &Text) {
  constexpr const char *Blanks = " \t\r\n";
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string::npos)
    return "";
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

/// No fault may contain any part of the secret.
void readSecret(MappingReader &Reader, Source &From, const std::string &Key,
                std::string &Secret) {
  std::string Path;
  if (!Reader.readString(Key, Path, Presence::Required))
    return;
  const std::string File = From.resolve(Path);
  try {
    Secret = trimmed(readFile(File));
  } catch (const SettingsError &) {
    Reader.addFault(Key, "the file " + File + " can't be read");
    return;
  }
  if (Secret.size() < MinSecretBytes || Secret.size() > MaxSecretBytes)
    Reader.addFault(Key, "expected 16 to 4096 bytes in " + File + ", found " +
                             std::to_string(Secret.size()));
}

Peer readPeer(MappingReader &Reader) {
  Peer Result;
  std::string Instance;
  std::string DataCentre;
  std::string Role;
  Reader.readName("instance", Instance, Presence::Required);
  Reader.readName("data_centre", DataCentre, Presence::Required);
  Reader.readAddress("address", Result.m_Address, Presence::Required);
  if (Reader.readString("role", Role, Presence::Required) && Role != "entry" &&
      Role != "ledger")
    Reader.addFault("role", "expected entry or ledger, found '" + Role + "'");
  Reader.finish();
  Result.m_Instance = base::InstanceId(Instance);
  Result.m_DataCentre = base::DataCentreId(DataCentre);
  Result.m_Role = Role == "ledger" ? PeerRole::Ledger : PeerRole::Entry;
  return Result;
}

std::vector<Peer> readPeerList(MappingReader &Reader) {
  std::vector<Peer> Peers;
  std::set<base::InstanceId> Instances;
  std::set<Address> Addresses;
  for (MappingReader &Entry :
       Reader.readMappings("peers", Presence::Required)) {
    const Peer Next = readPeer(Entry);
    if (!Next.m_Instance.empty() && !Instances.insert(Next.m_Instance).second)
      Entry.addFault("instance",
                     "the instance '" + Next.m_Instance.str() +
                         "' is listed more than once among the peers");
    if (Next.m_Address.m_Port != 0 && !Addresses.insert(Next.m_Address).second)
      Entry.addFault("address",
                     "the address " + Next.m_Address.str() +
                         " is listed more than once among the peers");
    Peers.push_back(Next);
  }
  const bool HasLedger =
      std::any_of(Peers.begin(), Peers.end(), [](const Peer &Entry) {
        return Entry.m_Role == PeerRole::Ledger;
      });
  if (!HasLedger)
    Reader.addFault("peers", "expected at least one peer of role ledger");
  if (Peers.size() > MaxPeers)
    Reader.addFault("peers", "expected at most 10000 peers");
  return Peers;
}

/// Reads the peers from the file itself or from the file that it names.
std::vector<Peer> readPeers(MappingReader &Reader, Source &From) {
  std::string Path;
  const bool IsNamed = Reader.readString("peers_file", Path);
  if (!IsNamed)
    return readPeerList(Reader);
  if (Reader.has("peers")) {
    Reader.readMappings("peers");
    Reader.addFault("peers_file", "expected peers or peers_file, found both");
    return {};
  }
  const std::string File = From.resolve(Path);
  try {
    MappingReader Included(parseDocument(readFile(File), File), File, "",
                           From.m_Faults);
    std::vector<Peer> Peers = readPeerList(Included);
    Included.finish();
    return Peers;
  } catch (const SettingsError &Error) {
    const auto &More = Error.faults();
    From.m_Faults.insert(From.m_Faults.end(), More.begin(), More.end());
    return {};
  }
}

/// The entry of this process among the peers must match its settings.
void checkOwnPeer(MappingReader &Reader, const ProcessSettings &Process,
                  PeerRole Role) {
  const auto Own = std::find_if(Process.m_Peers.begin(), Process.m_Peers.end(),
                                [&](const Peer &Entry) {
                                  return Entry.m_Instance == Process.m_Instance;
                                });
  if (Process.m_Instance.empty() || Process.m_Peers.empty())
    return; // Already reported as a fault.
  if (Own == Process.m_Peers.end()) {
    Reader.addFault("instance", "'" + Process.m_Instance.str() +
                                    "' is not among the peers");
    return;
  }
  if (Own->m_DataCentre != Process.m_DataCentre)
    Reader.addFault("data_centre",
                    "'" + Process.m_DataCentre.str() +
                        "' does not match the peers entry, which has '" +
                        Own->m_DataCentre.str() + "'");
  if (Own->m_Address != Process.m_PeerAddress)
    Reader.addFault("peer_address",
                    Process.m_PeerAddress.str() +
                        " does not match the peers entry, which has " +
                        Own->m_Address.str());
  if (Own->m_Role != Role)
    Reader.addFault("instance",
                    "the peers entry of this instance has another role");
}

ProcessSettings readProcess(MappingReader &Reader, Source &From,
                            PeerRole Role) {
  ProcessSettings Process;
  std::string Instance;
  std::string DataCentre;
  Reader.readName("instance", Instance, Presence::Required);
  Reader.readName("data_centre", DataCentre, Presence::Required);
  Process.m_Instance = base::InstanceId(Instance);
  Process.m_DataCentre = base::DataCentreId(DataCentre);
  Reader.readAddress("peer_address", Process.m_PeerAddress, Presence::Required);
  Reader.readAddress("operator_address", Process.m_OperatorAddress,
                     Presence::Required);
  readSecret(Reader, From, "fleet_secret_file", Process.m_FleetSecret);
  readSecret(Reader, From, "operator_token_file", Process.m_OperatorToken);
  std::string LogFolder;
  if (Reader.readString("log_folder", LogFolder))
    Process.m_LogFolder = From.resolve(LogFolder);
  Reader.readDuration("heartbeat_interval", Process.m_HeartbeatInterval,
                      HeartbeatRange);
  Reader.readDuration("peer_timeout", Process.m_PeerTimeout, PeerTimeoutRange);
  Process.m_Peers = readPeers(Reader, From);
  if (Process.m_PeerTimeout <
      MinHeartbeatsPerTimeout * Process.m_HeartbeatInterval)
    Reader.addFault("peer_timeout",
                    "expected at least three times heartbeat_interval");
  if (Process.m_PeerAddress.m_Port != 0 &&
      Process.m_PeerAddress == Process.m_OperatorAddress)
    Reader.addFault("operator_address",
                    "expected an address other than peer_address");
  checkOwnPeer(Reader, Process, Role);
  return Process;
}

void readCallerLimits(MappingReader &Reader, EntrySettings &Settings) {
  Reader.readBytes("max_body", Settings.m_MaxBodyBytes, BodyBytesRange);
  Reader.readBytes("max_headers", Settings.m_MaxHeaderBytes, HeaderBytesRange);
  std::uint64_t MaxQueuedCalls = Settings.m_MaxQueuedCalls;
  Reader.readInteger("max_queued_calls", MaxQueuedCalls, QueuedCallsRange);
  Settings.m_MaxQueuedCalls = MaxQueuedCalls;
  Reader.readDuration("caller_idle_timeout", Settings.m_CallerIdleTimeout,
                      IdleRange);
  Reader.readDuration("default_deadline", Settings.m_DefaultDeadline,
                      DeadlineRange);
  Reader.readDuration("endpoint_lease", Settings.m_EndpointLease, LeaseRange);
  Reader.readDuration("drain_timeout", Settings.m_DrainTimeout, DrainRange);
}

void checkEntry(MappingReader &Reader, const EntrySettings &Settings) {
  const ProcessSettings &Process = Settings.m_Process;
  const Address &Own = Settings.m_CallerAddress;
  if (Own.m_Port != 0 &&
      (Own == Process.m_PeerAddress || Own == Process.m_OperatorAddress))
    Reader.addFault(
        "caller_address",
        "expected an address other than peer_address and operator_address");
  if (Settings.m_EndpointLease <
      MinHeartbeatsPerTimeout * Process.m_HeartbeatInterval)
    Reader.addFault("endpoint_lease",
                    "expected at least three times heartbeat_interval");
}

} // namespace

EntrySettings loadEntrySettings(const std::string &File) {
  Source From = {.m_File = File, .m_Faults = {}};
  MappingReader Reader(parseDocument(readFile(File), File), File, "",
                       From.m_Faults);
  EntrySettings Settings;
  Settings.m_Process = readProcess(Reader, From, PeerRole::Entry);
  Reader.readAddress("caller_address", Settings.m_CallerAddress,
                     Presence::Required);
  readCallerLimits(Reader, Settings);
  checkEntry(Reader, Settings);
  Reader.finish();
  throwFaults(std::move(From.m_Faults));
  return Settings;
}

LedgerSettings loadLedgerSettings(const std::string &File) {
  Source From = {.m_File = File, .m_Faults = {}};
  MappingReader Reader(parseDocument(readFile(File), File), File, "",
                       From.m_Faults);
  LedgerSettings Settings;
  Settings.m_Process = readProcess(Reader, From, PeerRole::Ledger);
  std::string DataFolder;
  if (Reader.readString("data_folder", DataFolder, Presence::Required))
    Settings.m_DataFolder = From.resolve(DataFolder);
  Reader.readDuration("election_timeout", Settings.m_ElectionTimeout,
                      ElectionRange);
  if (Settings.m_ElectionTimeout < 2 * Settings.m_Process.m_HeartbeatInterval)
    Reader.addFault("election_timeout",
                    "expected at least twice heartbeat_interval");
  Reader.finish();
  throwFaults(std::move(From.m_Faults));
  return Settings;
}

} // namespace psp::settings
