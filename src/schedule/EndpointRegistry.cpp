#include "schedule/EndpointRegistry.h"

#include "base/Error.h"

#include <algorithm>
#include <utility>

namespace psp::schedule {
namespace {

/// Longest lease that is granted, whatever the endpoint asks for.
constexpr base::Duration MaxLease = base::seconds(10);

/// How long an endpoint that has gone is remembered, so that a late
/// announcement of its old incarnation is recognised.
constexpr base::Duration GoneMemory = base::seconds(600);

void requireFields(const messages::EndpointState &State) {
  if (State.endpoint().empty())
    throw base::UserError(base::ErrorKind::BadRequest,
                          "expected the endpoint's name, found none");
  if (State.leaving())
    return;
  if (State.address().empty() || State.services_size() == 0)
    throw base::UserError(base::ErrorKind::BadRequest,
                          "expected an address and at least one service of "
                          "endpoint " +
                              State.endpoint() + ", found none");
}

Endpoint fromState(const messages::EndpointState &State, base::TimePoint Time) {
  const std::uint64_t LimitMs = MaxLease / base::milliseconds(1);
  const base::Duration Lease = base::milliseconds(
      std::min<std::uint64_t>(State.remaining_ms(), LimitMs));
  return {.m_Id = base::EndpointId(State.endpoint()),
          .m_DataCentre = base::DataCentreId(State.data_centre()),
          .m_Address = State.address(),
          .m_Services = {State.services().begin(), State.services().end()},
          .m_Incarnation = State.incarnation(),
          .m_Sequence = State.sequence(),
          .m_LeaseEnd = Time + Lease,
          .m_ReportedAt = Time,
          .m_Leaving = State.leaving(),
          .m_ChecksFencing = State.checks_fencing(),
          .m_Slots = State.slots(),
          .m_Running = State.running(),
          .m_Waiting = State.waiting()};
}

bool isNewer(const Endpoint &Next, const Endpoint &Last) {
  return std::pair(Next.m_Incarnation, Next.m_Sequence) >
         std::pair(Last.m_Incarnation, Last.m_Sequence);
}

bool sameOffer(const Endpoint &Left, const Endpoint &Right) {
  return Left.m_Address == Right.m_Address &&
         Left.m_Services == Right.m_Services &&
         Left.m_DataCentre == Right.m_DataCentre &&
         Left.m_Slots == Right.m_Slots &&
         Left.m_ChecksFencing == Right.m_ChecksFencing &&
         Left.m_Incarnation == Right.m_Incarnation;
}

} // namespace

bool Endpoint::offers(const std::string &Service) const {
  return std::find(m_Services.begin(), m_Services.end(), Service) !=
         m_Services.end();
}

AnnounceResult EndpointRegistry::announce(const messages::EndpointState &State,
                                          base::TimePoint Time) {
  requireFields(State);
  Endpoint Next = fromState(State, Time);
  m_NextCheck = std::min(m_NextCheck, Next.m_LeaseEnd);
  const auto Known = m_Endpoints.find(Next.m_Id);
  if (Known == m_Endpoints.end()) {
    const bool Leaving = Next.m_Leaving;
    m_Endpoints.emplace(Next.m_Id,
                        Entry{.m_Endpoint = Next, .m_Expired = Leaving});
    return Leaving ? AnnounceResult::Left : AnnounceResult::Joined;
  }
  Entry &Last = Known->second;
  const Endpoint &Old = Last.m_Endpoint;
  if (!isNewer(Next, Old))
    return AnnounceResult::Ignored;
  const bool SameIncarnation = Next.m_Incarnation == Old.m_Incarnation;
  if (Old.m_Leaving && SameIncarnation)
    return AnnounceResult::Ignored;
  const bool WasGone = Last.m_Expired || Old.m_Leaving;
  const bool Same = sameOffer(Old, Next);
  if (Next.m_Leaving && SameIncarnation) {
    // A leave message carries no offer; the old one is kept for dumps.
    Last.m_Endpoint.m_Leaving = true;
    Last.m_Endpoint.m_Sequence = Next.m_Sequence;
    Last.m_Expired = true;
    return AnnounceResult::Left;
  }
  Last.m_Endpoint = std::move(Next);
  Last.m_Expired = Last.m_Endpoint.m_Leaving;
  if (Last.m_Endpoint.m_Leaving)
    return AnnounceResult::Left;
  if (WasGone)
    return AnnounceResult::Joined;
  return Same ? AnnounceResult::Renewed : AnnounceResult::Changed;
}

std::vector<base::EndpointId> EndpointRegistry::expire(base::TimePoint Time) {
  std::vector<base::EndpointId> Result;
  if (Time < m_NextCheck)
    return Result;
  m_NextCheck = Time + MaxLease;
  for (auto &[Id, Each] : m_Endpoints) {
    if (Each.m_Expired)
      continue;
    if (Time < Each.m_Endpoint.m_LeaseEnd) {
      m_NextCheck = std::min(m_NextCheck, Each.m_Endpoint.m_LeaseEnd);
      continue;
    }
    Each.m_Expired = true;
    Result.push_back(Id);
  }
  std::sort(Result.begin(), Result.end());
  forgetOld(Time);
  return Result;
}

const Endpoint *EndpointRegistry::find(const base::EndpointId &Id) const {
  const auto Known = m_Endpoints.find(Id);
  return Known == m_Endpoints.end() ? nullptr : &Known->second.m_Endpoint;
}

std::vector<Endpoint>
EndpointRegistry::usableEndpoints(base::TimePoint Time) const {
  std::vector<Endpoint> Result;
  for (const auto &[Id, Each] : m_Endpoints) {
    if (!Each.m_Expired && Each.m_Endpoint.usable(Time))
      Result.push_back(Each.m_Endpoint);
  }
  std::sort(Result.begin(), Result.end(),
            [](const Endpoint &Left, const Endpoint &Right) {
              return Left.m_Id < Right.m_Id;
            });
  return Result;
}

void EndpointRegistry::forgetOld(base::TimePoint Time) {
  std::erase_if(m_Endpoints, [Time](const auto &Each) {
    const Entry &Value = Each.second;
    return Value.m_Expired &&
           Time >= Value.m_Endpoint.m_ReportedAt + GoneMemory;
  });
}

} // namespace psp::schedule
