#include "gateway/ConfigurationReceiver.h"

#include "base/Hash.h"
#include "fleet/DocumentDifference.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace psp::gateway {

namespace {

/// Digest of a text of no bytes, which stands for holding nothing.
const std::string &emptyDigest() {
  static const std::string Digest = base::toBytes(base::sha256(""));
  return Digest;
}

} // namespace

void ConfigurationReceiver::onConnected(const std::string &Node,
                                        const std::string &DataCentre) {
  m_Nodes[Node].m_DataCentre = DataCentre;
}

void ConfigurationReceiver::onDisconnected(const std::string &Node) {
  m_Nodes.erase(Node);
  std::erase_if(m_Fetches,
                [&](const auto &Entry) { return Entry.second.m_Node == Node; });
}

void ConfigurationReceiver::onAnnounced(const std::string &Node,
                                        const std::string &DataCentre,
                                        std::uint64_t Version,
                                        const std::string &Digest,
                                        TimePoint Now) {
  ControlNode &Known = m_Nodes[Node];
  Known.m_DataCentre = DataCentre;
  Known.m_Version = Version;
  Known.m_Digest = Digest;
  if (Version > m_LastWanted && Version > newestVersion()) {
    m_LastWanted = Version;
    m_WantedSince = Now;
    m_Tried.clear();
    m_NextRoundAt.reset();
    m_RetryPause = base::Duration(0);
  }
}

ConfigurationReceiver::Outcome
ConfigurationReceiver::onDocument(std::uint64_t Version,
                                  const std::string &Document) {
  if (Version <= newestVersion())
    return Outcome::NotNewer;
  return take(Version, base::toBytes(base::sha256(Document)), Document);
}

std::optional<ConfigurationReceiver::Fetch>
ConfigurationReceiver::nextFetch(std::uint64_t Number, TimePoint Now,
                                 const LastReceived &Received) {
  m_WakeAt.reset();
  const bool UnderWay = checkFetches(Now, Received);
  const std::uint64_t Wanted = wantedVersion();
  if (Wanted == 0 || UnderWay || m_Fetches.size() >= m_Options.m_MaxFetches)
    return std::nullopt;
  const std::string Node = pickNode(Wanted, Now, Received);
  if (Node.empty())
    return std::nullopt;
  const ConfigurationText &Base = newestText();
  Fetch Next{.m_Node = Node, .m_Request = {}};
  Next.m_Request.set_held_version(Base.m_Version);
  if (!m_WantsWhole)
    Next.m_Request.set_held_digest(Base.m_Version == 0 ? emptyDigest()
                                                       : Base.m_Digest);
  m_Tried.insert(Node);
  m_Fetches[Number] = {.m_Node = Node, .m_SentAt = Now, .m_Base = Base};
  wakeBy(Now + m_Options.m_SilenceTime);
  return Next;
}

bool ConfigurationReceiver::checkFetches(TimePoint Now,
                                         const LastReceived &Received) {
  std::erase_if(m_Fetches, [&](const auto &Entry) {
    return !Received(Entry.second.m_Node) ||
           Now - Entry.second.m_SentAt > m_Options.m_ForgetTime;
  });
  bool UnderWay = false;
  for (auto &[Number, Pending] : m_Fetches) {
    const TimePoint LateAt =
        std::min(std::max(Pending.m_SentAt, *Received(Pending.m_Node)) +
                     m_Options.m_SilenceTime,
                 Pending.m_SentAt + m_Options.m_MaxFetchTime);
    Pending.m_Late = Pending.m_Late || Now >= LateAt;
    if (Pending.m_Late)
      continue;
    UnderWay = true;
    wakeBy(LateAt);
  }
  return UnderWay;
}

std::string ConfigurationReceiver::pickNode(std::uint64_t Wanted, TimePoint Now,
                                            const LastReceived &Received) {
  std::vector<std::string> Nodes = candidates(Wanted, Received);
  if (isLocalNodeAwaited(Wanted, Received) &&
      (Nodes.empty() || !isLocal(Nodes.front())) &&
      Now < m_WantedSince + m_Options.m_LocalWait) {
    wakeBy(m_WantedSince + m_Options.m_LocalWait);
    return {};
  }
  if (Nodes.empty()) {
    if (!m_NextRoundAt) {
      m_RetryPause = std::clamp<base::Duration>(2 * m_RetryPause,
                                                m_Options.m_FirstRetryPause,
                                                m_Options.m_LongestRetryPause);
      m_NextRoundAt = Now + m_RetryPause;
    }
    if (Now < *m_NextRoundAt) {
      wakeBy(*m_NextRoundAt);
      return {};
    }
    m_NextRoundAt.reset();
    m_Tried.clear();
    Nodes = candidates(Wanted, Received);
  }
  const bool PrefersLocal = Now < m_WantedSince + m_Options.m_LocalBusyTime &&
                            !Nodes.empty() && isLocal(Nodes.front());
  for (const std::string &Node : Nodes) {
    if (PrefersLocal && !isLocal(Node))
      break;
    const auto &NotBefore = m_Nodes.at(Node).m_NotBefore;
    if (!NotBefore || *NotBefore <= Now)
      return Node;
    wakeBy(*NotBefore);
  }
  // None is left while fetches are late: their nodes may end.
  if (Nodes.empty())
    wakeBy(Now + m_Options.m_SilenceTime);
  return {};
}

std::vector<std::string>
ConfigurationReceiver::candidates(std::uint64_t Wanted,
                                  const LastReceived &Received) const {
  // Instances spread over the nodes of a data centre by the hash.
  std::vector<std::tuple<bool, bool, std::uint64_t, std::string>> Ranked;
  for (const auto &[Node, Known] : m_Nodes)
    if (Known.m_Version > newestVersion() && !m_Tried.contains(Node) &&
        !isPending(Node) && Received(Node))
      Ranked.emplace_back(Known.m_Version < Wanted, !isLocal(Node),
                          base::stableHash(m_Options.m_Instance + "/" + Node),
                          Node);
  std::ranges::sort(Ranked);
  std::vector<std::string> Nodes;
  Nodes.reserve(Ranked.size());
  for (auto &Entry : Ranked)
    Nodes.push_back(std::move(std::get<std::string>(Entry)));
  return Nodes;
}

bool ConfigurationReceiver::isLocalNodeAwaited(
    std::uint64_t Wanted, const LastReceived &Received) const {
  return std::ranges::any_of(m_Nodes, [&](const auto &Entry) {
    const auto &[Node, Known] = Entry;
    return isLocal(Node) && Known.m_Version < Wanted &&
           !m_Tried.contains(Node) && !isPending(Node) && Received(Node);
  });
}

bool ConfigurationReceiver::isLocal(const std::string &Node) const {
  return m_Nodes.at(Node).m_DataCentre == m_Options.m_DataCentre;
}

bool ConfigurationReceiver::isPending(const std::string &Node) const {
  return std::ranges::any_of(m_Fetches, [&](const auto &Entry) {
    return Entry.second.m_Node == Node;
  });
}

ConfigurationReceiver::Outcome
ConfigurationReceiver::onReply(const messages::fleet::Reply &Received,
                               TimePoint Now) {
  const auto It = m_Fetches.find(Received.id());
  if (It == m_Fetches.end())
    return Outcome::NotAwaited;
  const PendingFetch Ended = std::move(It->second);
  m_Fetches.erase(It);
  ControlNode &From = m_Nodes[Ended.m_Node];
  if (Received.kind() == messages::fleet::REPLY_BUSY) {
    From.m_NotBefore = Now + base::milliseconds(Received.wait_ms());
    m_Tried.erase(Ended.m_Node);
    return Outcome::Busy;
  }
  if (Received.kind() != messages::fleet::REPLY_OK)
    return Outcome::NotNewer;
  const bool AsAnnounced = Received.version() != From.m_Version ||
                           Received.digest() == From.m_Digest;
  From.m_Version = Received.version();
  From.m_Digest = Received.digest();
  if (Received.version() <= newestVersion())
    return Outcome::NotNewer;
  if (!AsAnnounced)
    return Outcome::WrongText;
  if (!Received.is_difference())
    return take(Received.version(), Received.digest(), Received.text());
  auto Text = fleet::applyDifference(
      Ended.m_Base.m_Text ? std::string_view(*Ended.m_Base.m_Text)
                          : std::string_view(),
      Received.text(), m_Options.m_MaxTextBytes);
  const Outcome Result =
      Text ? take(Received.version(), Received.digest(), std::move(*Text))
           : Outcome::WrongText;
  // The same node again, but once only.
  if (Result == Outcome::WrongText && !std::exchange(m_WantsWhole, true))
    m_Tried.erase(Ended.m_Node);
  return Result;
}

ConfigurationReceiver::Outcome
ConfigurationReceiver::take(std::uint64_t Version, std::string Digest,
                            std::string Text) {
  if (base::toBytes(base::sha256(Text)) != Digest)
    return Outcome::WrongText;
  m_Next = {.m_Version = Version,
            .m_Digest = std::move(Digest),
            .m_Text = std::make_shared<const std::string>(std::move(Text))};
  m_WantsWhole = false;
  return Outcome::Taken;
}

void ConfigurationReceiver::setInForce(const ConfigurationText &Decoded) {
  m_InForce = Decoded;
  if (m_Next.m_Version <= m_InForce.m_Version)
    m_Next = {};
}

void ConfigurationReceiver::reject(const ConfigurationText &Rejected) {
  m_RejectedVersion = std::max(m_RejectedVersion, Rejected.m_Version);
  if (m_Next.m_Version <= m_RejectedVersion)
    m_Next = {};
}

std::uint64_t ConfigurationReceiver::wantedVersion() const {
  std::uint64_t Newest = 0;
  for (const auto &[Node, Known] : m_Nodes)
    Newest = std::max(Newest, Known.m_Version);
  return Newest > newestVersion() ? Newest : 0;
}

std::uint64_t ConfigurationReceiver::newestVersion() const {
  return std::max(newestText().m_Version, m_RejectedVersion);
}

const ConfigurationText &ConfigurationReceiver::newestText() const {
  return m_Next.m_Version > m_InForce.m_Version ? m_Next : m_InForce;
}

void ConfigurationReceiver::wakeBy(TimePoint Time) {
  m_WakeAt = m_WakeAt ? std::min(*m_WakeAt, Time) : Time;
}

} // namespace psp::gateway
