#include "coordinator/CrashTracker.h"

#include "fleet/RequestFingerprint.h"

#include <algorithm>

namespace psp::coordinator {

bool CrashTracker::onCrash(const EndpointCrash &Crash, base::TimePoint Now) {
  const auto Before = [Now](std::uint64_t MicrosecondsAgo) {
    return Now - base::Duration(static_cast<std::int64_t>(MicrosecondsAgo));
  };
  forget(Now);
  Suspect &Suspected = m_Suspects[Crash.fingerprint()];
  const std::pair Endpoint(Crash.endpoint(), Crash.born());
  if (shouldHold(Suspected) ||
      std::ranges::find(Suspected.m_Endpoints, Endpoint) !=
          Suspected.m_Endpoints.end())
    return false;
  Suspected.m_Organisation = Crash.organisation();
  Suspected.m_Route = Crash.route();
  Suspected.m_PathFingerprint = fleet::pathFingerprint(Crash.fingerprint());
  Suspected.m_Endpoints.push_back(Endpoint);
  // Reports of two sends of one call are too close to be ordered by time.
  const bool FollowsLast =
      Suspected.m_LastCounted ==
          std::pair(Crash.previous_endpoint(), Crash.previous_born()) ||
      Before(Crash.sent_us_ago()) >= Suspected.m_LastLostAt;
  if (Suspected.m_Crashes > 0 && !FollowsLast)
    return false;
  ++Suspected.m_Crashes;
  Suspected.m_LastCounted = Endpoint;
  Suspected.m_LastLostAt = Before(Crash.lost_us_ago());
  return true;
}

const CrashTracker::Suspect *
CrashTracker::find(const std::string &Fingerprint) const {
  const auto It = m_Suspects.find(Fingerprint);
  return It == m_Suspects.end() ? nullptr : &It->second;
}

std::vector<std::string> CrashTracker::requestsToHold() const {
  std::vector<std::string> Fingerprints;
  for (const auto &[Fingerprint, Suspected] : m_Suspects)
    if (shouldHold(Suspected))
      Fingerprints.push_back(Fingerprint);
  return Fingerprints;
}

std::size_t CrashTracker::crashes(const std::string &Fingerprint) const {
  const Suspect *Suspected = find(Fingerprint);
  return Suspected ? Suspected->m_Crashes : 0;
}

/// Drops requests whose last crash is long ago, and makes room for one.
void CrashTracker::forget(base::TimePoint Now) {
  std::erase_if(m_Suspects, [&](const auto &Entry) {
    return Now - Entry.second.m_LastLostAt > m_Options.m_RetentionTime;
  });
  if (m_Suspects.size() >= m_Options.m_MaxRequests)
    m_Suspects.erase(
        std::ranges::min_element(m_Suspects, {}, [](const auto &Entry) {
          return Entry.second.m_LastLostAt;
        }));
}

} // namespace psp::coordinator
