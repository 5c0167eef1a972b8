/// \file
/// Which engines a turn may be granted: those of its homes, and cold ones only
/// now and then.

#ifndef PSP_HISTORY_TURNPLACES_H
#define PSP_HISTORY_TURNPLACES_H

#include "fleet/ColdBound.h"
#include "fleet/EndpointDirectory.h"
#include "fleet/PlacementRule.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace psp::history {

struct TurnPlacesOptions {
  bool m_Enabled = false;
  /// See fleet::ColdBound. History nodes don't know the services' rates, so
  /// they go by what a cold endpoint bears at any rate.
  double m_ColdRatePerSecond = 0;
  double m_ColdOvershoot = 1;
  double m_ColdSlack = 0;
};

/// Load pattern: a third of the engines come back cold at once, are idle and so
/// look best for every turn. Each gets a few turns, and its other slots count
/// as occupied, so that admission doesn't fill the warm engines beyond theirs.
class TurnPlaces {
public:
  explicit TurnPlaces(TurnPlacesOptions Options = {});

  /// For one turn, at one moment.
  class Rule : public fleet::PlacementRule {
  public:
    std::optional<double>
    extraCostMs(const messages::fleet::EndpointState &Candidate) const override;
    /// Whether an engine was excluded.
    bool hasExcluded() const { return m_HasExcluded; }

  private:
    friend class TurnPlaces;
    Rule(const TurnPlaces &Places,
         const messages::fleet::TurnPlacement &Placement,
         const fleet::EndpointDirectory &Endpoints, base::TimePoint Now);

    const TurnPlaces &m_Places;
    const fleet::EndpointDirectory &m_Endpoints;
    base::TimePoint m_Now;
    /// Empty: any.
    std::optional<std::set<std::string>> m_AllowedDataCentres;
    mutable bool m_HasExcluded = false;
  };

  Rule ruleFor(const messages::fleet::TurnPlacement &Placement,
               const fleet::EndpointDirectory &Endpoints,
               base::TimePoint Now) const;
  /// Counts a turn that is granted \p Engine. Returns whether it is cold.
  bool onGranted(const std::string &Engine,
                 const fleet::EndpointDirectory &Endpoints,
                 base::TimePoint Now);
  /// Slots of \p Engine for admission while \p Running turns run there.
  std::size_t slotsOf(const messages::fleet::EndpointState &Engine,
                      std::size_t Running,
                      const fleet::EndpointDirectory &Endpoints,
                      base::TimePoint Now) const;
  void expire(base::TimePoint Now) { m_Grants.expire(Now); }

private:
  bool isLimited(const messages::fleet::EndpointState &Engine,
                 const fleet::EndpointDirectory &Endpoints,
                 base::TimePoint Now) const;
  bool hasRoom(const messages::fleet::EndpointState &Engine,
               base::TimePoint Now) const;

  bool m_Enabled;
  std::size_t m_Most; ///< Grants of a cold engine within the window.
  fleet::ColdWindow m_Grants{fleet::ColdGrantWindow};
};

} // namespace psp::history

#endif
