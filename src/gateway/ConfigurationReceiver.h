/// \file
/// Decides from which control node this instance fetches a new version of the
/// configuration, and which text it takes.

#ifndef PSP_GATEWAY_CONFIGURATIONRECEIVER_H
#define PSP_GATEWAY_CONFIGURATIONRECEIVER_H

#include "base/Time.h"
#include "generated/fleet.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace psp::gateway {

/// A text of the configuration. Version zero: none.
struct ConfigurationText {
  std::uint64_t m_Version = 0;
  std::string m_Digest; ///< SHA-256 of the text.
  std::shared_ptr<const std::string> m_Text;

  bool operator==(const ConfigurationText &) const = default;
};

struct ConfigurationReceiverOptions {
  std::string m_Instance; ///< Name of this instance.
  std::string m_DataCentre;
  /// How long a node of this data centre may be behind a node of another one.
  base::Duration m_LocalWait = base::milliseconds(120);
  /// The next node is asked if nothing has come from the one that was asked for
  /// this long.
  base::Duration m_SilenceTime = base::milliseconds(300);
  /// The same if it takes longer than this in all, though other things come.
  base::Duration m_MaxFetchTime = base::seconds(3);
  /// A reply that is later than this isn't awaited.
  base::Duration m_ForgetTime = base::seconds(10);
  /// How long busy nodes of this data centre are preferred to others.
  base::Duration m_LocalBusyTime = base::milliseconds(500);
  /// After all nodes were asked, the first one is asked again after this, which
  /// doubles up to the second value.
  base::Duration m_FirstRetryPause = base::milliseconds(150);
  base::Duration m_LongestRetryPause = base::milliseconds(1200);
  std::size_t m_MaxFetches = 3; ///< At a time; all but one are late.
  std::size_t m_MaxTextBytes = 16U << 20U;
};

/// Load pattern: each version is announced by every control node within some
/// milliseconds. Then nodes are late, end or are cut off while they serve it,
/// versions follow each other faster than they arrive, and this instance has
/// little of a core and of a line.
class ConfigurationReceiver {
public:
  using TimePoint = base::TimePoint;
  /// When something last came from a node; empty if it isn't connected.
  using LastReceived =
      std::function<std::optional<TimePoint>(const std::string &Node)>;

  /// One request to be sent.
  struct Fetch {
    std::string m_Node;
    messages::fleet::FetchConfiguration m_Request;
  };
  enum class Outcome {
    Taken,     ///< next() has a newer text.
    NotNewer,  ///< Nothing newer was there.
    Busy,      ///< The node is to be asked again later.
    WrongText, ///< The digest or the difference is wrong.
    NotAwaited ///< No fetch has this number.
  };

  explicit ConfigurationReceiver(ConfigurationReceiverOptions Options)
      : m_Options(std::move(Options)) {}

  void onConnected(const std::string &Node, const std::string &DataCentre);
  void onDisconnected(const std::string &Node);
  /// \p Node holds \p Version with \p Digest.
  void onAnnounced(const std::string &Node, const std::string &DataCentre,
                   std::uint64_t Version, const std::string &Digest,
                   TimePoint Now);
  /// A whole document has come with an update.
  Outcome onDocument(std::uint64_t Version, const std::string &Document);

  /// What to request now, if anything. The caller sends it as request
  /// \p Number.
  std::optional<Fetch> nextFetch(std::uint64_t Number, TimePoint Now,
                                 const LastReceived &Received);
  Outcome onReply(const messages::fleet::Reply &Received, TimePoint Now);
  /// When nextFetch() should be called again; empty if an event will tell.
  std::optional<TimePoint> wakeAt() const { return m_WakeAt; }

  /// A text that is newer than the one in force and isn't being decoded;
  /// version zero if none.
  const ConfigurationText &next() const { return m_Next; }
  /// \p Decoded is in force.
  void setInForce(const ConfigurationText &Decoded);
  /// \p Rejected can't be decoded here and won't be fetched again.
  void reject(const ConfigurationText &Rejected);
  const ConfigurationText &inForce() const { return m_InForce; }

private:
  struct ControlNode {
    std::string m_DataCentre;
    std::uint64_t m_Version = 0; ///< Zero: nothing announced.
    std::string m_Digest;
    std::optional<TimePoint> m_NotBefore; ///< It was busy.
  };
  struct PendingFetch {
    std::string m_Node;
    TimePoint m_SentAt;
    bool m_Late = false;      ///< Another node was asked instead.
    ConfigurationText m_Base; ///< What a difference is relative to.
  };

  /// The newest version that was announced, if it is newer than what this
  /// instance has; zero otherwise.
  std::uint64_t wantedVersion() const;
  /// The newest version that needn't be fetched.
  std::uint64_t newestVersion() const;
  /// The newest text that this instance has.
  const ConfigurationText &newestText() const;
  /// Forgets fetches that nobody will answer, and finds those that are late.
  /// Returns whether one is under way that isn't late.
  bool checkFetches(TimePoint Now, const LastReceived &Received);
  /// The nodes that may be asked and haven't been in this round, the best one
  /// first.
  std::vector<std::string> candidates(std::uint64_t Wanted,
                                      const LastReceived &Received) const;
  /// Whether a node of this data centre is expected to announce \p Wanted soon.
  bool isLocalNodeAwaited(std::uint64_t Wanted,
                          const LastReceived &Received) const;
  /// Empty if none is to be asked now.
  std::string pickNode(std::uint64_t Wanted, TimePoint Now,
                       const LastReceived &Received);
  bool isLocal(const std::string &Node) const;
  bool isPending(const std::string &Node) const;
  Outcome take(std::uint64_t Version, std::string Digest, std::string Text);
  void wakeBy(TimePoint Time);

  ConfigurationReceiverOptions m_Options;
  std::map<std::string, ControlNode> m_Nodes;
  std::map<std::uint64_t, PendingFetch> m_Fetches; ///< By request number.
  std::uint64_t m_LastWanted = 0;
  TimePoint m_WantedSince;
  std::set<std::string> m_Tried; ///< Nodes asked in this round.
  base::Duration m_RetryPause{0};
  std::optional<TimePoint> m_NextRoundAt;
  bool m_WantsWhole = false; ///< A difference was wrong.
  std::optional<TimePoint> m_WakeAt;
  ConfigurationText m_InForce;
  ConfigurationText m_Next;
  std::uint64_t m_RejectedVersion = 0;
};

} // namespace psp::gateway

#endif
