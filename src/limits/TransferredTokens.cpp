#include "limits/TransferredTokens.h"

#include <algorithm>

namespace psp::limits {
namespace {

/// Raises the total count \p LastReported to \p Reported. Returns the amount
/// for which the difference stands, at most \p Outstanding.
MicroTokens newlyReported(std::uint64_t &LastReported, std::uint64_t Reported,
                          MicroTokens Unit, MicroTokens Outstanding) {
  if (Reported <= LastReported)
    return 0;
  const std::uint64_t MaxUnits =
      static_cast<std::uint64_t>(Outstanding / Unit) + 1;
  const std::uint64_t Units = std::min(Reported - LastReported, MaxUnits);
  LastReported = Reported;
  return std::min(Outstanding, static_cast<MicroTokens>(Units) * Unit);
}

} // namespace

void applySettlement(const Settlement &Change, base::TimePoint Now) {
  if (Change.m_Settled > 0)
    Change.m_Bucket->settle(Change.m_Settled, Now);
  if (Change.m_Returned > 0)
    Change.m_Bucket->restore(Change.m_Returned, Now);
}

void TransferredTokens::add(std::uint64_t Id, TokenBucket &Bucket,
                            MicroTokens Amount, base::TimePoint Now) {
  m_Transfers[Id] = {.m_Bucket = &Bucket,
                     .m_Outstanding = Amount,
                     .m_Used = 0,
                     .m_Returned = 0};
  m_Expiries.push_back({.m_At = Now + m_TokenValidity, .m_Id = Id});
}

Settlement TransferredTokens::report(const messages::UsageReport &Report) {
  const auto It = m_Transfers.find(Report.grant());
  if (It == m_Transfers.end())
    return {};
  Transfer &Reported = It->second;
  Settlement Change;
  Change.m_Bucket = Reported.m_Bucket;
  Change.m_Settled = newlyReported(Reported.m_Used, Report.used(), m_Unit,
                                   Reported.m_Outstanding);
  Reported.m_Outstanding -= Change.m_Settled;
  Change.m_Returned = newlyReported(Reported.m_Returned, Report.returned(),
                                    m_Unit, Reported.m_Outstanding);
  Reported.m_Outstanding -= Change.m_Returned;
  if (Reported.m_Outstanding == 0)
    m_Transfers.erase(It);
  return Change;
}

std::vector<Settlement> TransferredTokens::expire(base::TimePoint Now) {
  std::vector<Settlement> Changes;
  while (!m_Expiries.empty() && m_Expiries.front().m_At <= Now) {
    const auto It = m_Transfers.find(m_Expiries.front().m_Id);
    m_Expiries.pop_front();
    if (It == m_Transfers.end())
      continue;
    Changes.push_back({.m_Bucket = It->second.m_Bucket,
                       .m_Settled = It->second.m_Outstanding,
                       .m_Returned = 0});
    m_Transfers.erase(It);
  }
  return Changes;
}

} // namespace psp::limits
