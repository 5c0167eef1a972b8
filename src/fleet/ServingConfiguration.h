/// \file
/// The configuration that operators set for calls: routes, services,
/// organisations and the limits on callers. A new version replaces the previous
/// one completely.

#ifndef PSP_FLEET_SERVINGCONFIGURATION_H
#define PSP_FLEET_SERVINGCONFIGURATION_H

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace psp::fleet {

/// How often endpoints may execute a call, and the form of its response.
enum class CallKind {
  Repeatable, ///< May be executed any number of times.
  AtMostOnce, ///< Executed at most once for each attempt of the caller.
  Stream,     ///< A stream of events; repeatable only if it is resumable.
};

/// One service of a route and its weight among the route's targets.
struct RouteTarget {
  std::string m_Service;
  std::uint32_t m_Weight = 1;

  bool operator==(const RouteTarget &) const = default;
};

struct Route {
  std::string m_Name;
  std::string m_Host;
  std::string m_PathPrefix; ///< Begins and ends with a slash.
  CallKind m_Kind = CallKind::AtMostOnce;
  std::vector<RouteTarget> m_Targets;
  base::Duration m_Timeout{0};       ///< Maximum duration of a call.
  base::Duration m_TargetLatency{0}; ///< Of streams, to the first event.
  std::uint32_t m_Priority = 0;      ///< Zero is the highest.
  std::uint32_t m_Attempts = 1;      ///< Maximum executions of one attempt.
  bool m_RetainsTurns = false;       ///< Later turns may continue a turn.
  base::Duration m_Retention{0};     ///< How long turns are retained.
  bool m_Public = false;             ///< Callers need no key.
  bool m_Resumable = false; ///< A stream may be resumed after an event.
  /// Regions that requests and bodies may go to; empty: all.
  std::vector<std::string> m_HomeRegions{};

  bool operator==(const Route &) const = default;

  /// Whether a call of this route may be executed more than once.
  bool isRepeatable() const {
    return m_Kind == CallKind::Repeatable || canBeTakenUp();
  }
  /// Whether a caller may take up a stream of this route after a break.
  bool canBeTakenUp() const {
    return m_Kind == CallKind::Stream && m_Resumable;
  }
};

struct ServiceSpec {
  std::string m_Name;
  std::string m_HealthPath;
  std::uint32_t m_ConnectionLimit = 0; ///< Per endpoint, over all callers.
  bool m_IsEngine = false;
  std::uint32_t m_EngineSlots = 0;
  std::uint32_t m_TokensPerEvent = 1;
  std::uint64_t m_EngineMemoryTokens = 0; ///< Zero: unknown.
  /// Requests per second that a cold endpoint bears; zero: any number.
  double m_ColdRatePerSecond = 0;
  /// How long an endpoint is cold after its start.
  base::Duration m_ColdTime{0};

  bool operator==(const ServiceSpec &) const = default;
};

struct OrganisationSpec {
  std::string m_Name;
  std::vector<std::string> m_Keys;
  /// Replaces the priority of the routes for this organisation's calls.
  std::optional<std::uint32_t> m_Priority;
  double m_RatePerSecond = 0; ///< Zero: no limit.
  double m_Burst = 0;
  /// Regions that requests and bodies may go to; empty: all.
  std::vector<std::string> m_HomeRegions{};

  bool operator==(const OrganisationSpec &) const = default;

  /// Priority of a call of this organisation on \p Called; zero is the highest.
  std::uint32_t priorityOn(const Route &Called) const {
    return m_Priority.value_or(Called.m_Priority);
  }

  /// Fraction of the rate that is divided over the entry instances; the rest is
  /// one token bucket at the control leader. Low rates are not divided, since
  /// callers that are spread unevenly would leave tokens unused at instances
  /// that don't need them.
  double dividedShare() const {
    return m_RatePerSecond >= MinDividedRatePerSecond ? 0.5 : 0;
  }
  /// Rates below this are not divided.
  static constexpr double MinDividedRatePerSecond = 40;
};

struct CallerLimits {
  std::uint32_t m_HeaderBytes = 16U << 10U;
  std::uint64_t m_BodyBytes = 4U << 20U;
  base::Duration m_HeaderTimeout = base::seconds(3);
  base::Duration m_IdleTimeout = base::seconds(15);

  bool operator==(const CallerLimits &) const = default;
};

struct ServingConfiguration {
  std::uint64_t m_Version = 0;
  std::vector<Route> m_Routes;
  std::map<std::string, ServiceSpec> m_Services;
  std::vector<OrganisationSpec> m_Organisations;
  CallerLimits m_Limits;

  bool operator==(const ServingConfiguration &) const = default;
};

/// Decodes configurations from the operators' format.
class ConfigurationCodec {
public:
  virtual ~ConfigurationCodec() = default;

  /// Throws UserError(InvalidConfiguration) whose message names what was
  /// expected and what was found.
  virtual ServingConfiguration decode(const std::string &Document) const = 0;
};

/// Throws UserError(InvalidConfiguration) at the first error: a route without
/// targets, with an unknown service or without a timeout, two routes with the
/// same host and path prefix, a key that two organisations have.
void checkConfiguration(const ServingConfiguration &Candidate);

} // namespace psp::fleet

#endif
