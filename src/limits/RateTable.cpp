#include "limits/RateTable.h"

#include "base/Error.h"

#include <algorithm>

namespace psp::limits {
namespace {

/// Higher rates (in tokens per second) and bursts (in tokens) count as this.
constexpr double MaxTokens = 1e6;

/// Converts tokens. Anything but a positive number counts as zero.
MicroTokens toMicroTokens(double Tokens) {
  if (!(Tokens > 0))
    return 0;
  return static_cast<MicroTokens>(std::min(Tokens, MaxTokens) *
                                  static_cast<double>(OneToken));
}

MicroTokens reducedForDrift(MicroTokens RatePerSecond, double ClockDrift) {
  return static_cast<MicroTokens>(static_cast<double>(RatePerSecond) *
                                  (1 - ClockDrift));
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
  const auto Remainder = Total % Parts;
  return Total / Parts +
         (static_cast<MicroTokens>(Position) < Remainder ? 1 : 0);
}

bool RateTable::set(std::uint64_t ConfigurationNumber,
                    const std::vector<OrganisationRate> &Rates) {
  if (ConfigurationNumber < m_ConfigurationNumber)
    return false;
  m_ConfigurationNumber = ConfigurationNumber;
  m_Slices.clear();
  for (const OrganisationRate &Rate : Rates) {
    const MicroTokens RatePerSecond = toMicroTokens(Rate.m_RatePerSecond);
    const MicroTokens Burst = toMicroTokens(Rate.m_Burst);
    checkShares(RatePerSecond, m_DataCentreCount);
    checkShares(Burst, m_DataCentreCount);
    m_Slices[Rate.m_Organisation] = {
        .m_RatePerSecond = reducedForDrift(
            shareOf(RatePerSecond, m_Position, m_DataCentreCount),
            m_ClockDrift),
        .m_Burst = shareOf(Burst, m_Position, m_DataCentreCount)};
  }
  return true;
}

const Slice *RateTable::find(const base::OrganisationId &Organisation) const {
  const auto It = m_Slices.find(Organisation);
  return It == m_Slices.end() ? nullptr : &It->second;
}

} // namespace psp::limits
