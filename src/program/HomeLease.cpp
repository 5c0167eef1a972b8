#include "program/HomeLease.h"

#include <algorithm>
#include <utility>

namespace psp::program {

HomeLease::HomeLease(HomeLeaseOptions Options)
    : m_Options(std::move(Options)) {}

void HomeLease::noteContact(const base::InstanceId &Ledger,
                            base::TimePoint SentAt) {
  const auto [It, IsNew] = m_Contacts.emplace(Ledger, SentAt);
  if (!IsNew)
    It->second = std::max(It->second, SentAt);
}

std::optional<base::TimePoint> HomeLease::lastMajorityContact() const {
  const std::size_t Majority = m_Options.m_Ledgers.size() / 2 + 1;
  std::vector<base::TimePoint> Times;
  for (const auto &[Ledger, Time] : m_Contacts)
    Times.push_back(Time);
  if (Times.size() < Majority)
    return std::nullopt;
  std::sort(Times.begin(), Times.end(), std::greater<>());
  return Times[Majority - 1];
}

bool HomeLease::isHeld(base::TimePoint Time) const {
  const std::optional<base::TimePoint> Since = lastMajorityContact();
  if (!Since)
    return false;
  const base::Duration Held =
      m_Options.m_Length * (100 - DriftMarginPercent) / 100;
  return Time < *Since + Held;
}

void HomeContacts::noteContact(const base::DataCentreId &DataCentre,
                               base::TimePoint Time) {
  m_Contacts[DataCentre] = Time;
}

bool HomeContacts::isUnreachable(const base::DataCentreId &DataCentre,
                                 base::Duration Length, base::TimePoint Started,
                                 base::TimePoint Time) const {
  const auto It = m_Contacts.find(DataCentre);
  const base::TimePoint Last = It == m_Contacts.end() ? Started : It->second;
  return Time - Last >= Length;
}

} // namespace psp::program
