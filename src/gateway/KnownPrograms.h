/// \file
/// The programs that have called through this instance lately.

#ifndef PSP_GATEWAY_KNOWNPROGRAMS_H
#define PSP_GATEWAY_KNOWNPROGRAMS_H

#include "base/Time.h"

#include <string>
#include <unordered_map>

namespace psp::gateway {

class KnownPrograms {
public:
  bool isKnown(const std::string &Program) const {
    return m_SeenAt.contains(Program);
  }
  void note(const std::string &Program, base::TimePoint Now) {
    m_SeenAt[Program] = Now;
  }
  /// Forgets those without a call for \p Age.
  void forget(base::Duration Age, base::TimePoint Now) {
    std::erase_if(m_SeenAt,
                  [&](const auto &Entry) { return Now - Entry.second > Age; });
  }

private:
  std::unordered_map<std::string, base::TimePoint> m_SeenAt;
};

} // namespace psp::gateway

#endif
