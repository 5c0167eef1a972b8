/// \file
/// Finds requests that end the endpoints which run them.

#ifndef PSP_COORDINATOR_CRASHTRACKER_H
#define PSP_COORDINATOR_CRASHTRACKER_H

#include "base/Time.h"
#include "generated/fleet.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace psp::coordinator {

struct CrashTrackerOptions {
  /// A request that has ended this many endpoints one after another is to be
  /// held.
  std::size_t m_MaxCrashes = 3;
  /// If another request of the same organisation and path is held, this many
  /// are enough: callers vary a request, or continue from another turn with it.
  std::size_t m_MaxRelatedCrashes = 2;
  /// So is one that has ended this many endpoints, not all of them at the same
  /// moment, since it may be sent by several callers at once.
  std::size_t m_MaxEndpoints = 6;
  /// A request that has ended this many endpoints one after another, most of
  /// them together with a request that is to be held, is held too once an
  /// endpoint ends without that request.
  std::size_t m_MaxSharedCrashes = 4;
  /// If all requests of an organisation with one path that were sent meanwhile
  /// have ended this many endpoints, the path is to be held: each caller sends
  /// what ends endpoints with a body of its own.
  std::size_t m_MaxPathCrashes = 4;
  /// So many of them were ended by no request that is to be held itself.
  std::size_t m_MinPathCrashes = 2;
  /// Instances should report a success of a request from this many crashes on.
  std::size_t m_SuspectCrashes = 2;
  /// A request without another crash for this long is forgotten.
  base::Duration m_RetentionTime = base::seconds(10 * 60);
  /// If there are more, the one whose last crash is the oldest is forgotten.
  std::size_t m_MaxRequests = 4096;
  /// Crashes that one request explains at most.
  std::size_t m_MaxExplainedCrashes = 64;
};

/// Load patterns: callers repeat a request that ends each endpoint that runs
/// it; endpoints end for other reasons, together with dozens of sound requests.
/// A crash counts against a request only if the request was sent after the
/// crash that was counted before, so endpoints that end at the same moment
/// count once. Requests that are lost together are sent again together; the
/// first one that is to be held explains the crashes in which it was lost, and
/// these don't count against the others. One success clears a request.
/// Paths are counted like requests, by the common part of their fingerprints;
/// the success of any request clears its path.
class CrashTracker {
public:
  using EndpointCrash = messages::fleet::EndpointCrash;
  /// Identifier and start of an endpoint.
  using Endpoint = std::pair<std::string, std::uint64_t>;

  struct Suspect {
    std::string m_Organisation;
    std::string m_Route;
    std::string m_PathFingerprint;
    std::vector<Endpoint> m_Endpoints; ///< In the order of the reports.
    /// Endpoints of which each ended after the one before.
    std::vector<Endpoint> m_Counted;
    base::TimePoint m_LastLostAt;
    bool m_IsPath = false;
    bool m_IsExplanation = false; ///< It is to be held.
    bool m_IsHeld = false;        ///< The control group has committed that.
  };

  explicit CrashTracker(CrashTrackerOptions Options = {})
      : m_Options(Options) {}

  /// Returns whether the crash counts against the request.
  bool onCrash(const EndpointCrash &Crash, base::TimePoint Now);
  /// Requests with one of \p PathFingerprints are related to a held one.
  void setHeldPaths(std::set<std::string> PathFingerprints) {
    m_HeldPaths = std::move(PathFingerprints);
  }
  /// An endpoint has answered the request, or its hold was ended.
  void clear(const std::string &Fingerprint);
  /// The request is held now. It goes on to explain crashes.
  void onHeld(const std::string &Fingerprint, base::TimePoint Now);
  /// Null if the request has ended no endpoint.
  const Suspect *find(const std::string &Fingerprint) const;
  bool isSuspect(const std::string &Fingerprint) const {
    return crashes(Fingerprint) >= m_Options.m_SuspectCrashes;
  }
  bool shouldHold(const std::string &Fingerprint) const {
    const Suspect *Suspected = find(Fingerprint);
    return Suspected && shouldHold(*Suspected);
  }
  /// Fingerprints of all requests that should be held and are not.
  std::vector<std::string> requestsToHold();
  std::size_t size() const { return m_Suspects.size(); }

private:
  std::size_t crashes(const std::string &Fingerprint) const;
  bool countCrash(const std::string &Key, const EndpointCrash &Crash,
                  base::TimePoint Now);
  bool shouldHold(const Suspect &Suspected) const;
  std::size_t unexplained(const std::vector<Endpoint> &Endpoints) const;
  void explainBy(Suspect &Suspected);
  void erase(std::map<std::string, Suspect>::iterator It);
  void forget(base::TimePoint Now);

  CrashTrackerOptions m_Options;
  std::map<std::string, Suspect> m_Suspects; ///< By fingerprint.
  std::multiset<Endpoint> m_Explained;       ///< Once for each explanation.
  std::set<std::string> m_HeldPaths;
};

} // namespace psp::coordinator

#endif
