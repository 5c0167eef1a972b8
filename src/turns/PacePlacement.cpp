#include "turns/PacePlacement.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace psp::turns {

namespace {

/// Weight of the newest observation in the smoothed gap between events.
constexpr double NewestSampleWeight = 0.4;
/// Weight of the newest turn in the smoothed failure rate. After a few failures
/// in a row an engine becomes the last choice; a failure rate of one in twenty
/// costs less than overloading the other engines.
constexpr double FailureWeight = 0.1;
/// Queueing delay of a turn beyond an engine's slots, as a share of a turn's
/// duration.
constexpr double QueuedShare = 0.5;
/// Cost added to engines that are avoided, or inactive because their
/// announcements have stopped, in milliseconds: they are chosen only if all
/// others cost more than this.
constexpr double AvoidedPenaltyMs = 2000;

} // namespace

std::string PacePlacement::place(const messages::fleet::Request &BeginRequest,
                                 const fleet::EndpointDirectory &Endpoints,
                                 base::TimePoint Now,
                                 const fleet::PlacementRule *Rule) {
  const messages::fleet::BeginTurn &Begin = BeginRequest.begin();
  const std::set<std::string> Connected(BeginRequest.connected().begin(),
                                        BeginRequest.connected().end());
  const auto Placed = m_RunningTurns.find(Begin.turn());
  if (Placed != m_RunningTurns.end())
    return Placed->second.m_Endpoint;
  const auto Preferred = m_Preferences.find(Begin.program());
  std::vector<const fleet::EndpointState *> Usable;
  Endpoints.forEachUsable(Begin.service(),
                          [&](const fleet::EndpointState &Candidate) {
                            if (Begin.software().empty() ||
                                Candidate.software() == Begin.software())
                              Usable.push_back(&Candidate);
                          });
  const std::set<std::string> PrefixEngines =
      enginesOfPrefix(Begin.prompt_prefix(), Usable);
  const double MedianGapUs = medianEventGapUs();
  std::vector<std::string> Best;
  double Lowest = std::numeric_limits<double>::max();
  for (const fleet::EndpointState *Candidate : Usable) {
    const std::optional<double> ExtraCost =
        Rule ? Rule->extraCostMs(*Candidate) : 0.0;
    if (!ExtraCost)
      continue;
    double Cost = *ExtraCost + cost(*Candidate, MedianGapUs, Now);
    const bool IsPreferred = Preferred != m_Preferences.end() &&
                             Preferred->second.m_Endpoint == Candidate->id();
    if (Preferred != m_Preferences.end() && !IsPreferred)
      Cost += prefillCost(BeginRequest, *Candidate);
    if (!IsPreferred && !PrefixEngines.contains(Candidate->id()))
      Cost += m_Options.m_PrefixPrefillMs;
    if (!Connected.contains(Candidate->id()))
      Cost += m_Options.m_ConnectMs;
    if (Cost < Lowest) {
      Best.clear();
      Lowest = Cost;
    }
    if (Cost <= Lowest)
      Best.push_back(Candidate->id());
  }
  if (Best.empty())
    return {};
  std::string Chosen = Best[m_TieBreakCounter++ % Best.size()];
  ++m_Engines[Chosen].m_RunningCount;
  m_RunningTurns[Begin.turn()] = {.m_Endpoint = Chosen, .m_PlacedAt = Now};
  m_Preferences[Begin.program()] = {.m_Endpoint = Chosen,
                                    .m_LastPlacedAt = Now};
  return Chosen;
}

/// Returns the engines that cache \p Prefix. The choice depends on hashes only,
/// so every leader makes the same one.
std::set<std::string> PacePlacement::enginesOfPrefix(
    const std::string &Prefix,
    const std::vector<const fleet::EndpointState *> &Usable) const {
  std::map<std::uint64_t, std::string> ByHash;
  for (const fleet::EndpointState *Candidate : Usable)
    ByHash[base::stableHash(Prefix + '/' + Candidate->id())] = Candidate->id();
  std::set<std::string> Chosen;
  for (const auto &[Hash, Id] : ByHash)
    if (Chosen.size() < m_Options.m_EnginesPerPrefix)
      Chosen.insert(Id);
  return Chosen;
}

double PacePlacement::cost(const fleet::EndpointState &Candidate,
                           double MedianGapUs, base::TimePoint Now) const {
  const auto It = m_Engines.find(Candidate.id());
  const Engine Current = It == m_Engines.end() ? Engine{} : It->second;
  const double Decay = decayFactor(Current.m_LastObservedAt, Now);
  double Slowdown = 1;
  if (Current.m_EventGapUs > 0 && MedianGapUs > 0)
    Slowdown =
        1 + std::max(0.0, Current.m_EventGapUs / MedianGapUs - 1) * Decay;
  const double Slots = std::max<std::uint32_t>(Candidate.slots(), 1);
  const double QueuedPerSlot =
      std::max(0.0, Current.m_RunningCount + 1 - Slots) / Slots;
  double Total =
      m_Options.m_IdleTurnMs * Slowdown *
          (1 + QueuedShare * QueuedPerSlot * Slots) +
      m_Options.m_MsPerRunningTurn * Current.m_RunningCount * Slowdown +
      m_Options.m_FailureMs * Current.m_FailedShare * Decay;
  if (Candidate.silent() || Now < Current.m_AvoidUntil)
    Total += AvoidedPenaltyMs;
  return Total;
}

double PacePlacement::prefillCost(const messages::fleet::Request &Begin,
                                  const fleet::EndpointState &Candidate) const {
  const double Ms = Begin.prompt_tokens() > 0
                        ? static_cast<double>(Begin.prompt_tokens()) /
                              m_Options.m_PrefillTokensPerMs
                        : m_Options.m_HistoryPrefillMs;
  return std::min(
      m_Options.m_MaxPrefillMs,
      Ms * (1 + m_Options.m_PrefillDelayShare * runningOn(Candidate.id())));
}

double PacePlacement::decayFactor(base::TimePoint Since,
                                  base::TimePoint Now) const {
  const double AgeSeconds = std::chrono::duration<double>(Now - Since).count();
  const double DecaySeconds =
      std::chrono::duration<double>(m_Options.m_DecayTime).count();
  return std::exp(-std::max(0.0, AgeSeconds) / DecaySeconds);
}

double PacePlacement::medianEventGapUs() const {
  std::vector<double> Gaps;
  for (const auto &[Id, Observed] : m_Engines)
    if (Observed.m_EventGapUs > 0)
      Gaps.push_back(Observed.m_EventGapUs);
  if (Gaps.empty())
    return 0;
  const auto Middle =
      Gaps.begin() + static_cast<std::ptrdiff_t>(Gaps.size() / 2);
  std::nth_element(Gaps.begin(), Middle, Gaps.end());
  return *Middle;
}

void PacePlacement::finish(const std::string &Turn, const Observation &Observed,
                           base::TimePoint Now) {
  const auto It = m_RunningTurns.find(Turn);
  if (It != m_RunningTurns.end()) {
    Engine &Released = m_Engines[It->second.m_Endpoint];
    Released.m_RunningCount -= std::min(Released.m_RunningCount, 1U);
    m_RunningTurns.erase(It);
  }
  if (Observed.m_Endpoint.empty())
    return;
  Engine &Reported = m_Engines[Observed.m_Endpoint];
  Reported.m_FailedShare = (1 - FailureWeight) * Reported.m_FailedShare +
                           (Observed.m_Failed ? FailureWeight : 0);
  if (Observed.m_EventGapUs > 0)
    Reported.m_EventGapUs =
        Reported.m_EventGapUs <= 0
            ? Observed.m_EventGapUs
            : NewestSampleWeight * Observed.m_EventGapUs +
                  (1 - NewestSampleWeight) * Reported.m_EventGapUs;
  Reported.m_LastObservedAt = Now;
}

void PacePlacement::avoid(const std::string &Endpoint, base::TimePoint Now) {
  m_Engines[Endpoint].m_AvoidUntil = Now + m_Options.m_AvoidTime;
}

void PacePlacement::expire(base::TimePoint Now) {
  std::erase_if(m_RunningTurns, [&](const auto &Entry) {
    if (Now - Entry.second.m_PlacedAt < m_Options.m_TurnTimeout)
      return false;
    Engine &Released = m_Engines[Entry.second.m_Endpoint];
    Released.m_RunningCount -= std::min(Released.m_RunningCount, 1U);
    return true;
  });
  std::erase_if(m_Preferences, [&](const auto &Entry) {
    return Now - Entry.second.m_LastPlacedAt > m_Options.m_AffinityTime;
  });
}

std::uint32_t PacePlacement::runningOn(const std::string &Endpoint) const {
  const auto It = m_Engines.find(Endpoint);
  return It == m_Engines.end() ? 0 : It->second.m_RunningCount;
}

} // namespace psp::turns
