/// \file
/// Limits retries to a share of the traffic, so that they can't prolong an
/// overload after its cause has passed.

#ifndef PSP_SCHEDULE_RETRYBUDGET_H
#define PSP_SCHEDULE_RETRYBUDGET_H

#include <algorithm>
#include <cstdint>

namespace psp::schedule {

class RetryBudget {
public:
  /// Each first attempt adds \p RetriesPerAttempt to the balance, up to
  /// \p MaxBalance.
  RetryBudget(double RetriesPerAttempt, double MaxBalance)
      : m_RetriesPerAttempt(RetriesPerAttempt), m_MaxBalance(MaxBalance),
        m_Balance(MaxBalance) {}

  void noteFirstAttempt() {
    m_Balance = std::min(m_MaxBalance, m_Balance + m_RetriesPerAttempt);
  }

  /// Takes one retry from the balance. Returns false if the budget is
  /// exhausted.
  bool tryTake() {
    if (m_Balance < 1.0) {
      ++m_Denied;
      return false;
    }
    m_Balance -= 1.0;
    ++m_Taken;
    return true;
  }

  std::uint64_t taken() const { return m_Taken; }
  std::uint64_t denied() const { return m_Denied; }

private:
  double m_RetriesPerAttempt;
  double m_MaxBalance;
  double m_Balance;
  std::uint64_t m_Taken = 0;
  std::uint64_t m_Denied = 0;
};

} // namespace psp::schedule

#endif
