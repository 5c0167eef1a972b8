/// \file
/// The organisations' rates in force, divided among the data centres.

#ifndef PSP_LIMITS_RATETABLE_H
#define PSP_LIMITS_RATETABLE_H

#include "limits/LimitOptions.h"
#include "limits/TokenBucket.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace psp::limits {

/// The share of \p Total for the data centre at \p Position of \p Count. The
/// shares differ by at most one millionth of a token, add up to \p Total, and
/// none shrinks when \p Total grows. So while the data centres change from one
/// total to another, one by one, the sum is at most the larger total.
MicroTokens shareOf(MicroTokens Total, std::size_t Position, std::size_t Count);

/// The slices of one data centre, by organisation.
class RateTable {
public:
  /// \p Position is that of the data centre among \p DataCentreCount sorted
  /// ones. The rates of the slices are reduced by \p ClockDrift, so that a
  /// bucket with a fast clock accrues no more than the rate.
  RateTable(std::size_t Position, std::size_t DataCentreCount,
            double ClockDrift)
      : m_Position(Position), m_DataCentreCount(DataCentreCount),
        m_ClockDrift(ClockDrift) {}

  /// Replaces the rates, unless configuration \p ConfigurationNumber is older
  /// than the one in force. Returns whether they were replaced.
  bool set(std::uint64_t ConfigurationNumber,
           const std::vector<OrganisationRate> &Rates);

  /// The slice of \p Organisation, or null if it has no rate.
  const Slice *find(const base::OrganisationId &Organisation) const;

  std::uint64_t configurationNumber() const { return m_ConfigurationNumber; }

private:
  std::size_t m_Position;
  std::size_t m_DataCentreCount;
  double m_ClockDrift;
  std::uint64_t m_ConfigurationNumber = 0;
  std::unordered_map<base::OrganisationId, Slice> m_Slices;
};

} // namespace psp::limits

#endif
