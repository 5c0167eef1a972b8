#include "entry/Adoption.h"

#include <algorithm>
#include <utility>

namespace psp::entry {

namespace {

/// A view must have stood this long, so that a flapping peer doesn't cause a
/// listing at each beat.
constexpr base::Duration SettleTime = base::milliseconds(500);

/// Programs are listed again in this interval: a listing may be lost.
constexpr base::Duration ListInterval = base::seconds(30);

} // namespace

Adoption::Adoption(base::InstanceId Self, const OwnerDirectory &Owners,
                   program::ProgramTable &Programs)
    : m_Self(std::move(Self)), m_Owners(Owners), m_Programs(Programs) {}

bool Adoption::isOrphan(const program::ListedProgram &Listed,
                        const OwnershipView &View, base::TimePoint Now) const {
  // An earlier run of this instance led it.
  if (Listed.m_Owner == m_Self)
    return m_Programs.find(Listed.m_Program) == nullptr;
  const auto &Alive = View.m_Alive;
  if (std::find(Alive.begin(), Alive.end(), Listed.m_Owner) != Alive.end())
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
  if (View != m_Listed) {
    m_Listed = View;
    m_NextList = Time.m_Monotonic + SettleTime;
  }
  if (Time.m_Monotonic < m_NextList)
    return;
  m_NextList = Time.m_Monotonic + ListInterval;
  for (const base::DataCentreId &Home : View.m_Homes)
    m_Programs.list(View.m_Ledgers.front(), Home, Out);
}

} // namespace psp::entry
