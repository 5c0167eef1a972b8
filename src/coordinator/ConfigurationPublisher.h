/// \file
/// Decides what an entry instance that asks for the configuration gets, and
/// which instances must be sent the whole document unasked.

#ifndef PSP_COORDINATOR_CONFIGURATIONPUBLISHER_H
#define PSP_COORDINATOR_CONFIGURATIONPUBLISHER_H

#include "base/Time.h"
#include "generated/fleet.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace psp::coordinator {

struct ConfigurationPublisherOptions {
  /// Bytes of earlier versions that are held as text. The one before the newest
  /// is held in any case.
  std::size_t m_MaxHeldBytes = 4U << 20U;
  /// Bytes of differences that are kept for other instances with the same
  /// version. One is kept in any case.
  std::size_t m_MaxDifferenceBytes = 4U << 20U;
  /// Bytes of replies that have not been written to connections yet.
  std::size_t m_MaxUnsentBytes = 16U << 20U;
  /// Beyond that, instances ask again after this.
  base::Duration m_BusyWait = base::milliseconds(100);
  /// An instance that fetches says so within this time of its connection, also
  /// while all instances start at once.
  base::Duration m_StatementTime = base::milliseconds(1000);
};

/// Load pattern: hundreds of instances ask for each version at once, most with
/// the version before, a few with an older one or none. The documents have some
/// KB to some MB.
class ConfigurationPublisher {
public:
  explicit ConfigurationPublisher(ConfigurationPublisherOptions Options = {})
      : m_Options(Options) {}

  /// \p Document is in force from now on. Does nothing if it was published
  /// before.
  void publish(std::uint64_t Version, const std::string &Document);
  /// Zero before the first document.
  std::uint64_t version() const { return m_Version; }
  /// SHA-256 of the newest document; empty before the first.
  const std::string &digest() const { return m_Digest; }
  /// Null before the first document.
  const std::shared_ptr<const std::string> &text() const { return m_Text; }

  /// The reply to an instance. \p UnsentBytes tells how many bytes for a node
  /// have not been written to its connection yet.
  messages::fleet::Reply
  replyTo(const std::string &Node,
          const messages::fleet::FetchConfiguration &Wanted,
          const std::function<std::size_t(const std::string &)> &UnsentBytes);

  /// An entry instance has connected, or has greeted again. \p Incarnation
  /// tells one start of it from another.
  void onConnected(const std::string &Node, std::uint64_t Incarnation,
                   base::TimePoint Now);
  void onDisconnected(const std::string &Node);
  /// \p Node said that it fetches documents.
  void onFetches(const std::string &Node);
  /// Whether \p Node takes documents only as a whole with an update.
  bool takesWholeDocuments(const std::string &Node) const;
  /// The instances of which this has become known since the last call.
  std::vector<std::string> findInstancesThatDontFetch(base::TimePoint Now);

  /// Bytes of texts and differences that are held.
  std::size_t heldBytes() const;

private:
  struct HeldVersion {
    std::uint64_t m_Version = 0;
    std::string m_Digest;
    std::shared_ptr<const std::string> m_Text;
  };
  enum class Statement { Awaited, Fetches, TakesWholeDocuments };
  struct Instance {
    std::uint64_t m_Incarnation = 0;
    base::TimePoint m_ConnectedAt;
    Statement m_Statement = Statement::Awaited;
  };

  bool
  isBusy(const std::function<std::size_t(const std::string &)> &UnsentBytes);
  /// The difference to the newest document; \p Held null: from nothing.
  const std::string &differenceFrom(const HeldVersion *Held);

  ConfigurationPublisherOptions m_Options;
  std::uint64_t m_Version = 0;
  std::string m_Digest;
  std::shared_ptr<const std::string> m_Text;
  std::deque<HeldVersion> m_Earlier;                ///< Newest last.
  std::map<std::string, std::string> m_Differences; ///< By digest of the base.
  std::size_t m_DifferenceBytes = 0;
  std::set<std::string> m_Served; ///< Nodes that may have unsent replies.
  std::map<std::string, Instance> m_Instances;
};

} // namespace psp::coordinator

#endif
