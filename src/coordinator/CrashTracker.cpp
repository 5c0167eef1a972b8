#include "coordinator/CrashTracker.h"

#include "fleet/RequestFingerprint.h"

#include <algorithm>
#include <iterator>

namespace psp::coordinator {

bool CrashTracker::onCrash(const EndpointCrash &Crash, base::TimePoint Now) {
  forget(Now);
  const std::string &Fingerprint = Crash.fingerprint();
  const bool Counts = countCrash(Fingerprint, Crash, Now);
  const std::string Path = fleet::pathFingerprint(Fingerprint);
  return (Path != Fingerprint && countCrash(Path, Crash, Now)) || Counts;
}

bool CrashTracker::countCrash(const std::string &Key,
                              const EndpointCrash &Crash, base::TimePoint Now) {
  const auto Before = [Now](std::uint64_t MicrosecondsAgo) {
    return Now - base::Duration(static_cast<std::int64_t>(MicrosecondsAgo));
  };
  Suspect &Suspected = m_Suspects[Key];
  const Endpoint Ended(Crash.endpoint(), Crash.born());
  if (std::ranges::find(Suspected.m_Endpoints, Ended) !=
      Suspected.m_Endpoints.end())
    return false;
  if (Suspected.m_IsExplanation) {
    if (Suspected.m_Endpoints.size() < m_Options.m_MaxExplainedCrashes) {
      Suspected.m_Endpoints.push_back(Ended);
      m_Explained.insert(Ended);
    }
    Suspected.m_LastLostAt = Before(Crash.lost_us_ago());
    return false;
  }
  Suspected.m_Organisation = Crash.organisation();
  Suspected.m_Route = Crash.route();
  Suspected.m_PathFingerprint = fleet::pathFingerprint(Key);
  Suspected.m_IsPath = Key != Crash.fingerprint();
  Suspected.m_Endpoints.push_back(Ended);
  // Reports of two sends of one call are too close to be ordered by time.
  const bool Counts =
      Suspected.m_Counted.empty() ||
      Suspected.m_Counted.back() ==
          Endpoint(Crash.previous_endpoint(), Crash.previous_born()) ||
      Before(Crash.sent_us_ago()) >= Suspected.m_LastLostAt;
  if (Counts) {
    Suspected.m_Counted.push_back(Ended);
    Suspected.m_LastLostAt = Before(Crash.lost_us_ago());
  }
  if (shouldHold(Suspected))
    explainBy(Suspected);
  return Counts;
}

void CrashTracker::clear(const std::string &Fingerprint) {
  const auto It = m_Suspects.find(Fingerprint);
  if (It != m_Suspects.end())
    erase(It);
}

void CrashTracker::onHeld(const std::string &Fingerprint, base::TimePoint Now) {
  if (!find(Fingerprint)) {
    forget(Now);
    m_Suspects[Fingerprint].m_LastLostAt = Now;
  }
  Suspect &Suspected = m_Suspects[Fingerprint];
  explainBy(Suspected);
  Suspected.m_IsHeld = true;
}

const CrashTracker::Suspect *
CrashTracker::find(const std::string &Fingerprint) const {
  const auto It = m_Suspects.find(Fingerprint);
  return It == m_Suspects.end() ? nullptr : &It->second;
}

std::vector<std::string> CrashTracker::requestsToHold() {
  std::vector<std::string> Fingerprints;
  for (auto &[Fingerprint, Suspected] : m_Suspects) {
    if (Suspected.m_IsHeld || !shouldHold(Suspected))
      continue;
    explainBy(Suspected);
    Fingerprints.push_back(Fingerprint);
  }
  return Fingerprints;
}

std::size_t CrashTracker::crashes(const std::string &Fingerprint) const {
  const Suspect *Suspected = find(Fingerprint);
  return Suspected ? Suspected->m_Counted.size() : 0;
}

bool CrashTracker::shouldHold(const Suspect &Suspected) const {
  if (Suspected.m_IsExplanation)
    return true;
  const std::size_t Counted = Suspected.m_Counted.size();
  const std::size_t Unexplained = unexplained(Suspected.m_Counted);
  if (Suspected.m_IsPath)
    return Unexplained >= m_Options.m_MinPathCrashes &&
           Counted >= m_Options.m_MaxPathCrashes;
  const std::size_t Enough = m_HeldPaths.contains(Suspected.m_PathFingerprint)
                                 ? m_Options.m_MaxRelatedCrashes
                                 : m_Options.m_MaxCrashes;
  return Unexplained >= Enough ||
         (Unexplained > 0 && Counted >= m_Options.m_MaxSharedCrashes) ||
         (Counted >= m_Options.m_SuspectCrashes &&
          unexplained(Suspected.m_Endpoints) >= m_Options.m_MaxEndpoints);
}

/// Number of \p Endpoints that no other request is known to have ended.
std::size_t
CrashTracker::unexplained(const std::vector<Endpoint> &Endpoints) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Endpoints, [this](const Endpoint &Ended) {
        return !m_Explained.contains(Ended);
      }));
}

void CrashTracker::explainBy(Suspect &Suspected) {
  if (Suspected.m_IsExplanation)
    return;
  Suspected.m_IsExplanation = true;
  m_Explained.insert(Suspected.m_Endpoints.begin(),
                     Suspected.m_Endpoints.end());
}

void CrashTracker::erase(std::map<std::string, Suspect>::iterator It) {
  if (It->second.m_IsExplanation)
    for (const Endpoint &Ended : It->second.m_Endpoints)
      m_Explained.erase(m_Explained.find(Ended));
  m_Suspects.erase(It);
}

/// Drops requests whose last crash is long ago, and makes room for one and its
/// path.
void CrashTracker::forget(base::TimePoint Now) {
  for (auto It = m_Suspects.begin(); It != m_Suspects.end();) {
    const auto Next = std::next(It);
    if (Now - It->second.m_LastLostAt > m_Options.m_RetentionTime)
      erase(It);
    It = Next;
  }
  while (m_Suspects.size() + 2 > m_Options.m_MaxRequests)
    erase(std::ranges::min_element(m_Suspects, {}, [](const auto &Entry) {
      return Entry.second.m_LastLostAt;
    }));
}

} // namespace psp::coordinator
