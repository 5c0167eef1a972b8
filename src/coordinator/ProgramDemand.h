/// \file
/// What programs of each class take of their organisation's allowance.

#ifndef PSP_COORDINATOR_PROGRAMDEMAND_H
#define PSP_COORDINATOR_PROGRAMDEMAND_H

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace psp::coordinator {

/// Load pattern: programs of one class take three requests, those of another
/// sixteen, and an allowance that covers one doesn't cover the other. Learns
/// the mean of each route by the programs that have ended.
class ProgramDemand {
public:
  struct Need {
    double m_Tokens = 0;
    base::Duration m_Time{0}; ///< From the first token to the last.
  };

  void learn(const std::string &Route, const Need &Taken);
  /// The mean of \p Route, or of all routes while it isn't known; empty while
  /// nothing is.
  std::optional<Need> expected(const std::string &Route) const;

private:
  struct Mean {
    Need m_Need;
    std::uint32_t m_Programs = 0;
  };
  static void add(Mean &Learned, const Need &Taken);

  Mean m_All;
  std::map<std::string, Mean> m_Routes;
};

} // namespace psp::coordinator

#endif
