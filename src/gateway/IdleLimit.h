/// \file
/// How long a connection of a caller may wait for its next request.

#ifndef PSP_GATEWAY_IDLELIMIT_H
#define PSP_GATEWAY_IDLELIMIT_H

#include "base/Time.h"

#include <chrono>
#include <vector>

namespace psp::gateway {

/// The idle limit that is in force, and earlier ones that callers may still go
/// by. A raised limit holds at once. A lowered one leaves each connection open
/// until the earlier limit would have ended its wait, and no wait ends before
/// the earlier limit has passed since the change.
class IdleLimit {
public:
  explicit IdleLimit(base::Duration Limit) : m_Current(Limit) {}

  void change(base::Duration Limit, base::TimePoint Now);
  /// End of a wait that began at \p WaitingSince. It moves only to a later time
  /// while the connection waits.
  base::TimePoint deadline(base::TimePoint WaitingSince) const;
  base::Duration current() const { return m_Current; }

  /// What a caller is told if its wait may last for \p Limit: whole seconds
  /// that end before it, by the time in which an answer and a request travel.
  static std::chrono::seconds statedTime(base::Duration Limit);

private:
  struct EarlierLimit {
    base::Duration m_Limit;
    base::TimePoint m_ReplacedAt;
  };

  base::Duration m_Current;
  /// Longest first.
  std::vector<EarlierLimit> m_Earlier;
};

} // namespace psp::gateway

#endif
