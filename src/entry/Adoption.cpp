#include "entry/Adoption.h"

#include <algorithm>
#include <utility>

namespace psp::entry {

namespace {

/// A view must be unchanged for this long before programs are listed, so that a
/// flapping peer doesn't cause a listing at each heartbeat.
constexpr base::Duration SettleTime = base::milliseconds(500);

/// Programs are listed again at this interval because a listing may be lost.
constexpr base::Duration ListingInterval = base::seconds(30);

} // namespace

Adoption::Adoption(base::InstanceId Self, const OwnerDirectory &Owners,
                   program::ProgramTable &Programs)
    : m_Self(std::move(Self)), m_Owners(Owners), m_Programs(Programs) {}

bool Adoption::isOrphan(const program::ListedProgram &Listed,
                        const OwnershipView &View, base::TimePoint Now) const {
  // An earlier incarnation of this instance owned the program.
  if (Listed.m_Owner == m_Self)
    return m_Programs.find(Listed.m_Program) == nullptr;
  const auto &Reachable = View.m_ReachableEntries;
  if (std::find(Reachable.begin(), Reachable.end(), Listed.m_Owner) !=
      Reachable.end())
    return false;
  const auto Owner = m_Owners.ownerOf(Listed.m_Program, Now);
  return Owner && Owner->m_Instance == m_Self;
}

void Adoption::onTick(const OwnershipView &View, base::Now Time,
                      messages::Outbox &Out) {
  for (const program::ListedProgram &Listed : m_Programs.takeListed()) {
    if (isOrphan(Listed, View, Time.m_Monotonic))
      m_Programs.adopt(Listed.m_Program, Time, Out);
  }
  if (View.m_Ledgers.empty())
    return;
  if (View != m_LastView) {
    m_LastView = View;
    m_NextListing = Time.m_Monotonic + SettleTime;
  }
  if (Time.m_Monotonic < m_NextListing)
    return;
  m_NextListing = Time.m_Monotonic + ListingInterval;
  for (const base::DataCentreId &Home : View.m_Homes)
    m_Programs.list(View.m_Ledgers.front(), Home, Out);
}

} // namespace psp::entry
