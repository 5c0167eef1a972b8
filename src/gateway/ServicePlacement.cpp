#include "gateway/ServicePlacement.h"

#include <algorithm>
#include <limits>

namespace psp::gateway {

namespace {

/// Weights of the newest sample in the moving averages.
constexpr double LatencySmoothingWeight = 0.2;
constexpr double FailureSmoothingWeight = 0.1;
/// Added costs of endpoints that are selected only if there is no other.
constexpr double AvoidedCostMs = 5000;
constexpr double InactiveCostMs = 2000;
/// A full endpoint is avoided this long: the time of one or two calls on its
/// slots.
constexpr base::Duration FullAvoidTime = base::milliseconds(60);
/// Fraction of the latency that is added at random, to spread calls over equal
/// endpoints.
constexpr double JitterShare = 0.25;
constexpr std::uint32_t MaxDoublings = 4;
/// Calls after which an endpoint's own latency counts as much as that of the
/// service's others.
constexpr double TypicalLatencyWeight = 1;
/// Beyond this number of endpoints, those that nothing came from for
/// StatsRetention are forgotten.
constexpr std::size_t MaxIdleStats = 1024;
constexpr base::Duration StatsRetention = base::seconds(300);

} // namespace

const fleet::EndpointState *ServicePlacement::selectEndpoint(
    const std::string &Service, const std::string &Preferred,
    const std::set<std::string> &Excluded, const std::string &Software,
    const fleet::EndpointDirectory &Endpoints, base::TimePoint Now,
    const fleet::PlacementRule *Rule) {
  const fleet::EndpointState *Best = nullptr;
  double LowestCostMs = std::numeric_limits<double>::max();
  const double TypicalMs = typicalLatencyMs(Service, Endpoints);
  Endpoints.forEachUsable(Service, [&](const fleet::EndpointState &Endpoint) {
    if (Excluded.contains(Endpoint.id()) ||
        (!Software.empty() && Endpoint.software() != Software))
      return;
    const std::optional<double> ExtraCostMs =
        Rule ? Rule->extraCostMs(Endpoint) : 0.0;
    if (!ExtraCostMs)
      return;
    double CostMs = *ExtraCostMs + estimateCostMs(Endpoint, TypicalMs, Now);
    if (Endpoint.id() == Preferred && !isAvoided(Endpoint.id(), Now))
      CostMs = -1;
    if (CostMs < LowestCostMs) {
      LowestCostMs = CostMs;
      Best = &Endpoint;
    }
  });
  return Best;
}

ServicePlacement::EndpointStats &
ServicePlacement::statsOf(const fleet::EndpointState &Candidate,
                          base::TimePoint Now) {
  const auto [It, IsNew] = m_Stats.try_emplace(Candidate.id());
  EndpointStats &Stats = It->second;
  if (IsNew)
    Stats.m_KnownSince = Now;
  if (Stats.m_Born != 0 && Stats.m_Born != Candidate.born()) {
    EndpointStats Fresh;
    Fresh.m_ActiveRequests = Stats.m_ActiveRequests;
    Fresh.m_KnownSince = Now;
    Fresh.m_LastReceivedAt = Stats.m_LastReceivedAt;
    Stats = Fresh;
  }
  Stats.m_Born = Candidate.born();
  if (IsNew && m_Stats.size() > MaxIdleStats)
    std::erase_if(m_Stats, [&](const auto &Entry) {
      return Entry.second.m_ActiveRequests == 0 &&
             Now - std::max(Entry.second.m_KnownSince,
                            Entry.second.m_LastReceivedAt) >
                 StatsRetention;
    });
  return Stats;
}

double ServicePlacement::typicalLatencyMs(
    const std::string &Service,
    const fleet::EndpointDirectory &Endpoints) const {
  double Sum = 0;
  double Count = 0;
  Endpoints.forEachUsable(Service, [&](const fleet::EndpointState &Endpoint) {
    const auto It = m_Stats.find(Endpoint.id());
    if (It == m_Stats.end() || It->second.m_LatencyMs <= 0 ||
        (It->second.m_Born != 0 && It->second.m_Born != Endpoint.born()))
      return;
    Sum += It->second.m_LatencyMs;
    ++Count;
  });
  return Count > 0 ? Sum / Count : m_Options.m_InitialLatencyMs;
}

double ServicePlacement::estimateCostMs(const fleet::EndpointState &Candidate,
                                        double TypicalLatencyMs,
                                        base::TimePoint Now) {
  const EndpointStats &Stats = statsOf(Candidate, Now);
  const double Samples = Stats.m_LatencySamples;
  const double LatencyMs =
      (Samples * Stats.m_LatencyMs + TypicalLatencyWeight * TypicalLatencyMs) /
      (Samples + TypicalLatencyWeight);
  const double Slots = std::max<std::uint32_t>(Candidate.slots(), 1);
  std::uniform_real_distribution<double> Jitter(0, JitterShare);
  double TotalMs =
      LatencyMs * (1 + 2 * Stats.m_ActiveRequests / Slots + Jitter(m_Random));
  TotalMs += m_Options.m_FailureCostMs * Stats.m_FailureRate;
  if (Candidate.data_centre() != m_Options.m_DataCentre)
    TotalMs += m_Options.m_RemoteCostMs;
  if (!m_IdleConnections.hasIdle(Candidate.address()))
    TotalMs += m_Options.m_ConnectCostMs;
  if (Now < Stats.m_AvoidUntil)
    TotalMs += AvoidedCostMs;
  if (Candidate.silent())
    TotalMs += InactiveCostMs;
  return TotalMs;
}

void ServicePlacement::onSent(const std::string &Endpoint) {
  ++m_Stats[Endpoint].m_ActiveRequests;
}

void ServicePlacement::onDone(const std::string &Endpoint,
                              base::Duration Latency, base::TimePoint Now) {
  EndpointStats &Stats = m_Stats[Endpoint];
  Stats.m_ActiveRequests -= std::min(Stats.m_ActiveRequests, 1U);
  if (Latency <= base::Duration(0))
    return;
  Stats.m_ConsecutiveFailures = 0;
  Stats.m_FailureRate *= 1 - FailureSmoothingWeight;
  Stats.m_AvoidUntil = std::min(Stats.m_AvoidUntil, Now);
  const double Ms = std::chrono::duration<double, std::milli>(Latency).count();
  ++Stats.m_LatencySamples;
  Stats.m_LatencyMs =
      Stats.m_LatencyMs <= 0
          ? Ms
          : LatencySmoothingWeight * Ms +
                (1 - LatencySmoothingWeight) * Stats.m_LatencyMs;
}

void ServicePlacement::onFailed(const std::string &Endpoint) {
  EndpointStats &Stats = m_Stats[Endpoint];
  Stats.m_FailureRate += FailureSmoothingWeight * (1 - Stats.m_FailureRate);
}

void ServicePlacement::onUnreachable(const std::string &Endpoint,
                                     base::TimePoint Now) {
  EndpointStats &Stats = m_Stats[Endpoint];
  const std::uint32_t Doublings =
      std::min(Stats.m_ConsecutiveFailures, MaxDoublings);
  ++Stats.m_ConsecutiveFailures;
  Stats.m_AvoidUntil = Now + std::min(m_Options.m_AvoidTime * (1U << Doublings),
                                      m_Options.m_MaxAvoidTime);
}

void ServicePlacement::onSilent(const std::string &Endpoint,
                                base::TimePoint Now) {
  EndpointStats &Stats = m_Stats[Endpoint];
  Stats.m_AvoidUntil =
      std::max(Stats.m_AvoidUntil, Now + m_Options.m_AvoidTime);
}

void ServicePlacement::onBytesReceived(const std::string &Endpoint,
                                       base::TimePoint Now) {
  m_Stats[Endpoint].m_LastReceivedAt = Now;
}

base::TimePoint
ServicePlacement::lastReceivedAt(const std::string &Endpoint) const {
  const auto It = m_Stats.find(Endpoint);
  return It == m_Stats.end() ? base::TimePoint() : It->second.m_LastReceivedAt;
}

void ServicePlacement::onFull(const std::string &Endpoint,
                              base::TimePoint Now) {
  EndpointStats &Stats = m_Stats[Endpoint];
  Stats.m_AvoidUntil = std::max(Stats.m_AvoidUntil, Now + FullAvoidTime);
}

bool ServicePlacement::isAvoided(const std::string &Endpoint,
                                 base::TimePoint Now) const {
  const auto It = m_Stats.find(Endpoint);
  return It != m_Stats.end() && Now < It->second.m_AvoidUntil;
}

} // namespace psp::gateway
