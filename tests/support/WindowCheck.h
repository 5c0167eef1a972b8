/// \file
/// Checks admissions against the limit: in every window between two admissions,
/// their number must be at most burst + rate * length of the window.

#ifndef PSP_TESTS_SUPPORT_WINDOWCHECK_H
#define PSP_TESTS_SUPPORT_WINDOWCHECK_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace psp::limits::testing {

/// The rate and burst that are allowed from a point in true time on. While a
/// change of the rates is in progress, this is the larger of both.
struct Allowance {
  std::int64_t m_From = 0; ///< In microseconds of true time.
  double m_RatePerSecond = 0;
  double m_Burst = 0;
};

/// The maximum, over all windows, of the number of admissions beyond what
/// \p Allowed permits: zero or negative if no window exceeds it. \p Allowed is
/// sorted and begins at or before the first admission. Checks all pairs of
/// admissions.
inline double worstExcess(std::vector<std::int64_t> Admissions,
                          const std::vector<Allowance> &Allowed) {
  std::sort(Admissions.begin(), Admissions.end());
  std::vector<double> Accrued; // Since the first allowance, by admission.
  std::vector<std::size_t> AllowanceIndex; // By admission.
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
    AllowanceIndex.push_back(Current);
  }
  double Worst = -1e9;
  for (std::size_t End = 0; End < Admissions.size(); ++End) {
    double Burst = Allowed[AllowanceIndex[End]].m_Burst;
    std::size_t Earliest = AllowanceIndex[End];
    for (std::size_t Begin = End + 1; Begin-- > 0;) {
      while (Earliest > AllowanceIndex[Begin])
        Burst = std::max(Burst, Allowed[--Earliest].m_Burst);
      const double Used = static_cast<double>(End - Begin + 1);
      Worst = std::max(Worst, Used - Burst - (Accrued[End] - Accrued[Begin]));
    }
  }
  return Worst;
}

} // namespace psp::limits::testing

#endif
