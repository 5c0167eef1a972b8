/// \file
/// The active configuration, indexed by what a call is looked up by.

#ifndef PSP_FLEET_ROUTETABLE_H
#define PSP_FLEET_ROUTETABLE_H

#include "fleet/ServingConfiguration.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace psp::fleet {

/// Load pattern: each call is looked up, also while one host has thousands of
/// routes, and each new version of the configuration makes a new table.
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
  /// The routes of one host. A path is looked up once for each length that a
  /// prefix has.
  struct HostRoutes {
    std::unordered_map<std::string_view, const Route *> m_ByPrefix;
    std::vector<std::size_t> m_PrefixLengths; ///< Longest first.
  };

  ServingConfiguration m_Configuration;
  /// The keys of the maps are texts of m_Configuration.
  std::unordered_map<std::string_view, HostRoutes> m_ByHost;
  std::unordered_map<std::string_view, const OrganisationSpec *> m_ByKey;
};

} // namespace psp::fleet

#endif
