#include "gateway/HeldRequestTable.h"

#include "fleet/RequestFingerprint.h"

#include <algorithm>
#include <set>

namespace psp::gateway {

void HeldRequestTable::update(const messages::fleet::HeldRequests &Update,
                              base::TimePoint Now) {
  if (Update.revision() < m_Revision)
    return;
  m_Revision = Update.revision();
  m_Held.clear();
  for (const auto &Request : Update.requests())
    m_Held[Request.fingerprint()] =
        Now + base::milliseconds(static_cast<std::int64_t>(Request.left_ms()));
}

void HeldRequestTable::suspect(const std::string &Fingerprint,
                               base::TimePoint Now) {
  if (m_Suspects.size() >= m_Options.m_MaxSuspects)
    m_Suspects.erase(std::ranges::min_element(
        m_Suspects, {}, [](const auto &Entry) { return Entry.second; }));
  m_Suspects.try_emplace(Fingerprint, Now);
}

void HeldRequestTable::expire(base::TimePoint Now) {
  std::erase_if(m_Suspects, [&](const auto &Entry) {
    return Now - Entry.second > m_Options.m_SuspicionTime;
  });
}

std::string HeldRequestTable::heldPart(const std::string &Fingerprint) const {
  const std::string Path = fleet::pathFingerprint(Fingerprint);
  const auto Request = m_Held.find(Fingerprint);
  const auto Common = m_Held.find(Path);
  if (Request == m_Held.end())
    return Common == m_Held.end() ? std::string() : Path;
  return Common != m_Held.end() && Common->second > Request->second
             ? Path
             : Fingerprint;
}

bool HeldRequestTable::isOnlyPathHeld(const std::string &Fingerprint) const {
  return !m_Held.contains(Fingerprint) &&
         m_Held.contains(fleet::pathFingerprint(Fingerprint));
}

std::optional<base::Duration>
HeldRequestTable::holdLeft(const std::string &Fingerprint,
                           base::TimePoint Now) const {
  const auto It = m_Held.find(heldPart(Fingerprint));
  if (It == m_Held.end())
    return std::nullopt;
  return std::max<base::Duration>(base::Duration(0), It->second - Now);
}

std::vector<std::string>
HeldRequestTable::onSuccess(const std::string &Fingerprint) {
  std::vector<std::string> Reported;
  // The list of held requests follows the control group's.
  for (const std::string &Part :
       std::set{Fingerprint, fleet::pathFingerprint(Fingerprint)})
    if (m_Suspects.erase(Part) > 0 || m_Held.contains(Part))
      Reported.push_back(Part);
  return Reported;
}

} // namespace psp::gateway
