#include "fleet/RouteTable.h"

#include "base/Error.h"

#include <algorithm>
#include <utility>

namespace psp::fleet {

RouteTable::RouteTable(ServingConfiguration Configuration)
    : m_Configuration(std::move(Configuration)) {
  for (const Route &Entry : m_Configuration.m_Routes)
    m_ByHost[Entry.m_Host].push_back(&Entry);
  for (auto &[Host, Routes] : m_ByHost)
    std::ranges::sort(Routes, [](const Route *Left, const Route *Right) {
      return Left->m_PathPrefix.size() > Right->m_PathPrefix.size();
    });
  for (const OrganisationSpec &Organisation : m_Configuration.m_Organisations)
    for (const std::string &Key : Organisation.m_Keys)
      m_ByKey[Key] = &Organisation;
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  const auto It = m_ByHost.find(Host);
  if (It == m_ByHost.end())
    return nullptr;
  for (const Route *Entry : It->second)
    if (Path.starts_with(Entry->m_PathPrefix))
      return Entry;
  return nullptr;
}

const OrganisationSpec *
RouteTable::organisationOf(const std::string &Key) const {
  const auto It = m_ByKey.find(Key);
  return It == m_ByKey.end() ? nullptr : It->second;
}

const ServiceSpec *RouteTable::service(const std::string &Name) const {
  const auto It = m_Configuration.m_Services.find(Name);
  return It == m_Configuration.m_Services.end() ? nullptr : &It->second;
}

const std::string &RouteTable::pickService(const Route &Matched, double Draw) {
  double TotalWeight = 0;
  for (const RouteTarget &Target : Matched.m_Targets)
    TotalWeight += Target.m_Weight;
  double Remaining = Draw * TotalWeight;
  for (const RouteTarget &Target : Matched.m_Targets) {
    Remaining -= Target.m_Weight;
    if (Remaining < 0)
      return Target.m_Service;
  }
  base::checkInvariant(!Matched.m_Targets.empty(), "a route has no targets");
  return Matched.m_Targets.back().m_Service;
}

} // namespace psp::fleet
