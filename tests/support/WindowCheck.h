/// \file
/// Counts admissions from outside: for every window between two admissions,
/// whether their number is within burst + rate * length.

#ifndef PSP_TESTS_SUPPORT_WINDOWCHECK_H
#define PSP_TESTS_SUPPORT_WINDOWCHECK_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace psp::limits::testing {

/// The rate and burst that may be in force from a moment of true time on.
/// While a change is on its way this is the larger of both.
struct Allowance {
  std::int64_t m_From = 0; ///< In microseconds.
  double m_RatePerSecond = 0;
  double m_Burst = 0;
};

/// The largest number of admissions in any window beyond what \p Allowed
/// (sorted, beginning at or before the first admission) permits; zero or
/// negative when every window is within it. Looks at all pairs.
inline double worstExcess(std::vector<std::int64_t> Admissions,
                          const std::vector<Allowance> &Allowed) {
  std::sort(Admissions.begin(), Admissions.end());
  std::vector<double> Accrued;   // Since the first allowance, by admission.
  std::vector<std::size_t> Part; // Index of the allowance, by admission.
  double Sum = 0;
  std::size_t Current = 0;
  std::int64_t Last = Allowed.front().m_From;
  for (const std::int64_t At : Admissions) {
    while (Current + 1 < Allowed.size() && Allowed[Current + 1].m_From <= At) {
      Sum += static_cast<double>(Allowed[Current + 1].m_From - Last) * 1e-6 *
             Allowed[Current].m_RatePerSecond;
      Last = Allowed[++Current].m_From;
    }
    Sum += static_cast<double>(At - Last) * 1e-6 *
           Allowed[Current].m_RatePerSecond;
    Last = At;
    Accrued.push_back(Sum);
    Part.push_back(Current);
  }
  double Worst = -1e9;
  for (std::size_t End = 0; End < Admissions.size(); ++End) {
    double Burst = Allowed[Part[End]].m_Burst;
    std::size_t Seen = Part[End];
    for (std::size_t Begin = End + 1; Begin-- > 0;) {
      while (Seen > Part[Begin])
        Burst = std::max(Burst, Allowed[--Seen].m_Burst);
      const double Used = static_cast<double>(End - Begin + 1);
      Worst = std::max(Worst, Used - Burst - (Accrued[End] - Accrued[Begin]));
    }
  }
  return Worst;
}

} // namespace psp::limits::testing

#endif
