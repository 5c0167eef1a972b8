#include "limits/RateTable.h"

#include "base/Error.h"

#include <algorithm>

namespace psp::limits {
namespace {

/// Largest rate and burst that are counted, in tokens.
constexpr double MostTokens = 1e6;

/// Anything that is not a positive number counts as zero.
MicroTokens toMicro(double Tokens) {
  if (!(Tokens > 0))
    return 0;
  return static_cast<MicroTokens>(std::min(Tokens, MostTokens) *
                                  static_cast<double>(OneToken));
}

MicroTokens reduced(MicroTokens Rate, double ClockDrift) {
  return static_cast<MicroTokens>(static_cast<double>(Rate) * (1 - ClockDrift));
}

void checkShares(MicroTokens Total, std::size_t Count) {
  MicroTokens Sum = 0;
  for (std::size_t Position = 0; Position < Count; ++Position)
    Sum += shareOf(Total, Position, Count);
  base::checkInvariant(Sum == Total,
                       "expected the shares of the data centres to add up to "
                       "the organisation's total");
}

} // namespace

MicroTokens shareOf(MicroTokens Total, std::size_t Position,
                    std::size_t Count) {
  const auto Parts = static_cast<MicroTokens>(Count);
  const auto Rest = Total % Parts;
  return Total / Parts + (static_cast<MicroTokens>(Position) < Rest ? 1 : 0);
}

bool RateTable::set(std::uint64_t Number,
                    const std::vector<OrganisationRate> &Rates) {
  if (Number < m_Number)
    return false;
  m_Number = Number;
  m_Slices.clear();
  for (const OrganisationRate &Rate : Rates) {
    const MicroTokens PerSecond = toMicro(Rate.m_RatePerSecond);
    const MicroTokens Burst = toMicro(Rate.m_Burst);
    checkShares(PerSecond, m_Count);
    checkShares(Burst, m_Count);
    m_Slices[Rate.m_Organisation] = {
        .m_RatePerSecond =
            reduced(shareOf(PerSecond, m_Position, m_Count), m_ClockDrift),
        .m_Burst = shareOf(Burst, m_Position, m_Count)};
  }
  return true;
}

const Slice *RateTable::find(const base::OrganisationId &Organisation) const {
  const auto Found = m_Slices.find(Organisation);
  return Found == m_Slices.end() ? nullptr : &Found->second;
}

} // namespace psp::limits
