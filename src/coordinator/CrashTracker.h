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
  /// Instances should report a success of a request from this many crashes on.
  std::size_t m_SuspectCrashes = 2;
  /// A request without another crash for this long is forgotten.
  base::Duration m_RetentionTime = base::seconds(10 * 60);
  /// If there are more, the one whose last crash is the oldest is forgotten.
  std::size_t m_MaxRequests = 4096;
};

/// Load patterns: callers repeat a request that ends each endpoint that runs
/// it; endpoints end for other reasons, together with dozens of sound requests.
/// A crash counts against a request only if the request was sent after the
/// crash that was counted before, so endpoints that end at the same moment
/// count once. One success clears a request.
class CrashTracker {
public:
  using EndpointCrash = messages::fleet::EndpointCrash;

  struct Suspect {
    std::string m_Organisation;
    std::string m_Route;
    std::string m_PathFingerprint;
    /// Identifiers and starts of the endpoints, in the order of the reports.
    std::vector<std::pair<std::string, std::uint64_t>> m_Endpoints;
    /// Crashes of which each followed the one before.
    std::size_t m_Crashes = 0;
    /// Endpoint of the last one of these.
    std::pair<std::string, std::uint64_t> m_LastCounted;
    base::TimePoint m_LastLostAt;
  };

  explicit CrashTracker(CrashTrackerOptions Options = {})
      : m_Options(Options) {}

  /// Returns whether the crash counts against the request.
  bool onCrash(const EndpointCrash &Crash, base::TimePoint Now);
  /// Requests with one of \p PathFingerprints are related to a held one.
  void setHeldPaths(std::set<std::string> PathFingerprints) {
    m_HeldPaths = std::move(PathFingerprints);
  }
  /// An endpoint has answered the request, or the request is held now.
  void clear(const std::string &Fingerprint) { m_Suspects.erase(Fingerprint); }
  /// Null if the request has ended no endpoint.
  const Suspect *find(const std::string &Fingerprint) const;
  bool isSuspect(const std::string &Fingerprint) const {
    return crashes(Fingerprint) >= m_Options.m_SuspectCrashes;
  }
  bool shouldHold(const std::string &Fingerprint) const {
    const Suspect *Suspected = find(Fingerprint);
    return Suspected && shouldHold(*Suspected);
  }
  /// Fingerprints of all requests that should be held.
  std::vector<std::string> requestsToHold() const;
  std::size_t size() const { return m_Suspects.size(); }

private:
  std::size_t crashes(const std::string &Fingerprint) const;
  bool shouldHold(const Suspect &Suspected) const {
    return Suspected.m_Crashes >=
               (m_HeldPaths.contains(Suspected.m_PathFingerprint)
                    ? m_Options.m_MaxRelatedCrashes
                    : m_Options.m_MaxCrashes) ||
           (Suspected.m_Crashes >= m_Options.m_SuspectCrashes &&
            Suspected.m_Endpoints.size() >= m_Options.m_MaxEndpoints);
  }
  void forget(base::TimePoint Now);

  CrashTrackerOptions m_Options;
  std::map<std::string, Suspect> m_Suspects; ///< By fingerprint.
  std::set<std::string> m_HeldPaths;
};

} // namespace psp::coordinator

#endif
