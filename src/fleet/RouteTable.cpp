#include "fleet/RouteTable.h"

#include "base/Error.h"

#include <algorithm>
#include <utility>

namespace psp::fleet {

RouteTable::RouteTable(ServingConfiguration Source)
    : m_Source(std::move(Source)) {
  for (const Route &Each : m_Source.m_Routes)
    m_ByHost[Each.m_Host].push_back(&Each);
  for (auto &[Host, Routes] : m_ByHost)
    std::ranges::sort(Routes, [](const Route *Left, const Route *Right) {
      return Left->m_PathPrefix.size() > Right->m_PathPrefix.size();
    });
  for (const OrganisationSpec &Each : m_Source.m_Organisations)
    for (const std::string &Key : Each.m_Keys)
      m_ByKey[Key] = &Each;
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  const auto Found = m_ByHost.find(Host);
  if (Found == m_ByHost.end())
    return nullptr;
  for (const Route *Each : Found->second)
    if (Path.starts_with(Each->m_PathPrefix))
      return Each;
  return nullptr;
}

const OrganisationSpec *
RouteTable::organisationOf(const std::string &Key) const {
  const auto Found = m_ByKey.find(Key);
  return Found == m_ByKey.end() ? nullptr : Found->second;
}

const ServiceSpec *RouteTable::service(const std::string &Name) const {
  const auto Found = m_Source.m_Services.find(Name);
  return Found == m_Source.m_Services.end() ? nullptr : &Found->second;
}

const std::string &RouteTable::pickService(const Route &Called, double Draw) {
  double Sum = 0;
  for (const RouteTarget &Each : Called.m_Targets)
    Sum += Each.m_Weight;
  double Left = Draw * Sum;
  for (const RouteTarget &Each : Called.m_Targets) {
    Left -= Each.m_Weight;
    if (Left < 0)
      return Each.m_Service;
  }
  base::checkInvariant(!Called.m_Targets.empty(), "a route without targets");
  return Called.m_Targets.back().m_Service;
}

} // namespace psp::fleet
