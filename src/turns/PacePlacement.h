/// \file
/// Places turns by the load of engines and by the pace that was seen lately.

#ifndef PSP_TURNS_PACEPLACEMENT_H
#define PSP_TURNS_PACEPLACEMENT_H

#include "base/Time.h"
#include "fleet/EndpointDirectory.h"
#include "turns/TurnPlacer.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace psp::turns {

struct PacePlacementOptions {
  /// Duration of a typical turn on an idle engine, in milliseconds: half a
  /// dozen events of a dozen tokens each.
  double m_IdleTurnMs = 180;
  /// Delay that each turn already running on the engine adds, in milliseconds:
  /// the engine prefills a prompt in chunks, interleaved with the token
  /// generation of other turns.
  double m_MsPerRunningTurn = 6;
  /// Cost of prefilling the earlier turns of a program again, in milliseconds,
  /// if the length of the prompt is unknown: a chain of two thousand tokens.
  double m_HistoryPrefillMs = 25;
  /// Speed at which an engine prefills a prompt, in tokens per millisecond.
  double m_PrefillTokensPerMs = 80;
  /// Share of that time by which each turn running on the engine is delayed.
  double m_PrefillDelayShare = 0.5;
  /// Maximum cost of prefilling a prompt, in milliseconds. Below m_FailureMs,
  /// so that long programs leave an engine that fails or can't be reached.
  double m_MaxPrefillMs = 400;
  /// Cost of prefilling a shared prompt prefix, in milliseconds: 512 tokens.
  double m_PrefixPrefillMs = 6;
  /// Number of engines over which programs with the same prompt prefix are
  /// spread.
  std::size_t m_EnginesPerPrefix = 3;
  /// Cost of opening a connection to the engine, in milliseconds: a round trip
  /// and a handshake, during which the engine's slot is occupied.
  double m_ConnectMs = 12;
  /// Cost of a failed turn to its program, in milliseconds: the caller's retry
  /// delay and the repeated turn. Weighted with the engine's failure rate.
  double m_FailureMs = 500;
  /// Time constant with which observations of slowness and failures decay.
  base::Duration m_DecayTime = base::seconds(4);
  /// A turn that nothing was reported about for this long counts as ended.
  base::Duration m_TurnTimeout = base::seconds(6);
  /// An engine that an entry instance can't reach is avoided for this long. If
  /// it is lost or cut off, this bridges the time until its missing
  /// announcements are noticed.
  base::Duration m_AvoidTime = base::milliseconds(1500);
  /// A program keeps its preference for an engine for this long.
  base::Duration m_AffinityTime = base::seconds(20);
};

/// Load pattern: engines batch, so each turn slows down the others on its
/// engine, and some engines become slow or fail. The earlier turns of a program
/// are cached on the engine that executed it last. Under load, the cache of an
/// engine is replaced within seconds, and a prompt prefix that is spread over
/// all engines would be prefilled again and again. Each entry instance keeps a
/// few connections open, so among engines of similar cost one with an open
/// connection is preferred.
class PacePlacement : public TurnPlacer {
public:
  explicit PacePlacement(PacePlacementOptions Options = {})
      : m_Options(Options) {}

  std::string place(const messages::fleet::Request &BeginRequest,
                    const fleet::EndpointDirectory &Endpoints,
                    base::TimePoint Now,
                    const fleet::PlacementRule *Rule) override;
  /// Knows nothing of memory.
  bool hasRoom(const messages::fleet::Request & /*BeginRequest*/,
               const fleet::EndpointDirectory & /*Endpoints*/) const override {
    return true;
  }
  void finish(const std::string &Turn, const Observation &Observed,
              base::TimePoint Now) override;
  void avoid(const std::string &Endpoint, base::TimePoint Now) override;
  void expire(base::TimePoint Now) override;
  bool isPlaced(const std::string &Turn) const override {
    return m_RunningTurns.contains(Turn);
  }
  std::uint32_t runningOn(const std::string &Endpoint) const override;
  /// Engines are taken to be equal in the long run.
  std::uint32_t comparableGapUs(const std::string & /*Endpoint*/,
                                std::uint32_t GapUs) const override {
    return GapUs;
  }
  std::string describeEngines(std::size_t /*Max*/,
                              base::TimePoint /*Now*/) const override {
    return {};
  }

private:
  struct Engine {
    std::uint32_t m_RunningCount = 0;
    double m_EventGapUs = 0;  ///< Smoothed; zero: unknown.
    double m_FailedShare = 0; ///< Smoothed share of failed turns.
    base::TimePoint m_LastObservedAt;
    base::TimePoint m_AvoidUntil;
  };
  struct RunningTurn {
    std::string m_Endpoint;
    base::TimePoint m_PlacedAt;
  };
  struct Preference {
    std::string m_Endpoint;
    base::TimePoint m_LastPlacedAt;
  };

  /// \p MedianGapUs is the median event gap of all engines, zero if unknown.
  double cost(const fleet::EndpointState &Candidate, double MedianGapUs,
              base::TimePoint Now) const;
  std::set<std::string> enginesOfPrefix(
      const std::string &Prefix,
      const std::vector<const fleet::EndpointState *> &Usable) const;
  /// Cost of prefilling the prompt of \p Begin on \p Candidate, with the delay
  /// of the turns that run there.
  double prefillCost(const messages::fleet::Request &Begin,
                     const fleet::EndpointState &Candidate) const;
  double decayFactor(base::TimePoint Since, base::TimePoint Now) const;
  double medianEventGapUs() const;

  PacePlacementOptions m_Options;
  std::map<std::string, Engine> m_Engines;
  std::map<std::string, RunningTurn> m_RunningTurns; ///< By turn.
  std::map<std::string, Preference> m_Preferences;   ///< By program.
  /// Rotates over engines of equal cost.
  std::uint64_t m_TieBreakCounter = 0;
};

} // namespace psp::turns

#endif
