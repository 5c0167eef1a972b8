#include "fleet/ServingConfiguration.h"

#include "base/Error.h"

#include <set>
#include <utility>

namespace psp::fleet {

namespace {

[[noreturn]] void refuse(const std::string &Message) {
  throw base::UserError(base::ErrorKind::InvalidConfiguration, Message);
}

void checkTargets(const Route &Checked, const ServingConfiguration &Whole) {
  std::uint64_t Weights = 0;
  for (const RouteTarget &Each : Checked.m_Targets) {
    Weights += Each.m_Weight;
    if (!Whole.m_Services.contains(Each.m_Service))
      refuse("route " + Checked.m_Name + ": expected a listed service, found " +
             Each.m_Service);
  }
  if (Weights == 0)
    refuse("route " + Checked.m_Name +
           ": expected weights above 0 in sum, found 0");
}

void checkRoutes(const ServingConfiguration &Candidate) {
  std::set<std::pair<std::string, std::string>> Places;
  for (const Route &Each : Candidate.m_Routes) {
    checkTargets(Each, Candidate);
    if (Each.m_Timeout <= base::Duration(0))
      refuse("route " + Each.m_Name + ": expected a time-out above 0, found 0");
    if (!Places.emplace(Each.m_Host, Each.m_PathPrefix).second)
      refuse("route " + Each.m_Name +
             ": expected a host and prefix of its own, "
             "found those of another route: " +
             Each.m_Host + Each.m_PathPrefix);
  }
}

void checkKeys(const ServingConfiguration &Candidate) {
  std::map<std::string, std::string> Owners;
  for (const OrganisationSpec &Each : Candidate.m_Organisations) {
    for (const std::string &Key : Each.m_Keys) {
      const auto [Found, Fresh] = Owners.emplace(Key, Each.m_Name);
      if (!Fresh && Found->second != Each.m_Name)
        refuse("organisation " + Each.m_Name +
               ": expected keys of its own, found one of " + Found->second);
    }
  }
}

} // namespace

void checkConfiguration(const ServingConfiguration &Candidate) {
  checkRoutes(Candidate);
  checkKeys(Candidate);
}

} // namespace psp::fleet
