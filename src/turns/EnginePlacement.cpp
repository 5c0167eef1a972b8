#include "turns/EnginePlacement.h"

#include "base/Hash.h"
#include "turns/PacePlacement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace psp::turns {

namespace {

/// Weight of the newest turn in the smoothed failure rate. After a few failures
/// in a row an engine becomes the last choice; a failure rate of one in twenty
/// costs less than overloading the other engines.
constexpr double FailureWeight = 0.1;
/// Weight of the newest turn in the smoothed number of gaps of a turn.
constexpr double GapsWeight = 0.05;
/// Limit of the gaps of one turn: a report that comes late says little.
constexpr double MaxGapsPerTurn = 1000;
/// Queueing delay of a turn beyond an engine's slots, as a share of a turn's
/// duration.
constexpr double QueuedShare = 0.5;
/// A turn delays those that run beside it for this share of its steps: they are
/// halfway through theirs.
constexpr double DelayedShare = 0.5;
/// Cost added to engines that are avoided, or inactive because their
/// announcements have stopped, in milliseconds: they are chosen only if all
/// others cost more than this.
constexpr double AvoidedPenaltyMs = 2000;
constexpr double UsPerMs = 1000;

double milliseconds(base::Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

/// Tokens that a turn may hold on its engine until it ends.
std::uint64_t tokensHeld(const messages::fleet::Request &BeginRequest) {
  return BeginRequest.prompt_tokens() + BeginRequest.begin().most();
}

std::string wholeMicroseconds(double Milliseconds) {
  return std::to_string(static_cast<std::uint64_t>(1000 * Milliseconds));
}

} // namespace

std::string EnginePlacement::place(const messages::fleet::Request &BeginRequest,
                                   const fleet::EndpointDirectory &Endpoints,
                                   base::TimePoint Now,
                                   const fleet::PlacementRule *Rule) {
  const messages::fleet::BeginTurn &Begin = BeginRequest.begin();
  const auto Placed = m_RunningTurns.find(Begin.turn());
  if (Placed != m_RunningTurns.end())
    return Placed->second.m_Endpoint;
  std::vector<const fleet::EndpointState *> Usable;
  Endpoints.forEachUsable(Begin.service(),
                          [&](const fleet::EndpointState &Candidate) {
                            if (!mayRun(BeginRequest, Candidate))
                              return;
                            noteStart(Candidate, Now);
                            Usable.push_back(&Candidate);
                          });
  const auto Preferred = m_Preferences.find(Begin.program());
  const Wanted Turn{
      .m_Request = BeginRequest,
      .m_Preference =
          Preferred == m_Preferences.end() ? nullptr : &Preferred->second,
      .m_PrefixEngines = enginesOfPrefix(Begin.prompt_prefix(), Usable),
      .m_Connected = {BeginRequest.connected().begin(),
                      BeginRequest.connected().end()}};
  std::vector<const fleet::EndpointState *> Best;
  double Lowest = std::numeric_limits<double>::max();
  for (const fleet::EndpointState *Candidate : Usable) {
    const std::optional<double> ExtraCost =
        Rule ? Rule->extraCostMs(*Candidate) : 0.0;
    if (!ExtraCost)
      continue;
    const double Cost = *ExtraCost + cost(Turn, *Candidate, Now);
    if (Cost < Lowest) {
      Best.clear();
      Lowest = Cost;
    }
    if (Cost <= Lowest)
      Best.push_back(Candidate);
  }
  if (Best.empty())
    return {};
  const fleet::EndpointState &Chosen = *Best[m_TieBreakCounter++ % Best.size()];
  Engine &Used = m_Engines[Chosen.id()];
  const bool IsReadKnown =
      BeginRequest.prompt_tokens() > 0 &&
      (Turn.m_Preference || !Turn.m_PrefixEngines.contains(Chosen.id()));
  const UnreadTokens Unread = tokensToRead(Turn, Chosen);
  const RunningTurn Added{
      .m_Endpoint = Chosen.id(),
      .m_Born = Chosen.born(),
      .m_PlacedAt = Now,
      .m_HeldTokens = tokensHeld(BeginRequest),
      .m_BesideAtStart = static_cast<double>(Used.m_RunningCount),
      .m_ReadTokens = IsReadKnown ? Unread.m_Prefix + Unread.m_Rest : -1};
  ++Used.m_RunningCount;
  Used.m_HeldTokens += Added.m_HeldTokens;
  Used.m_LastUsedAt = Now;
  m_RunningTurns[Begin.turn()] = Added;
  m_Preferences[Begin.program()] = {.m_Endpoint = Chosen.id(),
                                    .m_LastPlacedAt = Now,
                                    .m_PromptTokens =
                                        BeginRequest.prompt_tokens()};
  return Chosen.id();
}

bool EnginePlacement::mayRun(const messages::fleet::Request &BeginRequest,
                             const fleet::EndpointState &Candidate) const {
  const std::string &Software = BeginRequest.begin().software();
  if (!Software.empty() && Candidate.software() != Software)
    return false;
  const std::uint64_t Memory = BeginRequest.placement().engine_memory_tokens();
  return Memory == 0 ||
         heldOn(Candidate.id()) + tokensHeld(BeginRequest) <= Memory;
}

bool EnginePlacement::hasRoom(const messages::fleet::Request &BeginRequest,
                              const fleet::EndpointDirectory &Endpoints) const {
  if (BeginRequest.placement().engine_memory_tokens() == 0)
    return true;
  const std::string &Software = BeginRequest.begin().software();
  bool AnyUsable = false;
  bool AnyRoom = false;
  Endpoints.forEachUsable(BeginRequest.begin().service(),
                          [&](const fleet::EndpointState &Candidate) {
                            AnyUsable = AnyUsable || Software.empty() ||
                                        Candidate.software() == Software;
                            AnyRoom =
                                AnyRoom || mayRun(BeginRequest, Candidate);
                          });
  return AnyRoom || !AnyUsable;
}

bool EnginePlacement::isTooLarge(const messages::fleet::Request &BeginRequest) {
  const std::uint64_t Memory = BeginRequest.placement().engine_memory_tokens();
  return Memory > 0 && tokensHeld(BeginRequest) > Memory;
}

void EnginePlacement::noteStart(const fleet::EndpointState &Candidate,
                                base::TimePoint Now) {
  Engine &Known = m_Engines[Candidate.id()];
  if (Known.m_Born == Candidate.born())
    return;
  if (Known.m_Born != 0) {
    m_Speed.forget(Candidate.id());
    Known.m_FailedShare = 0;
    Known.m_EarlierStartUntil = Now + m_Options.m_TurnTimeout;
  }
  Known.m_Born = Candidate.born();
  Known.m_LastUsedAt = Now;
}

/// Returns the engines that cache \p Prefix, spread over the data centres. The
/// choice depends on hashes only, so every node makes the same one.
std::set<std::string> EnginePlacement::enginesOfPrefix(
    const std::string &Prefix,
    const std::vector<const fleet::EndpointState *> &Usable) const {
  std::map<std::uint64_t, const fleet::EndpointState *> ByHash;
  for (const fleet::EndpointState *Candidate : Usable)
    ByHash[base::stableHash(Prefix + '/' + Candidate->id())] = Candidate;
  std::set<std::string> Chosen;
  std::map<std::string, std::size_t> ChosenIn; ///< By data centre.
  while (Chosen.size() < m_Options.m_EnginesPerPrefix && !ByHash.empty()) {
    const auto Next =
        std::ranges::min_element(ByHash, {}, [&](const auto &Entry) {
          return std::tuple(ChosenIn[Entry.second->data_centre()], Entry.first);
        });
    Chosen.insert(Next->second->id());
    ++ChosenIn[Next->second->data_centre()];
    ByHash.erase(Next);
  }
  return Chosen;
}

EnginePlacement::UnreadTokens
EnginePlacement::tokensToRead(const Wanted &Turn,
                              const fleet::EndpointState &Candidate) const {
  const auto Prompt = static_cast<double>(Turn.m_Request.prompt_tokens());
  if (Turn.m_Preference && Turn.m_Preference->m_Endpoint == Candidate.id()) {
    const auto Cached = static_cast<double>(Turn.m_Preference->m_PromptTokens);
    return {.m_Rest = Prompt <= 0 ? 0 : std::max(0.0, Prompt - Cached)};
  }
  double Tokens = Prompt;
  if (Prompt <= 0)
    Tokens = Turn.m_Preference ? m_Options.m_HistoryTokens
                               : m_Options.m_PrefixTokens;
  const double Prefix = std::min(Tokens, m_Options.m_PrefixTokens);
  const bool IsCached = Turn.m_PrefixEngines.contains(Candidate.id());
  return {.m_Prefix = IsCached ? 0 : Prefix, .m_Rest = Tokens - Prefix};
}

double EnginePlacement::cost(const Wanted &Turn,
                             const fleet::EndpointState &Candidate,
                             base::TimePoint Now) const {
  const auto It = m_Engines.find(Candidate.id());
  const Engine Current = It == m_Engines.end() ? Engine{} : It->second;
  const double Running = Current.m_RunningCount;
  const double Slots = std::max<std::uint32_t>(Candidate.slots(), 1);
  const double Queued = std::max(0.0, Running + 1 - Slots);
  const double Beside = std::min(Running, Slots - 1);
  const SpeedEstimate Speed = m_Speed.estimate(Candidate.id(), Running, Now);
  const double TurnMs =
      Speed.m_StartMs +
      m_GapsPerTurn * (Speed.m_GapMs + Speed.m_GapGrowthMs * Beside);
  const double DelayOfOthersMs =
      DelayedShare * m_GapsPerTurn * Speed.m_GapGrowthMs * Beside;
  const UnreadTokens Unread = tokensToRead(Turn, Candidate);
  const double PrefillMs = std::min(
      m_Options.m_MaxPrefillMs,
      Speed.m_PrefillMsPerToken *
          (Unread.m_Prefix +
           Unread.m_Rest * (1 + m_Options.m_PrefillDelayShare * Running)));
  double Total = TurnMs * (1 + QueuedShare * Queued) + DelayOfOthersMs +
                 PrefillMs +
                 m_Options.m_FailureMs * Current.m_FailedShare *
                     decayFactor(Current.m_LastObservedAt, Now);
  if (!Turn.m_Connected.contains(Candidate.id()))
    Total += m_Options.m_ConnectMs;
  const std::string &CallerAt = Turn.m_Request.placement().data_centre();
  if (!CallerAt.empty() && CallerAt != Candidate.data_centre())
    Total += m_Options.m_RemoteTurnCostMs;
  if (Candidate.silent() || Now < Current.m_AvoidUntil)
    Total += AvoidedPenaltyMs;
  return Total;
}

double EnginePlacement::decayFactor(base::TimePoint Since,
                                    base::TimePoint Now) const {
  const double AgeSeconds = std::chrono::duration<double>(Now - Since).count();
  const double DecaySeconds =
      std::chrono::duration<double>(m_Options.m_DecayTime).count();
  return std::exp(-std::max(0.0, AgeSeconds) / DecaySeconds);
}

void EnginePlacement::release(const RunningTurn &Ended) {
  Engine &Released = m_Engines[Ended.m_Endpoint];
  Released.m_RunningCount -= std::min(Released.m_RunningCount, 1U);
  Released.m_HeldTokens -= std::min(Released.m_HeldTokens, Ended.m_HeldTokens);
}

bool EnginePlacement::isOfPresentStart(const Engine &Reported,
                                       const RunningTurn *Ended,
                                       base::TimePoint Now) const {
  return Ended ? Ended->m_Born == Reported.m_Born
               : Now >= Reported.m_EarlierStartUntil;
}

void EnginePlacement::finish(const std::string &Turn,
                             const Observation &Observed, base::TimePoint Now) {
  const auto It = m_RunningTurns.find(Turn);
  RunningTurn Ended;
  bool RanWherePlaced = false;
  if (It != m_RunningTurns.end()) {
    Ended = It->second;
    RanWherePlaced = Ended.m_Endpoint == Observed.m_Endpoint;
    release(Ended);
    m_RunningTurns.erase(It);
  }
  if (Observed.m_Endpoint.empty())
    return;
  Engine &Reported = m_Engines[Observed.m_Endpoint];
  const RunningTurn *Known = RanWherePlaced ? &Ended : nullptr;
  if (!isOfPresentStart(Reported, Known, Now))
    return;
  Reported.m_FailedShare = (1 - FailureWeight) * Reported.m_FailedShare +
                           (Observed.m_Failed ? FailureWeight : 0);
  Reported.m_LastObservedAt = Reported.m_LastUsedAt = Now;
  if (!Observed.m_Failed)
    learn(Observed, Known, Now);
}

void EnginePlacement::learn(const Observation &Observed,
                            const RunningTurn *Ended, base::TimePoint Now) {
  const double GapMs = Observed.m_EventGapUs / UsPerMs;
  const double FirstEventMs = Observed.m_FirstEventUs / UsPerMs;
  double Beside = runningOn(Observed.m_Endpoint);
  if (Ended) {
    Beside = (Beside + Ended->m_BesideAtStart) / 2;
    const double Gaps =
        GapMs > 0
            ? (milliseconds(Now - Ended->m_PlacedAt) - FirstEventMs) / GapMs
            : 0;
    if (Gaps >= 1)
      m_GapsPerTurn +=
          GapsWeight * (std::min(Gaps, MaxGapsPerTurn) - m_GapsPerTurn);
  }
  m_Speed.observe(Observed.m_Endpoint,
                  {.m_GapMs = GapMs,
                   .m_FirstEventMs = FirstEventMs,
                   .m_Beside = Beside,
                   .m_ReadTokens = Ended ? Ended->m_ReadTokens : -1},
                  Now);
}

std::uint32_t EnginePlacement::comparableGapUs(const std::string &Endpoint,
                                               std::uint32_t GapUs) const {
  return static_cast<std::uint32_t>(GapUs / m_Speed.nature(Endpoint));
}

void EnginePlacement::avoid(const std::string &Endpoint, base::TimePoint Now) {
  Engine &Avoided = m_Engines[Endpoint];
  Avoided.m_AvoidUntil = Now + m_Options.m_AvoidTime;
  Avoided.m_LastUsedAt = Now;
}

void EnginePlacement::expire(base::TimePoint Now) {
  std::erase_if(m_RunningTurns, [&](const auto &Entry) {
    if (Now - Entry.second.m_PlacedAt < m_Options.m_TurnTimeout)
      return false;
    release(Entry.second);
    return true;
  });
  std::erase_if(m_Preferences, [&](const auto &Entry) {
    return Now - Entry.second.m_LastPlacedAt > m_Options.m_AffinityTime;
  });
  std::erase_if(m_Engines, [&](const auto &Entry) {
    if (Entry.second.m_RunningCount > 0 ||
        Now - Entry.second.m_LastUsedAt < m_Options.m_EngineRetention)
      return false;
    m_Speed.forget(Entry.first);
    return true;
  });
}

std::uint32_t EnginePlacement::runningOn(const std::string &Endpoint) const {
  const auto It = m_Engines.find(Endpoint);
  return It == m_Engines.end() ? 0 : It->second.m_RunningCount;
}

std::uint64_t EnginePlacement::heldOn(const std::string &Endpoint) const {
  const auto It = m_Engines.find(Endpoint);
  return It == m_Engines.end() ? 0 : It->second.m_HeldTokens;
}

std::vector<std::string> EnginePlacement::knownEngines() const {
  std::vector<std::string> Ids;
  for (const auto &[Id, Known] : m_Engines)
    Ids.push_back(Id);
  return Ids;
}

std::string EnginePlacement::describeEngines(std::size_t Max,
                                             base::TimePoint Now) const {
  std::string Text;
  std::size_t Count = 0;
  for (const std::string &Id : knownEngines()) {
    const SpeedEstimate Speed = m_Speed.estimate(Id, 0, Now);
    if (Speed.m_Samples <= 0 || ++Count > Max)
      continue;
    Text += (Text.empty() ? "" : " ") + Id + ":" +
            wholeMicroseconds(Speed.m_GapMs) + ":" +
            wholeMicroseconds(Speed.m_StartMs) + ":" +
            std::to_string(runningOn(Id)) + (m_Speed.isIll(Id) ? ":ill" : "");
  }
  return Text;
}

std::unique_ptr<TurnPlacer>
makeTurnPlacer(const EnginePlacementOptions &Options) {
  if (Options.m_LearnsSpeeds)
    return std::make_unique<EnginePlacement>(Options);
  return std::make_unique<PacePlacement>();
}

} // namespace psp::turns
