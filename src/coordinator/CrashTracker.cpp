#include "coordinator/CrashTracker.h"

#include <algorithm>

namespace psp::coordinator {

bool CrashTracker::onCrash(const EndpointCrash &Crash, base::TimePoint Now) {
  const auto Before = [Now](std::uint64_t MicrosecondsAgo) {
    return Now - base::Duration(static_cast<std::int64_t>(MicrosecondsAgo));
  };
  forget(Now);
  const auto [It, Inserted] = m_Suspects.try_emplace(Crash.fingerprint());
  Suspect &Request = It->second;
  const std::pair Endpoint(Crash.endpoint(), Crash.born());
  const bool Known = std::ranges::find(Request.m_Endpoints, Endpoint) !=
                     Request.m_Endpoints.end();
  if (!Inserted &&
      (Known || Request.m_Endpoints.size() >= m_Options.m_MaxCrashes ||
       (!Crash.repeated() &&
        Before(Crash.sent_us_ago()) < Request.m_LastLostAt)))
    return false;
  Request.m_Organisation = Crash.organisation();
  Request.m_Route = Crash.route();
  Request.m_Endpoints.push_back(Endpoint);
  Request.m_LastLostAt = Before(Crash.lost_us_ago());
  return true;
}

const CrashTracker::Suspect *
CrashTracker::find(const std::string &Fingerprint) const {
  const auto It = m_Suspects.find(Fingerprint);
  return It == m_Suspects.end() ? nullptr : &It->second;
}

std::vector<std::string> CrashTracker::requestsToHold() const {
  std::vector<std::string> Fingerprints;
  for (const auto &[Fingerprint, Request] : m_Suspects)
    if (Request.m_Endpoints.size() >= m_Options.m_MaxCrashes)
      Fingerprints.push_back(Fingerprint);
  return Fingerprints;
}

std::size_t CrashTracker::crashes(const std::string &Fingerprint) const {
  const Suspect *Request = find(Fingerprint);
  return Request ? Request->m_Endpoints.size() : 0;
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
