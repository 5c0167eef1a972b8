/// \file
/// The active configuration, indexed by what a call is looked up by.

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
  explicit RouteTable(ServingConfiguration Configuration);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  const ServingConfiguration &configuration() const { return m_Configuration; }

  /// The route of \p Host with the longest matching prefix of \p Path; null if
  /// none matches.
  const Route *find(std::string_view Host, std::string_view Path) const;
  /// The organisation that \p Key belongs to; null if none.
  const OrganisationSpec *organisationOf(const std::string &Key) const;
  /// The service named \p Name; null if none.
  const ServiceSpec *service(const std::string &Name) const;
  /// Picks the service of a target of \p Matched by weight. \p Draw is a
  /// uniform random number in [0, 1).
  static const std::string &pickService(const Route &Matched, double Draw);

private:
  ServingConfiguration m_Configuration;
  /// Routes of each host, longest path prefix first.
  std::map<std::string, std::vector<const Route *>, std::less<>> m_ByHost;
  std::unordered_map<std::string, const OrganisationSpec *> m_ByKey;
};

} // namespace psp::fleet

#endif
