#include "fleet/RouteTable.h"

#include "base/Error.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace psp::fleet {

RouteTable::RouteTable(ServingConfiguration Configuration)
    : m_Configuration(std::move(Configuration)) {
  for (const Route &Entry : m_Configuration.m_Routes) {
    HostRoutes &Routes = m_ByHost[Entry.m_Host];
    Routes.m_ByPrefix.emplace(Entry.m_PathPrefix, &Entry);
    Routes.m_PrefixLengths.push_back(Entry.m_PathPrefix.size());
  }
  for (auto &[Host, Routes] : m_ByHost) {
    std::vector<std::size_t> &Lengths = Routes.m_PrefixLengths;
    std::ranges::sort(Lengths, std::greater<>());
    Lengths.erase(std::unique(Lengths.begin(), Lengths.end()), Lengths.end());
  }
  for (const OrganisationSpec &Organisation : m_Configuration.m_Organisations)
    for (const std::string &Key : Organisation.m_Keys)
      m_ByKey[Key] = &Organisation;
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  const auto Routes = m_ByHost.find(Host);
  if (Routes == m_ByHost.end())
    return nullptr;
  for (const std::size_t Length : Routes->second.m_PrefixLengths) {
    if (Length > Path.size())
      continue;
    const auto Found = Routes->second.m_ByPrefix.find(Path.substr(0, Length));
    if (Found != Routes->second.m_ByPrefix.end())
      return Found->second;
  }
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
