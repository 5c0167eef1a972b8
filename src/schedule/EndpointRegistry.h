/// \file
/// The registry of endpoints. Endpoints announce themselves and renew a lease.
/// Announcements may arrive late, twice or out of order, so each carries an
/// incarnation and a sequence, and only a newer one is applied.

#ifndef PSP_SCHEDULE_ENDPOINTREGISTRY_H
#define PSP_SCHEDULE_ENDPOINTREGISTRY_H

#include "base/Ids.h"
#include "base/Time.h"
#include "generated/peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace psp::schedule {

/// The registered state of one endpoint.
struct Endpoint {
  base::EndpointId m_Id;
  base::DataCentreId m_DataCentre;
  std::string m_Address; ///< IP address and port.
  std::vector<std::string> m_Services;
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Sequence = 0;
  base::TimePoint m_LeaseEnd;
  base::TimePoint m_ReportedAt;
  bool m_Leaving = false;
  bool m_ChecksFencing = false;
  std::uint32_t m_Slots = 0; ///< Zero if not announced.
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;

  bool operator==(const Endpoint &) const = default;

  /// Returns whether the endpoint may get new work at \p Time.
  bool usable(base::TimePoint Time) const {
    return !m_Leaving && Time < m_LeaseEnd;
  }
  bool offers(const std::string &Service) const;
};

/// The effect of an announcement.
enum class AnnounceResult { Ignored, Joined, Renewed, Changed, Left };

class EndpointRegistry {
public:
  /// Applies an announcement. Ignores one that is older than the last, or of an
  /// incarnation that has left. Throws UserError when a mandatory field is
  /// missing.
  AnnounceResult announce(const messages::EndpointState &State,
                          base::TimePoint Time);

  /// Expires the leases that end at or before \p Time and returns their
  /// endpoints.
  std::vector<base::EndpointId> expireLeases(base::TimePoint Time);

  /// Null when the endpoint isn't registered. One that has left or expired is
  /// removed after a retention time.
  const Endpoint *find(const base::EndpointId &Id) const;

  /// All endpoints that may get work at \p Time, ordered by identifier.
  std::vector<Endpoint> usableEndpoints(base::TimePoint Time) const;

  /// Number of registered endpoints, including those that have left.
  std::size_t size() const { return m_Endpoints.size(); }

private:
  struct Entry {
    Endpoint m_Endpoint;
    bool m_Expired = false;
  };

  void eraseOld(base::TimePoint Time);

  base::TimePoint m_NextExpiryCheck; ///< No lease expires earlier.
  std::unordered_map<base::EndpointId, Entry> m_Endpoints;
};

} // namespace psp::schedule

#endif
