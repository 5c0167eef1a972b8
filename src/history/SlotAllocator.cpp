#include "history/SlotAllocator.h"

#include <algorithm>
#include <utility>

namespace psp::history {

namespace {

/// Time after which the caller of a turn that no engine can hold may retry: a
/// later configuration may name larger engines.
constexpr base::Duration TooLargeRetryTime = base::seconds(1);

} // namespace

void SlotAllocator::requestSlot(const PendingTurn &Turn, base::TimePoint Now) {
  m_Now = Now;
  const auto &Begin = Turn.m_Request.begin();
  // A repeated request gets the slot that its turn has already.
  const bool Placed = m_Placement->isPlaced(Begin.turn());
  if (Placed) {
    m_Responses.push_back(grant(Turn, Now));
    return;
  }
  if (m_Admission.coalesce(Turn))
    return;
  if (lacksVersion(Begin.software())) {
    m_Responses.push_back(respondWithoutEngine(Turn));
    return;
  }
  if (turns::EnginePlacement::isTooLarge(Turn.m_Request)) {
    m_Responses.push_back(reject(Turn, TooLargeRetryTime));
    return;
  }
  if (m_Admission.decide(Turn, loadFor(Turn)) ==
      turns::TurnAdmission::Decision::Begin)
    m_Responses.push_back(grant(Turn, Now));
}

turns::TurnAdmission::Load
SlotAllocator::loadFor(const PendingTurn &Turn) const {
  turns::TurnAdmission::Load Current = load();
  if (!m_Placement->hasRoom(Turn.m_Request, m_Endpoints))
    Current.m_Running = std::max(Current.m_Running, Current.m_Slots);
  return Current;
}

void SlotAllocator::grantOrWait(PendingTurn Turn, base::TimePoint Now) {
  if (!m_Placement->hasRoom(Turn.m_Request, m_Endpoints) &&
      m_Admission.decide(Turn, loadFor(Turn)) ==
          turns::TurnAdmission::Decision::Wait)
    return;
  m_Responses.push_back(grant(std::move(Turn), Now));
}

void SlotAllocator::reportTurn(const messages::fleet::TurnReport &Report,
                               base::TimePoint Now) {
  m_Now = Now;
  // It was never sent, and may still wait for a slot here.
  if (Report.endpoint().empty())
    m_Admission.cancel(Report.turn());
  for (const std::string &Unreachable : Report.silent())
    m_Placement->avoid(Unreachable, Now);
  const turns::TurnAdmission::Load Current = load();
  m_Placement->finish(Report.turn(),
                      {.m_Endpoint = Report.endpoint(),
                       .m_EventGapUs = Report.event_gap_us(),
                       .m_FirstEventUs = Report.first_event_us(),
                       .m_Failed = Report.failed()},
                      Now);
  // An engine that is slow by nature isn't overloaded.
  m_Admission.observeEventGap(
      m_Placement->comparableGapUs(Report.endpoint(), Report.event_gap_us()),
      Current);
}

std::vector<SlotResponse> SlotAllocator::takeResponses(base::TimePoint Now) {
  m_Now = Now;
  if (m_Admission.waiting() > 0) {
    const turns::TurnAdmission::Load Current = load();
    for (PendingTurn &Turn : m_Admission.takeReady(Current))
      grantOrWait(std::move(Turn), Now);
    for (PendingTurn &Turn : m_Admission.takeRejected(Current.m_Slots, Now)) {
      const base::Duration RetryAfter = m_Admission.retryAfter(Turn);
      m_Responses.push_back(reject(std::move(Turn), RetryAfter));
    }
    for (PendingTurn &Turn : m_Admission.takeOverdue(Now))
      m_Responses.push_back(reject(std::move(Turn), base::Duration(0)));
  }
  return std::exchange(m_Responses, {});
}

turns::TurnAdmission::Load SlotAllocator::load() const {
  turns::TurnAdmission::Load Sum;
  m_Endpoints.forEachUsable(m_Service, [&](const fleet::EndpointState &Engine) {
    const std::size_t Running = m_Placement->runningOn(Engine.id());
    Sum.m_Slots += m_Places.slotsOf(Engine, Running, m_Endpoints, m_Now);
    Sum.m_Running += Running;
  });
  return Sum;
}

/// Whether engines of the service are usable, but none of the version that a
/// stream has to go on at.
bool SlotAllocator::lacksVersion(const std::string &Software) const {
  if (Software.empty())
    return false;
  bool AnyEngine = false;
  bool AnyOfVersion = false;
  m_Endpoints.forEachUsable(m_Service, [&](const fleet::EndpointState &Engine) {
    AnyEngine = true;
    AnyOfVersion = AnyOfVersion || Engine.software() == Software;
  });
  return AnyEngine && !AnyOfVersion;
}

SlotResponse SlotAllocator::respond(PendingTurn Turn,
                                    messages::fleet::ReplyKind Kind) {
  SlotResponse Response{.m_Turn = std::move(Turn), .m_Reply = {}};
  Response.m_Reply.set_id(Response.m_Turn.m_Request.id());
  Response.m_Reply.set_kind(Kind);
  return Response;
}

SlotResponse SlotAllocator::respondWithoutEngine(PendingTurn Turn) {
  SlotResponse Response =
      respond(std::move(Turn), messages::fleet::REPLY_NO_ENGINE);
  Response.m_Reply.set_software(Response.m_Turn.m_Request.begin().software());
  return Response;
}

SlotResponse SlotAllocator::grant(PendingTurn Turn, base::TimePoint Now) {
  const std::string Software = Turn.m_Request.begin().software();
  const bool IsRepeated = m_Placement->isPlaced(Turn.m_Request.begin().turn());
  const TurnPlaces::Rule Rule =
      m_Places.ruleFor(Turn.m_Request.placement(), m_Endpoints, Now);
  const std::string Engine =
      m_Placement->place(Turn.m_Request, m_Endpoints, Now, &Rule);
  // The last engine of the version may have left while the turn waited.
  if (Engine.empty() && lacksVersion(Software))
    return respondWithoutEngine(std::move(Turn));
  if (Engine.empty() && Rule.hasExcluded())
    return reject(std::move(Turn), m_Admission.retryAfter());
  if (!IsRepeated)
    m_Places.onGranted(Engine, m_Endpoints, Now);
  SlotResponse Response = respond(std::move(Turn), messages::fleet::REPLY_OK);
  Response.m_Reply.set_endpoint(Engine);
  const fleet::EndpointState *State = m_Endpoints.find(Engine);
  Response.m_Reply.set_software(State ? State->software() : Software);
  Response.m_Reply.set_engine_born(State ? State->born() : 0);
  return Response;
}

std::string SlotAllocator::describeEngines(std::size_t Most,
                                           base::TimePoint Now) const {
  return m_Placement->describeEngines(Most, Now);
}

SlotResponse SlotAllocator::reject(PendingTurn Turn,
                                   base::Duration RetryAfter) {
  SlotResponse Response = respond(std::move(Turn), messages::fleet::REPLY_BUSY);
  Response.m_Reply.set_wait_ms(
      static_cast<std::uint32_t>(base::wholeMilliseconds(RetryAfter)));
  return Response;
}

} // namespace psp::history
