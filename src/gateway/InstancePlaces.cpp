#include "gateway/InstancePlaces.h"

#include <algorithm>

namespace psp::gateway {

namespace {

/// Added cost of a cold endpoint, in milliseconds: below that of one which
/// can't be reached, above all others.
constexpr double ColdCostMs = 1500;

bool isHome(const std::vector<std::string> &Homes, const std::string &Region) {
  return Homes.empty() || std::ranges::find(Homes, Region) != Homes.end();
}

} // namespace

AllowedDataCentres InstancePlaces::allowedDataCentres(
    const fleet::Route &Route,
    const fleet::OrganisationSpec *Organisation) const {
  static const std::vector<std::string> None;
  const std::vector<std::string> &OfOrganisation =
      Organisation ? Organisation->m_HomeRegions : None;
  if (!isEnabled() || (Route.m_HomeRegions.empty() && OfOrganisation.empty()))
    return std::nullopt;
  std::set<std::string> Allowed;
  for (const auto &[DataCentre, Region] : m_Settings.m_Regions)
    if (isHome(Route.m_HomeRegions, Region) && isHome(OfOrganisation, Region))
      Allowed.insert(DataCentre);
  return Allowed;
}

bool InstancePlaces::mayHoldBody(const AllowedDataCentres &Allowed,
                                 const std::string &DataCentre) const {
  if (!Allowed || Allowed->contains(DataCentre))
    return true;
  const auto &Regions = m_Settings.m_Regions;
  const auto Region = Regions.find(DataCentre);
  const auto Own = Regions.find(m_Settings.m_DataCentre);
  return Region != Regions.end() && Own != Regions.end() &&
         Region->second == Own->second;
}

bool InstancePlaces::hasUsable(const std::string &Service,
                               const AllowedDataCentres &Allowed) const {
  bool Found = false;
  m_Endpoints.forEachUsable(Service, [&](const fleet::EndpointState &Endpoint) {
    Found = Found || !Allowed || Allowed->contains(Endpoint.data_centre());
  });
  return Found;
}

InstancePlaces::ColdUse
InstancePlaces::coldUse(const fleet::EndpointState &Endpoint,
                        const CallPlaces &Places, base::TimePoint Now) const {
  if (!isEnabled() || Places.m_ColdRatePerSecond <= 0 ||
      !m_Endpoints.mayHaveCold(Now) || !m_Endpoints.isCold(Endpoint.id(), Now))
    return ColdUse::Warm;
  const EngineGrant &Grant = Places.m_Grant;
  if (Grant.m_Endpoint == Endpoint.id() && Grant.m_Born == Endpoint.born() &&
      Now - Grant.m_AskedAt <= fleet::MaxColdGrantAge)
    return ColdUse::Granted;
  return m_Sends.hasRoom(Endpoint.id(), Endpoint.born(),
                         ownPart(Endpoint, Places), Now)
             ? ColdUse::Own
             : ColdUse::None;
}

InstancePlaces::ColdUse
InstancePlaces::takeCold(const fleet::EndpointState &Endpoint,
                         const CallPlaces &Places, base::TimePoint Now) {
  const ColdUse Use = coldUse(Endpoint, Places, Now);
  if (Use == ColdUse::Own)
    m_Sends.take(Endpoint.id(), Endpoint.born(), ownPart(Endpoint, Places),
                 Now);
  return Use;
}

std::size_t InstancePlaces::ownPart(const fleet::EndpointState &Endpoint,
                                    const CallPlaces &Places) const {
  return fleet::ColdBound(Places.m_ColdRatePerSecond,
                          m_Settings.m_Places.m_ColdOvershoot,
                          m_Settings.m_Places.m_ColdSlack)
      .instancePart(m_Settings.m_Name, Places.m_Instances, Endpoint.id(),
                    Endpoint.born());
}

std::optional<double>
InstancePlaces::Rule::extraCostMs(const fleet::EndpointState &Candidate) const {
  if (m_Call.m_Allowed && !m_Call.m_Allowed->contains(Candidate.data_centre()))
    return std::nullopt;
  switch (m_Places.coldUse(Candidate, m_Call, m_Now)) {
  case ColdUse::Warm:
  case ColdUse::Granted:
    return 0;
  case ColdUse::Own:
    return ColdCostMs;
  case ColdUse::None:
    break;
  }
  return std::nullopt;
}

} // namespace psp::gateway
