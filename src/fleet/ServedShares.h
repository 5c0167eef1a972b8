/// \file
/// Which of several groups of callers get less than their part.

#ifndef PSP_FLEET_SERVEDSHARES_H
#define PSP_FLEET_SERVEDSHARES_H

#include "base/Time.h"

#include <map>
#include <string>

namespace psp::fleet {

/// Load pattern: more is asked than can be served, and an order by rank would
/// serve the lowest ranks nothing at all. Counts what each group has asked and
/// got, fading with time.
class ServedShares {
public:
  void onAsked(const std::string &Group, base::TimePoint Now);
  void onServed(const std::string &Group, base::TimePoint Now);
  /// Whether \p Group got a share of what it asked that is less than half of
  /// the share of all together. False for a group that has hardly asked.
  bool isBelowFloor(const std::string &Group, base::TimePoint Now) const;
  std::size_t size() const { return m_Groups.size(); }

private:
  struct Counts {
    double m_Asked = 0;
    double m_Served = 0;
    base::TimePoint m_At;
  };
  static void fade(Counts &Faded, base::TimePoint Now);
  Counts *find(const std::string &Group, base::TimePoint Now);

  Counts m_All;
  std::map<std::string, Counts> m_Groups;
};

} // namespace psp::fleet

#endif
