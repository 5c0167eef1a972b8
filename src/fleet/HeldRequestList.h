/// \file
/// The replicated list of requests that are kept from endpoints, since each has
/// ended several of them.

#ifndef PSP_FLEET_HELDREQUESTLIST_H
#define PSP_FLEET_HELDREQUESTLIST_H

#include "base/Time.h"
#include "generated/fleet.pb.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace psp::fleet {

struct HeldRequestListOptions {
  /// Lengths of the consecutive holds of a request; the last one repeats. After
  /// each hold, one attempt shows whether the request still ends endpoints.
  std::vector<base::Duration> m_Holds = {
      base::seconds(60), base::seconds(10 * 60), base::seconds(3 * 3600),
      base::seconds(24 * 3600)};
  /// A request that was not tried again for this long after a hold is
  /// forgotten.
  base::Duration m_RetentionTime = base::seconds(24 * 3600);
  /// If more are held, those whose hold ends first are forgotten.
  std::size_t m_MaxRequests = 256;
};

/// Load pattern: callers repeat a request that ends each endpoint that runs it,
/// through all instances. Deterministic, since all members of the control group
/// apply the same commands; times are the wall times of these.
class HeldRequestList {
public:
  explicit HeldRequestList(HeldRequestListOptions Options = {})
      : m_Options(std::move(Options)) {}

  /// Begins the hold with the number in \p Command. Returns false if it isn't
  /// the next one of the request, so a repeated command changes nothing.
  bool hold(const messages::fleet::HoldRequest &Command, std::uint64_t Index,
            std::uint64_t WallMs);
  /// Returns false if \p Fingerprint is not held.
  bool release(const std::string &Fingerprint, std::uint64_t Index);
  /// Null if \p Fingerprint is not held.
  const messages::fleet::HeldRequest *
  find(const std::string &Fingerprint) const;
  /// Time until the end of the hold, at most its length: the clock may have
  /// been set back.
  std::uint64_t leftMs(const messages::fleet::HeldRequest &Held,
                       std::uint64_t WallMs) const;
  /// Number of the hold that the next command for \p Fingerprint must have.
  std::uint32_t nextHold(const std::string &Fingerprint) const;

  /// Its revision grows with each change.
  const messages::fleet::HeldRequests &state() const { return m_State; }
  void restore(const messages::fleet::HeldRequests &State) { m_State = State; }

private:
  base::Duration lengthOf(std::uint32_t Hold) const;
  messages::fleet::HeldRequest *findMutable(const std::string &Fingerprint);
  void forget(std::uint64_t WallMs);

  HeldRequestListOptions m_Options;
  messages::fleet::HeldRequests m_State;
};

} // namespace psp::fleet

#endif
