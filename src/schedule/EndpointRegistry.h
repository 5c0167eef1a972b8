/// \file
/// Which endpoints there are. Endpoints announce themselves and renew a
/// lease; announcements may arrive late, twice and crossed, so each carries
/// an incarnation and a sequence, and only a newer one counts.

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

/// What is known of one endpoint.
struct Endpoint {
  base::EndpointId m_Id;
  base::DataCentreId m_DataCentre;
  std::string m_Address; ///< IP number and port.
  std::vector<std::string> m_Services;
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Sequence = 0;
  base::TimePoint m_LeaseEnd;
  base::TimePoint m_ReportedAt;
  bool m_Leaving = false;
  bool m_ChecksFencing = false;
  std::uint32_t m_Slots = 0; ///< Zero: not announced.
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;

  bool operator==(const Endpoint &) const = default;

  /// May it get new work at \p Time?
  bool usable(base::TimePoint Time) const {
    return !m_Leaving && Time < m_LeaseEnd;
  }
  bool offers(const std::string &Service) const;
};

/// What an announcement changed.
enum class AnnounceResult { Ignored, Joined, Renewed, Changed, Left };

class EndpointRegistry {
public:
  /// Takes an announcement in. An older one than the last, or one of an
  /// incarnation that has left, is ignored. Throws UserError when a mandatory
  /// field is missing.
  AnnounceResult announce(const messages::EndpointState &State,
                          base::TimePoint Time);

  /// Ends the leases that have run out and returns the endpoints concerned.
  std::vector<base::EndpointId> expire(base::TimePoint Time);

  /// Null when the endpoint isn't known, or has left for long.
  const Endpoint *find(const base::EndpointId &Id) const;

  /// All endpoints that may get work at \p Time, ordered by identifier.
  std::vector<Endpoint> usableEndpoints(base::TimePoint Time) const;

  /// Number of endpoints remembered, the ones that have left included.
  std::size_t size() const { return m_Endpoints.size(); }

private:
  struct Entry {
    Endpoint m_Endpoint;
    bool m_Expired = false;
  };

  void forgetOld(base::TimePoint Time);

  base::TimePoint m_NextCheck; ///< No lease runs out before it.
  std::unordered_map<base::EndpointId, Entry> m_Endpoints;
};

} // namespace psp::schedule

#endif
