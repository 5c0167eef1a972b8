#include "limits/GivenAway.h"

#include <algorithm>

namespace psp::limits {
namespace {

/// The part of \p Held that the growth of a count from \p Known to \p Reported
/// stands for.
MicroTokens grown(std::uint64_t &Known, std::uint64_t Reported,
                  MicroTokens Unit, MicroTokens Held) {
  if (Reported <= Known)
    return 0;
  const std::uint64_t Limit = static_cast<std::uint64_t>(Held / Unit) + 1;
  const std::uint64_t Units = std::min(Reported - Known, Limit);
  Known = Reported;
  return std::min(Held, static_cast<MicroTokens>(Units) * Unit);
}

} // namespace

void applySettlement(const Settlement &Change, base::TimePoint Now) {
  if (Change.m_Settled > 0)
    Change.m_Bucket->settle(Change.m_Settled, Now);
  if (Change.m_Returned > 0)
    Change.m_Bucket->restore(Change.m_Returned, Now);
}

void GivenAway::add(std::uint64_t Id, TokenBucket &Bucket, MicroTokens Amount,
                    base::TimePoint Now) {
  m_Gifts[Id] = {
      .m_Bucket = &Bucket, .m_Held = Amount, .m_Used = 0, .m_Returned = 0};
  m_Expiries.push_back({.m_At = Now + m_HoldTime, .m_Id = Id});
}

Settlement GivenAway::report(const messages::UsageReport &Report) {
  const auto Found = m_Gifts.find(Report.grant());
  if (Found == m_Gifts.end())
    return {};
  Gift &Current = Found->second;
  Settlement Change;
  Change.m_Bucket = Current.m_Bucket;
  Change.m_Settled =
      grown(Current.m_Used, Report.used(), m_Unit, Current.m_Held);
  Current.m_Held -= Change.m_Settled;
  Change.m_Returned =
      grown(Current.m_Returned, Report.returned(), m_Unit, Current.m_Held);
  Current.m_Held -= Change.m_Returned;
  if (Current.m_Held == 0)
    m_Gifts.erase(Found);
  return Change;
}

std::vector<Settlement> GivenAway::expire(base::TimePoint Now) {
  std::vector<Settlement> Changes;
  while (!m_Expiries.empty() && m_Expiries.front().m_At <= Now) {
    const auto Found = m_Gifts.find(m_Expiries.front().m_Id);
    m_Expiries.pop_front();
    if (Found == m_Gifts.end())
      continue;
    Changes.push_back({.m_Bucket = Found->second.m_Bucket,
                       .m_Settled = Found->second.m_Held,
                       .m_Returned = 0});
    m_Gifts.erase(Found);
  }
  return Changes;
}

} // namespace psp::limits
