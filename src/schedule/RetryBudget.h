/// \file
/// Retries are limited to a share of the traffic, so that they can't keep an
/// overload going after its cause has passed.

#ifndef PSP_SCHEDULE_RETRYBUDGET_H
#define PSP_SCHEDULE_RETRYBUDGET_H

#include <algorithm>
#include <cstdint>

namespace psp::schedule {

class RetryBudget {
public:
  /// Each first attempt earns \p Share of a retry; at most \p Reserve are
  /// kept.
  RetryBudget(double Share, double Reserve)
      : m_Share(Share), m_Reserve(Reserve), m_Available(Reserve) {}

  void noteFirstAttempt() {
    m_Available = std::min(m_Reserve, m_Available + m_Share);
  }

  /// Takes one retry; false when the budget is spent.
  bool take() {
    if (m_Available < 1.0) {
      ++m_Denied;
      return false;
    }
    m_Available -= 1.0;
    ++m_Taken;
    return true;
  }

  std::uint64_t taken() const { return m_Taken; }
  std::uint64_t denied() const { return m_Denied; }

private:
  double m_Share;
  double m_Reserve;
  double m_Available;
  std::uint64_t m_Taken = 0;
  std::uint64_t m_Denied = 0;
};

} // namespace psp::schedule

#endif
