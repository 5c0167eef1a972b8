#include "schedule/EndpointRegistry.h"

#include "base/Error.h"

#include <algorithm>
#include <utility>

namespace psp::schedule {
namespace {

/// Maximum lease granted, whatever the endpoint requests.
constexpr base::Duration MaxLease = base::seconds(10);

/// How long an endpoint that left or expired stays registered, so that a late
/// announcement of its old incarnation is recognised.
constexpr base::Duration UnavailableRetentionTime = base::seconds(600);

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
  const std::uint64_t MaxLeaseMs = MaxLease / base::milliseconds(1);
  const base::Duration Lease = base::milliseconds(
      std::min<std::uint64_t>(State.remaining_ms(), MaxLeaseMs));
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

bool isNewer(const Endpoint &Next, const Endpoint &Previous) {
  return std::pair(Next.m_Incarnation, Next.m_Sequence) >
         std::pair(Previous.m_Incarnation, Previous.m_Sequence);
}

bool sameRegistration(const Endpoint &Left, const Endpoint &Right) {
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
  m_NextExpiryCheck = std::min(m_NextExpiryCheck, Next.m_LeaseEnd);
  const auto Position = m_Endpoints.find(Next.m_Id);
  if (Position == m_Endpoints.end()) {
    const bool Leaving = Next.m_Leaving;
    m_Endpoints.emplace(Next.m_Id,
                        Entry{.m_Endpoint = Next, .m_Expired = Leaving});
    return Leaving ? AnnounceResult::Left : AnnounceResult::Joined;
  }
  Entry &Stored = Position->second;
  const Endpoint &Previous = Stored.m_Endpoint;
  if (!isNewer(Next, Previous))
    return AnnounceResult::Ignored;
  const bool SameIncarnation = Next.m_Incarnation == Previous.m_Incarnation;
  if (Previous.m_Leaving && SameIncarnation)
    return AnnounceResult::Ignored;
  const bool WasUnavailable = Stored.m_Expired || Previous.m_Leaving;
  const bool IsRenewal = sameRegistration(Previous, Next);
  if (Next.m_Leaving && SameIncarnation) {
    // A leave message carries no address or services. The old ones are kept for
    // dumps.
    Stored.m_Endpoint.m_Leaving = true;
    Stored.m_Endpoint.m_Sequence = Next.m_Sequence;
    Stored.m_Expired = true;
    return AnnounceResult::Left;
  }
  Stored.m_Endpoint = std::move(Next);
  Stored.m_Expired = Stored.m_Endpoint.m_Leaving;
  if (Stored.m_Endpoint.m_Leaving)
    return AnnounceResult::Left;
  if (WasUnavailable)
    return AnnounceResult::Joined;
  return IsRenewal ? AnnounceResult::Renewed : AnnounceResult::Changed;
}

std::vector<base::EndpointId>
EndpointRegistry::expireLeases(base::TimePoint Time) {
  std::vector<base::EndpointId> Result;
  if (Time < m_NextExpiryCheck)
    return Result;
  m_NextExpiryCheck = Time + MaxLease;
  for (auto &[Id, Stored] : m_Endpoints) {
    if (Stored.m_Expired)
      continue;
    if (Time < Stored.m_Endpoint.m_LeaseEnd) {
      m_NextExpiryCheck =
          std::min(m_NextExpiryCheck, Stored.m_Endpoint.m_LeaseEnd);
      continue;
    }
    Stored.m_Expired = true;
    Result.push_back(Id);
  }
  std::sort(Result.begin(), Result.end());
  eraseOld(Time);
  return Result;
}

const Endpoint *EndpointRegistry::find(const base::EndpointId &Id) const {
  const auto Position = m_Endpoints.find(Id);
  return Position == m_Endpoints.end() ? nullptr : &Position->second.m_Endpoint;
}

std::vector<Endpoint>
EndpointRegistry::usableEndpoints(base::TimePoint Time) const {
  std::vector<Endpoint> Result;
  for (const auto &[Id, Stored] : m_Endpoints) {
    if (!Stored.m_Expired && Stored.m_Endpoint.usable(Time))
      Result.push_back(Stored.m_Endpoint);
  }
  std::sort(Result.begin(), Result.end(),
            [](const Endpoint &Left, const Endpoint &Right) {
              return Left.m_Id < Right.m_Id;
            });
  return Result;
}

void EndpointRegistry::eraseOld(base::TimePoint Time) {
  std::erase_if(m_Endpoints, [Time](const auto &Item) {
    const Entry &Stored = Item.second;
    return Stored.m_Expired &&
           Time >= Stored.m_Endpoint.m_ReportedAt + UnavailableRetentionTime;
  });
}

} // namespace psp::schedule
