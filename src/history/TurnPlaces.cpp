#include "history/TurnPlaces.h"

#include <algorithm>

namespace psp::history {

namespace {

/// Added cost of a cold engine, in milliseconds: it is slower, so it is chosen
/// once the others have a turn or two more than their slots.
constexpr double ColdCostMs = 100;

} // namespace

TurnPlaces::TurnPlaces(TurnPlacesOptions Options)
    : m_Enabled(Options.m_Enabled),
      m_Most(fleet::ColdBound(Options.m_ColdRatePerSecond,
                              Options.m_ColdOvershoot, Options.m_ColdSlack)
                 .granterPart()) {}

TurnPlaces::Rule::Rule(const TurnPlaces &Places,
                       const messages::fleet::TurnPlacement &Placement,
                       const fleet::EndpointDirectory &Endpoints,
                       base::TimePoint Now)
    : m_Places(Places), m_Endpoints(Endpoints), m_Now(Now) {
  if (Placement.has_allowed_data_centres())
    m_AllowedDataCentres.emplace(Placement.allowed_data_centres().begin(),
                                 Placement.allowed_data_centres().end());
}

std::optional<double> TurnPlaces::Rule::extraCostMs(
    const messages::fleet::EndpointState &Candidate) const {
  if (!m_Places.m_Enabled)
    return 0;
  const bool Allowed = !m_AllowedDataCentres ||
                       m_AllowedDataCentres->contains(Candidate.data_centre());
  const bool Limited = m_Places.isLimited(Candidate, m_Endpoints, m_Now);
  if (!Allowed || (Limited && !m_Places.hasRoom(Candidate, m_Now))) {
    m_HasExcluded = true;
    return std::nullopt;
  }
  return Limited ? ColdCostMs : 0;
}

TurnPlaces::Rule
TurnPlaces::ruleFor(const messages::fleet::TurnPlacement &Placement,
                    const fleet::EndpointDirectory &Endpoints,
                    base::TimePoint Now) const {
  return {*this, Placement, Endpoints, Now};
}

bool TurnPlaces::onGranted(const std::string &Engine,
                           const fleet::EndpointDirectory &Endpoints,
                           base::TimePoint Now) {
  const fleet::EndpointState *State = Endpoints.find(Engine);
  if (!State || !isLimited(*State, Endpoints, Now))
    return false;
  m_Grants.take(State->id(), State->born(), m_Most, Now);
  return true;
}

std::size_t TurnPlaces::slotsOf(const messages::fleet::EndpointState &Engine,
                                std::size_t Running,
                                const fleet::EndpointDirectory &Endpoints,
                                base::TimePoint Now) const {
  if (!isLimited(Engine, Endpoints, Now))
    return Engine.slots();
  return std::min<std::size_t>(Engine.slots(),
                               Running + (hasRoom(Engine, Now) ? 1 : 0));
}

bool TurnPlaces::isLimited(const messages::fleet::EndpointState &Engine,
                           const fleet::EndpointDirectory &Endpoints,
                           base::TimePoint Now) const {
  return m_Enabled && Endpoints.mayHaveCold(Now) &&
         Endpoints.isCold(Engine.id(), Now);
}

bool TurnPlaces::hasRoom(const messages::fleet::EndpointState &Engine,
                         base::TimePoint Now) const {
  return m_Grants.hasRoom(Engine.id(), Engine.born(), m_Most, Now);
}

} // namespace psp::history
