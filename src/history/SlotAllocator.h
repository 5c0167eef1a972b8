/// \file
/// Allocates the engine slots of one service to the leaders of all groups.

#ifndef PSP_HISTORY_SLOTALLOCATOR_H
#define PSP_HISTORY_SLOTALLOCATOR_H

#include "fleet/EndpointDirectory.h"
#include "history/TurnPlaces.h"
#include "turns/EnginePlacement.h"
#include "turns/TurnAdmission.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace psp::history {

/// The reply to a request for a slot, and the turn that it is for.
struct SlotResponse {
  turns::TurnAdmission::PendingTurn m_Turn;
  messages::fleet::Reply m_Reply;
};

/// Load pattern: the programs of many groups share the engines of a service.
/// Each group sees only a part of the turns, so one allocator decides for all
/// of them which turns begin and on which engine. Its state is lost with the
/// leader that holds it, and a new one rebuilds it within the duration of a
/// turn. Decides without I/O.
class SlotAllocator {
public:
  using PendingTurn = turns::TurnAdmission::PendingTurn;

  SlotAllocator(std::string Service, turns::TurnAdmissionOptions Admission,
                const fleet::EndpointDirectory &Endpoints,
                TurnPlacesOptions Places = {},
                turns::EnginePlacementOptions Placement = {})
      : m_Service(std::move(Service)), m_Admission(std::move(Admission)),
        m_Placement(turns::makeTurnPlacer(Placement)), m_Endpoints(Endpoints),
        m_Places(Places) {}

  /// Handles a request for a slot. takeResponses() returns the response, now or
  /// later.
  void requestSlot(const PendingTurn &Turn, base::TimePoint Now);
  /// Frees the slot of an ended turn and records how its engine performed.
  void reportTurn(const messages::fleet::TurnReport &Report,
                  base::TimePoint Now);
  /// Removes and returns the responses that are ready.
  std::vector<SlotResponse> takeResponses(base::TimePoint Now);
  /// Removes and returns the waiting turns, when this node is no longer
  /// responsible for them.
  std::vector<PendingTurn> takeAll() { return m_Admission.takeAll(); }
  void expire(base::TimePoint Now) {
    m_Placement->expire(Now);
    m_Places.expire(Now);
  }

  std::size_t waiting() const { return m_Admission.waiting(); }
  turns::TurnAdmission::Load load() const;
  double newProgramShare() const { return m_Admission.newProgramShare(); }
  /// What is known of the engines' speeds, in one line of text: identifier,
  /// time of a step and of a start in microseconds, running turns, "ill".
  /// Contains at most \p Most engines.
  std::string describeEngines(std::size_t Most, base::TimePoint Now) const;

private:
  /// What \p Turn sees as the load: full if no engine has room for it.
  turns::TurnAdmission::Load loadFor(const PendingTurn &Turn) const;
  bool lacksVersion(const std::string &Software) const;
  static SlotResponse respondWithoutEngine(PendingTurn Turn);
  static SlotResponse respond(PendingTurn Turn,
                              messages::fleet::ReplyKind Kind);
  SlotResponse grant(PendingTurn Turn, base::TimePoint Now);
  /// Grants the turn, or returns it to the waiting ones if no engine has room.
  void grantOrWait(PendingTurn Turn, base::TimePoint Now);
  SlotResponse reject(PendingTurn Turn, base::Duration RetryAfter);

  std::string m_Service;
  turns::TurnAdmission m_Admission;
  std::unique_ptr<turns::TurnPlacer> m_Placement;
  const fleet::EndpointDirectory &m_Endpoints;
  TurnPlaces m_Places;
  base::TimePoint m_Now; ///< Of the last event.
  std::vector<SlotResponse> m_Responses;
};

} // namespace psp::history

#endif
