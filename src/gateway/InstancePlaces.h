/// \file
/// Where this instance may send a call by itself: homes, and its part of what
/// cold endpoints bear.

#ifndef PSP_GATEWAY_INSTANCEPLACES_H
#define PSP_GATEWAY_INSTANCEPLACES_H

#include "fleet/ColdBound.h"
#include "fleet/EndpointDirectory.h"
#include "fleet/PlacementRule.h"
#include "fleet/ServingConfiguration.h"
#include "node/NodeSettings.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace psp::gateway {

/// Names of data centres; empty: any.
using AllowedDataCentres = std::optional<std::set<std::string>>;

/// An engine that was granted to a turn. The grant is younger than the request
/// for it.
struct EngineGrant {
  std::string m_Endpoint;
  std::uint64_t m_Born = 0;
  base::TimePoint m_AskedAt;
};

/// What a call may use, at one moment.
struct CallPlaces {
  AllowedDataCentres m_Allowed;
  EngineGrant m_Grant;
  /// Of the call's service; zero: any number.
  double m_ColdRatePerSecond = 0;
  std::uint32_t m_Instances = 0; ///< Entry instances; zero: unknown.
};

/// Load pattern: see fleet::ColdBound. Calls that no node grants, such as those
/// of plain services and second tries, use the instance's own part, and that
/// only if no warm endpoint is left.
class InstancePlaces {
public:
  InstancePlaces(const node::NodeSettings &Settings,
                 const fleet::EndpointDirectory &Endpoints)
      : m_Settings(Settings), m_Endpoints(Endpoints) {}

  bool isEnabled() const { return m_Settings.m_Places.m_Enabled; }
  /// Where the homes of \p Route and \p Organisation, which may be null, let a
  /// call run. Both bind.
  AllowedDataCentres
  allowedDataCentres(const fleet::Route &Route,
                     const fleet::OrganisationSpec *Organisation) const;
  /// Whether a body that is kept from other regions than \p Allowed may be sent
  /// to a node in \p DataCentre.
  bool mayHoldBody(const AllowedDataCentres &Allowed,
                   const std::string &DataCentre) const;
  /// Whether an endpoint of \p Service may run a call with homes \p Allowed.
  bool hasUsable(const std::string &Service,
                 const AllowedDataCentres &Allowed) const;

  enum class ColdUse {
    Warm,    ///< The endpoint bears any number of requests.
    Granted, ///< Counted by the node that granted it.
    Own,     ///< From this instance's part.
    None,    ///< Nothing may be sent to it now.
  };
  ColdUse coldUse(const fleet::EndpointState &Endpoint,
                  const CallPlaces &Places, base::TimePoint Now) const;
  /// The same just before a send, which is counted.
  ColdUse takeCold(const fleet::EndpointState &Endpoint,
                   const CallPlaces &Places, base::TimePoint Now);
  void expire(base::TimePoint Now) { m_Sends.expire(Now); }

  /// For one selection.
  class Rule : public fleet::PlacementRule {
  public:
    Rule(const InstancePlaces &Places, CallPlaces Call, base::TimePoint Now)
        : m_Places(Places), m_Call(std::move(Call)), m_Now(Now) {}
    std::optional<double>
    extraCostMs(const fleet::EndpointState &Candidate) const override;

  private:
    const InstancePlaces &m_Places;
    CallPlaces m_Call;
    base::TimePoint m_Now;
  };

private:
  std::size_t ownPart(const fleet::EndpointState &Endpoint,
                      const CallPlaces &Places) const;

  const node::NodeSettings &m_Settings; ///< May be reloaded.
  const fleet::EndpointDirectory &m_Endpoints;
  fleet::ColdWindow m_Sends{fleet::ColdSendWindow};
};

} // namespace psp::gateway

#endif
