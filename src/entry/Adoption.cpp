#include "entry/Adoption.h"

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

void Adoption::onTick(const OwnershipView &View, base::Now Time,
                      messages::Outbox &Out) {
  for (const base::ProgramId &Program : m_Programs.takeListed()) {
    const auto Owner = m_Owners.ownerOf(Program, Time.m_Monotonic);
    if (Owner && Owner->m_Instance == m_Self)
      m_Programs.adopt(Program, Time, Out);
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
