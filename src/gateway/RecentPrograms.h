/// \file
/// The programs with a recent call through this instance.

#ifndef PSP_GATEWAY_RECENTPROGRAMS_H
#define PSP_GATEWAY_RECENTPROGRAMS_H

#include "base/Time.h"

#include <string>
#include <unordered_map>

namespace psp::gateway {

class RecentPrograms {
public:
  bool contains(const std::string &Program) const {
    return m_LastSeenAt.contains(Program);
  }
  void recordCall(const std::string &Program, base::TimePoint Now) {
    m_LastSeenAt[Program] = Now;
  }
  /// Removes programs without a call for \p MaxAge.
  void expire(base::Duration MaxAge, base::TimePoint Now) {
    std::erase_if(m_LastSeenAt, [&](const auto &Entry) {
      return Now - Entry.second > MaxAge;
    });
  }

private:
  std::unordered_map<std::string, base::TimePoint> m_LastSeenAt;
};

} // namespace psp::gateway

#endif
