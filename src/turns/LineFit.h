/// \file
/// A line through samples that lose weight as new ones come.

#ifndef PSP_TURNS_LINEFIT_H
#define PSP_TURNS_LINEFIT_H

#include <algorithm>

namespace psp::turns {

/// Load pattern: a stream of noisy samples of one quantity that grows with
/// another. Of all samples only five sums are stored.
class LineFit {
public:
  /// \p Memory is the number of samples after which one has lost most of its
  /// weight.
  explicit LineFit(double Memory) : m_Keep(1 - 1 / Memory) {}

  void add(double X, double Y) {
    for (double *Sum : {&m_Weight, &m_X, &m_Y, &m_XX, &m_XY})
      *Sum *= m_Keep;
    m_Weight += 1;
    m_X += X;
    m_Y += Y;
    m_XX += X * X;
    m_XY += X * Y;
  }

  bool empty() const { return m_Weight <= 0; }

  /// Growth of the line, between \p Least and \p Most, which bound what is
  /// possible: few samples, or samples of nearly the same X, say little of it.
  double slope(double Least, double Most) const {
    const double Spread = m_Weight * m_XX - m_X * m_X;
    if (Spread <= MinSpread * m_Weight * m_Weight)
      return Least;
    return std::clamp((m_Weight * m_XY - m_X * m_Y) / Spread, Least, Most);
  }

  double meanX() const { return empty() ? 0 : m_X / m_Weight; }
  double meanY() const { return empty() ? 0 : m_Y / m_Weight; }

private:
  /// Smallest variance of X that allows an estimate of the slope.
  static constexpr double MinSpread = 0.1;

  double m_Keep;
  double m_Weight = 0;
  double m_X = 0;
  double m_Y = 0;
  double m_XX = 0;
  double m_XY = 0;
};

} // namespace psp::turns

#endif
