/// \file
/// Chooses the engine that executes a turn.

#ifndef PSP_TURNS_TURNPLACER_H
#define PSP_TURNS_TURNPLACER_H

#include "base/Time.h"
#include "fleet/EndpointDirectory.h"
#include "fleet/PlacementRule.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace psp::turns {

/// Used by the slot allocator, which receives the requests and reports of all
/// turns of a service.
class TurnPlacer {
public:
  struct Observation {
    std::string m_Endpoint;
    /// Mean time between events, in microseconds; zero: unknown.
    std::uint32_t m_EventGapUs = 0;
    /// Time from the request to the first event; zero: unknown.
    std::uint32_t m_FirstEventUs = 0;
    bool m_Failed = false;
  };

  virtual ~TurnPlacer() = default;

  /// Assigns the turn that \p BeginRequest begins to the engine with the lowest
  /// cost and returns the engine's identifier, empty if no engine is usable. If
  /// the turn names a software version, other engines aren't, and neither are
  /// those without room for it. A turn that is placed already keeps its engine.
  /// \p Rule: which engines it may go to; null: any.
  virtual std::string place(const messages::fleet::Request &BeginRequest,
                            const fleet::EndpointDirectory &Endpoints,
                            base::TimePoint Now,
                            const fleet::PlacementRule *Rule) = 0;
  /// Whether an engine has room for the turn in its memory, or none is usable.
  virtual bool hasRoom(const messages::fleet::Request &BeginRequest,
                       const fleet::EndpointDirectory &Endpoints) const = 0;
  /// Removes the ended turn and records how its engine performed.
  virtual void finish(const std::string &Turn, const Observation &Observed,
                      base::TimePoint Now) = 0;
  /// Avoids \p Endpoint for some time, since an entry instance can't reach it.
  virtual void avoid(const std::string &Endpoint, base::TimePoint Now) = 0;
  /// Removes turns that nothing was reported about and outdated preferences.
  virtual void expire(base::TimePoint Now) = 0;
  virtual bool isPlaced(const std::string &Turn) const = 0;
  virtual std::uint32_t runningOn(const std::string &Endpoint) const = 0;
  /// The gap that an engine of the service's usual speed would have instead of
  /// \p GapUs on \p Endpoint.
  virtual std::uint32_t comparableGapUs(const std::string &Endpoint,
                                        std::uint32_t GapUs) const = 0;
  /// What is known of up to \p Max engines, for the log; empty if nothing.
  virtual std::string describeEngines(std::size_t Max,
                                      base::TimePoint Now) const = 0;
};

} // namespace psp::turns

#endif
