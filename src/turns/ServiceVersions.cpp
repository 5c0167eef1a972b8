#include "turns/ServiceVersions.h"

#include <algorithm>

namespace psp::turns {

void ServiceVersions::record(const std::string &Service,
                             const std::string &Software,
                             std::uint64_t ExpiresMs) {
  if (Software.empty())
    return;
  std::map<std::string, std::uint64_t> &Versions = m_Services[Service];
  if (!Versions.contains(Software) &&
      Versions.size() >= m_Options.m_MaxPerService)
    return;
  std::uint64_t &Expiry = Versions[Software];
  Expiry = std::max(Expiry, ExpiresMs);
}

std::set<std::string> ServiceVersions::find(const std::string &Service,
                                            std::uint64_t NowMs) const {
  std::set<std::string> Versions;
  if (const auto It = m_Services.find(Service); It != m_Services.end())
    for (const auto &[Software, Expiry] : It->second)
      if (Expiry >= NowMs)
        Versions.insert(Software);
  return Versions;
}

std::uint64_t ServiceVersions::expiresMs(const std::string &Service,
                                         const std::string &Software) const {
  const auto It = m_Services.find(Service);
  if (It == m_Services.end())
    return 0;
  const auto Version = It->second.find(Software);
  return Version == It->second.end() ? 0 : Version->second;
}

void ServiceVersions::expire(std::uint64_t WallMs) {
  for (auto &[Service, Versions] : m_Services)
    std::erase_if(Versions, [WallMs](const auto &Version) {
      return Version.second < WallMs;
    });
  std::erase_if(m_Services,
                [](const auto &Entry) { return Entry.second.empty(); });
}

void ServiceVersions::save(
    messages::fleet::TurnLedgerSnapshot &Snapshot) const {
  for (const auto &[Service, Versions] : m_Services)
    for (const auto &[Software, Expiry] : Versions) {
      auto &Out = *Snapshot.add_service_versions();
      Out.set_service(Service);
      Out.set_software(Software);
      Out.set_expires_ms(Expiry);
    }
}

void ServiceVersions::load(
    const messages::fleet::TurnLedgerSnapshot &Snapshot) {
  m_Services.clear();
  for (const auto &Saved : Snapshot.service_versions())
    record(Saved.service(), Saved.software(), Saved.expires_ms());
}

} // namespace psp::turns
