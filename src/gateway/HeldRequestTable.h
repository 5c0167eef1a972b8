/// \file
/// Requests that this instance keeps from endpoints, and those whose success it
/// should report.

#ifndef PSP_GATEWAY_HELDREQUESTTABLE_H
#define PSP_GATEWAY_HELDREQUESTTABLE_H

#include "base/Time.h"
#include "generated/fleet.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace psp::gateway {

struct HeldRequestTableOptions {
  /// Suspected requests that are not held are forgotten after this time.
  base::Duration m_SuspicionTime = base::seconds(10 * 60);
  /// If there are more, the one that was suspected first is forgotten.
  std::size_t m_MaxSuspects = 256;
};

/// Load pattern: almost always empty, so that a call need not be hashed.
class HeldRequestTable {
public:
  explicit HeldRequestTable(HeldRequestTableOptions Options = {})
      : m_Options(Options) {}

  /// Replaces the held requests, unless \p Update is older than the last one.
  void update(const messages::fleet::HeldRequests &Update, base::TimePoint Now);
  /// Successes of \p Fingerprint are to be reported from now on.
  void suspect(const std::string &Fingerprint, base::TimePoint Now);

  /// Forgets old suspicions.
  void expire(base::TimePoint Now);
  /// Whether no request is held or suspected.
  bool empty() const { return m_Held.empty() && m_Suspects.empty(); }
  bool isHolding() const { return !m_Held.empty(); }
  /// What is held of \p Fingerprint: the request or its path, whichever is held
  /// longer. Empty if neither is.
  std::string heldPart(const std::string &Fingerprint) const;
  /// Whether the path of \p Fingerprint is held, and the request itself isn't.
  bool isOnlyPathHeld(const std::string &Fingerprint) const;
  /// Time until the hold of \p Fingerprint ends; zero if it has ended and the
  /// request may be tried with the control leader's permission. Empty if the
  /// request is not held.
  std::optional<base::Duration> holdLeft(const std::string &Fingerprint,
                                         base::TimePoint Now) const;
  /// An endpoint has answered \p Fingerprint. Returns what of it to report: the
  /// request, its path or both.
  std::vector<std::string> onSuccess(const std::string &Fingerprint);
  std::size_t heldCount() const { return m_Held.size(); }

private:
  HeldRequestTableOptions m_Options;
  std::uint64_t m_Revision = 0;
  std::map<std::string, base::TimePoint> m_Held;     ///< End of the hold.
  std::map<std::string, base::TimePoint> m_Suspects; ///< Since when.
};

} // namespace psp::gateway

#endif
