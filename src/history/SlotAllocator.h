/// \file
/// Grants places on the engines of one service, to the leaders of all groups.

#ifndef PSP_HISTORY_SLOTALLOCATOR_H
#define PSP_HISTORY_SLOTALLOCATOR_H

#include "fleet/EndpointDirectory.h"
#include "turns/EnginePlacement.h"
#include "turns/TurnAdmission.h"

#include <string>
#include <utility>
#include <vector>

namespace psp::history {

/// A request for a place and its answer.
struct SlotResponse {
  turns::TurnAdmission::Offer m_Offer;
  messages::fleet::Reply m_Reply;
};

/// Load pattern: the programs of many groups share the engines of a service. A
/// group sees a part of the turns only, so one place decides for all of them
/// which turns begin, and where. What it knows is lost with its leader, and
/// learned anew within a turn's time. Decides without I/O.
class SlotAllocator {
public:
  using Offer = turns::TurnAdmission::Offer;

  SlotAllocator(std::string Service, turns::TurnAdmissionOptions Admission,
                const fleet::EndpointDirectory &Endpoints)
      : m_Service(std::move(Service)), m_Admission(std::move(Admission)),
        m_Endpoints(Endpoints) {}

  /// Answers now, or later from takeReady().
  void offer(const Offer &Asked, base::TimePoint Now);
  /// Takes what became of a turn into account.
  void report(const messages::fleet::TurnReport &News, base::TimePoint Now);
  /// The answers to offers that can be answered now.
  std::vector<SlotResponse> takeReady(base::TimePoint Now);
  /// The offers that wait; this node doesn't decide any more.
  std::vector<Offer> takeAll() { return m_Admission.takeAll(); }
  void expire(base::TimePoint Now) { m_Placement.expire(Now); }

  std::size_t waiting() const { return m_Admission.waiting(); }
  turns::TurnAdmission::Load load() const;
  double newShare() const { return m_Admission.newShare(); }

private:
  SlotResponse grant(Offer Asked, base::TimePoint Now);
  SlotResponse refuse(Offer Asked, base::Duration RetryAfter);

  std::string m_Service;
  turns::TurnAdmission m_Admission;
  turns::EnginePlacement m_Placement;
  const fleet::EndpointDirectory &m_Endpoints;
  std::vector<SlotResponse> m_Answers;
};

} // namespace psp::history

#endif
