/// \file
/// Selects endpoints by the latency, load and failures that this instance has
/// observed.

#ifndef PSP_GATEWAY_SERVICEPLACEMENT_H
#define PSP_GATEWAY_SERVICEPLACEMENT_H

#include "base/Time.h"
#include "fleet/EndpointDirectory.h"
#include "fleet/PlacementRule.h"
#include "gateway/IdleConnections.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>

namespace psp::gateway {

struct ServicePlacementOptions {
  std::string m_DataCentre;
  /// Added cost of an endpoint in another data centre, besides its latency: a
  /// network partition leaves calls there without a response, so calls stay in
  /// their own data centre until half of a local endpoint's slots are in use.
  double m_RemoteCostMs = 20;
  /// Cost of opening a connection: a round trip and a handshake for the caller,
  /// and for other calls the slot that is occupied meanwhile.
  double m_ConnectCostMs = 40;
  /// Assumed latency of an endpoint before the first call to it has finished.
  double m_InitialLatencyMs = 20;
  /// An unreachable endpoint is avoided this long. The time doubles with each
  /// consecutive failure up to the maximum.
  base::Duration m_AvoidTime = base::milliseconds(700);
  base::Duration m_MaxAvoidTime = base::seconds(6);
  /// Cost of a failed call, weighted by the failure rate: at most half of the
  /// deadline that callers have.
  double m_FailureCostMs = 500;
  std::uint64_t m_Seed = 0;
};

/// Load pattern: many instances with a few calls per second each share many
/// endpoints. If calls were spread over all endpoints, few of them would find a
/// connection that is still open, and endpoints would spend their slots on
/// handshakes.
class ServicePlacement {
public:
  ServicePlacement(ServicePlacementOptions Options, const IdleConnections &Idle)
      : m_Options(std::move(Options)), m_IdleConnections(Idle),
        m_Random(m_Options.m_Seed) {}

  /// The endpoint of \p Service with the lowest estimated cost; null if there
  /// is none. \p Preferred is selected if it is usable and not avoided;
  /// endpoints in \p Excluded, or of another version than \p Software if that
  /// isn't empty, never are, and neither are those that \p Rule excludes,
  /// unless it is null.
  const fleet::EndpointState *
  selectEndpoint(const std::string &Service, const std::string &Preferred,
                 const std::set<std::string> &Excluded,
                 const std::string &Software,
                 const fleet::EndpointDirectory &Endpoints, base::TimePoint Now,
                 const fleet::PlacementRule *Rule = nullptr);

  void onSent(const std::string &Endpoint);
  /// \p Latency: zero if the call gives no latency sample.
  void onDone(const std::string &Endpoint, base::Duration Latency,
              base::TimePoint Now);
  /// The endpoint can't be reached, so the next call would fail as well.
  void onUnreachable(const std::string &Endpoint, base::TimePoint Now);
  /// Nothing comes from the endpoint, which is avoided for a short time.
  void onSilent(const std::string &Endpoint, base::TimePoint Now);
  /// Bytes arrived from the endpoint, on any connection.
  void onBytesReceived(const std::string &Endpoint, base::TimePoint Now);
  /// When bytes last arrived from the endpoint.
  base::TimePoint lastReceivedAt(const std::string &Endpoint) const;
  /// A call failed, but others may succeed.
  void onFailed(const std::string &Endpoint);
  /// The endpoint rejected a call because it is full.
  void onFull(const std::string &Endpoint, base::TimePoint Now);
  bool isAvoided(const std::string &Endpoint, base::TimePoint Now) const;

private:
  struct EndpointStats {
    std::uint32_t m_ActiveRequests = 0;
    double m_LatencyMs = 0; ///< Moving average; zero if unknown.
    double m_FailureRate = 0;
    std::uint32_t m_ConsecutiveFailures = 0;
    base::TimePoint m_AvoidUntil;
    base::TimePoint m_LastReceivedAt;
  };

  double estimateCostMs(const fleet::EndpointState &Candidate,
                        base::TimePoint Now);

  ServicePlacementOptions m_Options;
  const IdleConnections &m_IdleConnections;
  std::mt19937_64 m_Random;
  std::map<std::string, EndpointStats> m_Stats;
};

} // namespace psp::gateway

#endif
