/// \file
/// The organisations' rates in force and how they are divided among the data
/// centres.

#ifndef PSP_LIMITS_RATETABLE_H
#define PSP_LIMITS_RATETABLE_H

#include "limits/LimitOptions.h"
#include "limits/TokenBucket.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace psp::limits {

/// The share of \p Total (in millionths of a token) of the data centre at
/// \p Position of \p Count. The shares are equal up to one millionth, add up
/// to \p Total, and none shrinks when \p Total grows: so while the data
/// centres pass from one total to another, the sum is at most the larger.
MicroTokens shareOf(MicroTokens Total, std::size_t Position, std::size_t Count);

/// The slices of one data centre, by organisation.
class RateTable {
public:
  /// \p Position is that of the data centre among \p Count sorted ones. The
  /// rates of the slices are reduced by \p ClockDrift, so that a fast clock
  /// accrues no more than the rate.
  RateTable(std::size_t Position, std::size_t Count, double ClockDrift)
      : m_Position(Position), m_Count(Count), m_ClockDrift(ClockDrift) {}

  /// Replaces the rates unless \p Number is older than what is in force.
  /// Returns whether they were replaced.
  bool set(std::uint64_t Number, const std::vector<OrganisationRate> &Rates);

  /// The slice of \p Organisation, or null when there is no such one.
  const Slice *find(const base::OrganisationId &Organisation) const;

  std::uint64_t number() const { return m_Number; }

private:
  std::size_t m_Position;
  std::size_t m_Count;
  double m_ClockDrift;
  std::uint64_t m_Number = 0;
  std::unordered_map<base::OrganisationId, Slice> m_Slices;
};

} // namespace psp::limits

#endif
