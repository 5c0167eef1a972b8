/// \file
/// The rank by which competing callers are ordered.

#ifndef PSP_FLEET_RANKORDER_H
#define PSP_FLEET_RANKORDER_H

#include "fleet/ServedShares.h"

#include <cstdint>
#include <map>
#include <string>

namespace psp::fleet {

/// Load pattern: callers of several ranks compete for the same places. Higher
/// ranks come first, but no class and no organisation of a lower rank starves:
/// one that gets less than its floor comes before all others. If all ask with
/// the same rank, the order doesn't change.
class RankOrder {
public:
  struct Caller {
    std::uint32_t m_Priority = 0; ///< Zero is the highest.
    std::string m_Route;
    std::string m_Organisation;
  };

  void onAsked(const Caller &Asking, base::TimePoint Now);
  void onServed(const Caller &Served, base::TimePoint Now);
  /// Lower values come first.
  std::uint64_t rankOf(const Caller &Asking, base::TimePoint Now) const;

private:
  std::uint32_t highestRank(base::TimePoint Now) const;

  ServedShares m_Classes;
  ServedShares m_Organisations;
  /// When each priority was last asked with.
  std::map<std::uint32_t, base::TimePoint> m_AskedAt;
};

} // namespace psp::fleet

#endif
