/// \file
/// What operators configure for calls: routes, services, organisations and
/// the limits on callers. One version replaces the one before as a whole.

#ifndef PSP_FLEET_SERVINGCONFIGURATION_H
#define PSP_FLEET_SERVINGCONFIGURATION_H

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace psp::fleet {

/// What may be repeated.
enum class CallKind {
  Repeatable, ///< May run any number of times.
  AtMostOnce, ///< Runs at most once for each attempt of the caller.
  Stream,     ///< A series of events; repeatable only where it may be resumed.
};

/// One service of a route and its share of the calls.
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
  base::Duration m_Timeout{0};       ///< Longest time that a call may take.
  base::Duration m_TargetLatency{0}; ///< Streams: to the first event.
  std::uint32_t m_Priority = 0;      ///< Zero is the highest.
  std::uint32_t m_Attempts = 1;      ///< Endpoints that may run one attempt.
  bool m_KeepsTurns = false;         ///< Later turns may continue from a turn.
  base::Duration m_Retention{0};
  bool m_Public = false;    ///< Open to callers without a key.
  bool m_Resumable = false; ///< A stream may go on after an event.

  bool operator==(const Route &) const = default;

  /// Whether an endpoint may run a call of this route more than once.
  bool isRepeatable() const {
    return m_Kind == CallKind::Repeatable ||
           (m_Kind == CallKind::Stream && m_Resumable);
  }
};

struct ServiceSpec {
  std::string m_Name;
  std::string m_HealthPath;
  std::uint32_t m_ConnectionLimit = 0; ///< Of each endpoint, from all callers.
  bool m_IsEngine = false;
  std::uint32_t m_EngineSlots = 0;
  std::uint32_t m_TokensPerEvent = 1;

  bool operator==(const ServiceSpec &) const = default;
};

struct OrganisationSpec {
  std::string m_Name;
  std::vector<std::string> m_Keys;
  std::optional<std::uint32_t> m_Priority;
  double m_RatePerSecond = 0; ///< Zero: no limit.
  double m_Burst = 0;

  bool operator==(const OrganisationSpec &) const = default;

  /// Share of the rate that is divided over the entry instances; the rest is
  /// one bucket at the leader of control. Low rates are not divided, since an
  /// uneven spread of callers would leave tokens where nobody needs them.
  double dividedShare() const {
    return m_RatePerSecond >= LeastDividedRate ? 0.5 : 0;
  }
  /// Requests per second.
  static constexpr double LeastDividedRate = 40;
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

/// Reads configurations in the operators' format.
class ConfigurationCodec {
public:
  virtual ~ConfigurationCodec() = default;

  /// Throws UserError(InvalidConfiguration) that says what was expected and
  /// what was found.
  virtual ServingConfiguration decode(const std::string &Document) const = 0;
};

/// Throws UserError(InvalidConfiguration) at the first fault: a route without
/// target, to an unknown service or without a time-out, two routes with one
/// host and prefix, a key of two organisations.
void checkConfiguration(const ServingConfiguration &Candidate);

} // namespace psp::fleet

#endif
