/// \file
/// Chooses the engine that executes a turn. Used by the slot allocator, which
/// receives the requests and reports of all turns in the deployment.

#ifndef PSP_TURNS_ENGINEPLACEMENT_H
#define PSP_TURNS_ENGINEPLACEMENT_H

#include "base/Time.h"
#include "fleet/EndpointDirectory.h"
#include "turns/EngineSpeed.h"
#include "turns/TurnPlacer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace psp::turns {

struct EnginePlacementOptions {
  /// Whether turns are placed by learned speeds and by memory; otherwise by
  /// load and by the pace that was seen lately (PacePlacement).
  bool m_LearnsSpeeds = true;
  EngineSpeedOptions m_Speed = {};
  /// Gaps between the events of a turn, assumed until the first reports.
  double m_InitialGaps = 6;
  /// Length of the earlier turns of a program if the length of its prompt is
  /// unknown, in tokens.
  double m_HistoryTokens = 2000;
  /// Length of a prompt's first part, which programs share, in tokens.
  double m_PrefixTokens = 512;
  /// Share of the time to prefill a prompt by which each turn running on the
  /// engine is delayed.
  double m_PrefillDelayShare = 0.5;
  /// Maximum cost of prefilling a prompt, in milliseconds. Below m_FailureMs,
  /// so that long programs leave an engine that fails or can't be reached.
  double m_MaxPrefillMs = 400;
  /// Number of engines over which programs with the same prompt prefix are
  /// spread.
  std::size_t m_EnginesPerPrefix = 3;
  /// Cost of opening a connection to the engine, in milliseconds: a round trip
  /// and a handshake, during which the engine's slot is occupied.
  double m_ConnectMs = 12;
  /// Cost of an engine in another data centre than the entry instance, in
  /// milliseconds: the time that a program may lose to keep its prompt and its
  /// stream within the data centre.
  double m_RemoteTurnCostMs = DefaultRemoteTurnCostMs;
  /// Cost of a failed turn to its program, in milliseconds: the caller's retry
  /// delay and the repeated turn. Weighted with the engine's failure rate.
  double m_FailureMs = 500;
  /// Time constant with which observations of failures decay.
  base::Duration m_DecayTime = base::seconds(4);
  /// A turn that nothing was reported about for this long counts as ended.
  base::Duration m_TurnTimeout = base::seconds(6);
  /// An engine that an entry instance can't reach is avoided for this long. If
  /// it is lost or cut off, this bridges the time until its missing
  /// announcements are noticed.
  base::Duration m_AvoidTime = base::milliseconds(1500);
  /// A program keeps its preference for an engine for this long.
  base::Duration m_AffinityTime = base::seconds(20);
  /// What is known of an engine is deleted this long after its last turn.
  base::Duration m_EngineRetention = base::seconds(300);

  static constexpr double DefaultRemoteTurnCostMs = 25;
};

/// Load pattern: engines batch, so each turn slows down the others on its
/// engine; engines differ in speed, and some become slow or fail. The earlier
/// turns of a program are cached on the engine that executed it last. Under
/// load, the cache of an engine is replaced within seconds, and a prompt prefix
/// that is spread over all engines would be prefilled again and again. Each
/// entry instance keeps a few connections open, so among engines of similar
/// cost one with an open connection is preferred. Bytes between data centres
/// have a price, so a turn stays where its caller is until that costs its
/// program more. The memory of an engine may be full before its slots.
class EnginePlacement : public TurnPlacer {
public:
  explicit EnginePlacement(EnginePlacementOptions Options = {})
      : m_Options(Options), m_Speed(Options.m_Speed),
        m_GapsPerTurn(Options.m_InitialGaps) {}

  std::string place(const messages::fleet::Request &BeginRequest,
                    const fleet::EndpointDirectory &Endpoints,
                    base::TimePoint Now,
                    const fleet::PlacementRule *Rule = nullptr) override;

  bool hasRoom(const messages::fleet::Request &BeginRequest,
               const fleet::EndpointDirectory &Endpoints) const override;
  /// Whether the turn is larger than the memory of the service's engines.
  static bool isTooLarge(const messages::fleet::Request &BeginRequest);

  void finish(const std::string &Turn, const Observation &Observed,
              base::TimePoint Now) override;
  void avoid(const std::string &Endpoint, base::TimePoint Now) override;
  void expire(base::TimePoint Now) override;

  bool isPlaced(const std::string &Turn) const override {
    return m_RunningTurns.contains(Turn);
  }
  std::uint32_t runningOn(const std::string &Endpoint) const override;
  std::size_t running() const { return m_RunningTurns.size(); }
  /// Tokens that the turns running on \p Endpoint may hold there.
  std::uint64_t heldOn(const std::string &Endpoint) const;
  std::uint32_t comparableGapUs(const std::string &Endpoint,
                                std::uint32_t GapUs) const override;
  std::string describeEngines(std::size_t Max,
                              base::TimePoint Now) const override;
  const EngineSpeed &speed() const { return m_Speed; }
  /// Identifiers of the engines that something is known of.
  std::vector<std::string> knownEngines() const;

private:
  struct Engine {
    std::uint32_t m_RunningCount = 0;
    std::uint64_t m_HeldTokens = 0; ///< By the running turns, at most.
    double m_FailedShare = 0;       ///< Smoothed share of failed turns.
    std::uint64_t m_Born = 0;       ///< Of the present start; zero: unknown.
    base::TimePoint m_LastObservedAt;
    base::TimePoint m_LastUsedAt; ///< Placed on or reported.
    base::TimePoint m_AvoidUntil;
    /// Until then, reports of turns that weren't placed here may concern an
    /// earlier start.
    base::TimePoint m_EarlierStartUntil;
  };
  struct RunningTurn {
    std::string m_Endpoint;
    std::uint64_t m_Born = 0; ///< Of the engine.
    base::TimePoint m_PlacedAt;
    std::uint64_t m_HeldTokens = 0;
    double m_BesideAtStart = 0; ///< Turns that ran there already.
    double m_ReadTokens = -1;   ///< That the engine has to read; negative:
                                ///< unknown.
  };
  struct Preference {
    std::string m_Endpoint;
    base::TimePoint m_LastPlacedAt;
    std::uint64_t m_PromptTokens = 0; ///< Of the last turn there.
  };

  /// What the engines of one decision have in common.
  struct Wanted {
    const messages::fleet::Request &m_Request;
    const Preference *m_Preference = nullptr; ///< Null: none.
    std::set<std::string> m_PrefixEngines;
    std::set<std::string> m_Connected;
  };

  /// Whether \p Candidate may execute the turn at all.
  bool mayRun(const messages::fleet::Request &BeginRequest,
              const fleet::EndpointState &Candidate) const;
  /// Forgets what is known of an earlier start.
  void noteStart(const fleet::EndpointState &Candidate, base::TimePoint Now);
  /// What the turn and those beside it lose on \p Candidate, in milliseconds.
  double cost(const Wanted &Turn, const fleet::EndpointState &Candidate,
              base::TimePoint Now) const;
  /// Tokens of the prompt that an engine has to read.
  struct UnreadTokens {
    double m_Prefix = 0; ///< Of the part that programs share.
    double m_Rest = 0;
  };
  UnreadTokens tokensToRead(const Wanted &Turn,
                            const fleet::EndpointState &Candidate) const;
  std::set<std::string> enginesOfPrefix(
      const std::string &Prefix,
      const std::vector<const fleet::EndpointState *> &Usable) const;
  void release(const RunningTurn &Ended);
  /// Whether a report concerns the present start of its engine. \p Ended is
  /// null for a turn that another node placed.
  bool isOfPresentStart(const Engine &Reported, const RunningTurn *Ended,
                        base::TimePoint Now) const;
  void learn(const Observation &Observed, const RunningTurn *Ended,
             base::TimePoint Now);
  double decayFactor(base::TimePoint Since, base::TimePoint Now) const;

  EnginePlacementOptions m_Options;
  EngineSpeed m_Speed;
  double m_GapsPerTurn; ///< Smoothed.
  std::map<std::string, Engine> m_Engines;
  std::map<std::string, RunningTurn> m_RunningTurns; ///< By turn.
  std::map<std::string, Preference> m_Preferences;   ///< By program.
  /// Rotates over engines of equal cost.
  std::uint64_t m_TieBreakCounter = 0;
};

/// The way of placing turns that \p Options ask for.
std::unique_ptr<TurnPlacer>
makeTurnPlacer(const EnginePlacementOptions &Options);

} // namespace psp::turns

#endif
