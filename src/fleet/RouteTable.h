/// \file
/// A configuration in force, indexed for calls.

#ifndef PSP_FLEET_ROUTETABLE_H
#define PSP_FLEET_ROUTETABLE_H

#include "fleet/ServingConfiguration.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace psp::fleet {

class RouteTable {
public:
  explicit RouteTable(ServingConfiguration Source);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  const ServingConfiguration &configuration() const { return m_Source; }

  /// The route of \p Host with the longest prefix of \p Path; null if none.
  const Route *find(std::string_view Host, std::string_view Path) const;
  /// The organisation that holds \p Key; null if none.
  const OrganisationSpec *organisationOf(const std::string &Key) const;
  /// Null if there is none.
  const ServiceSpec *service(const std::string &Name) const;
  /// The target of \p Called for a uniform \p Draw in [0, 1).
  static const std::string &pickService(const Route &Called, double Draw);

private:
  ServingConfiguration m_Source;
  /// Longest prefixes first.
  std::map<std::string, std::vector<const Route *>, std::less<>> m_ByHost;
  std::unordered_map<std::string, const OrganisationSpec *> m_ByKey;
};

} // namespace psp::fleet

#endif
