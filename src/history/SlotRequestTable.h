/// \file
/// The turns of this node's groups that wait for an engine slot.

#ifndef PSP_HISTORY_SLOTREQUESTTABLE_H
#define PSP_HISTORY_SLOTREQUESTTABLE_H

#include "base/Time.h"
#include "fleet/ReplyAddress.h"
#include "generated/fleet.pb.h"
#include "link/ReplyTimeEstimate.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace psp::history {

struct SlotRequestTableOptions {
  /// A request without a reply is sent again after this long at least: several
  /// round trips between data centres.
  base::Duration m_ResendInterval = base::milliseconds(60);
  /// After this long without a reply a slot allocator that isn't heard counts
  /// as unreachable, and the turn begins without a slot or its requester
  /// repeats the request. This is longer than a turn waits at the allocator,
  /// and shorter than entry instances wait for a reply.
  base::Duration m_Timeout = base::milliseconds(225);
  /// A request that is older than this shows that the allocator is late: longer
  /// than a turn waits there.
  base::Duration m_LateTime = base::milliseconds(300);
  /// The same as m_Timeout for a later turn if the allocator is heard, so is
  /// only slow.
  base::Duration m_SlowTimeout = base::milliseconds(500);
};

/// Load pattern: the slot allocator fails while turns keep arriving. Requesters
/// repeat their requests meanwhile, and no turn may get two slots. Or it is
/// overloaded: turns that began without a slot would overload the engines too,
/// so new programs are refused, and later turns wait longer.
class SlotRequestTable {
public:
  using Request = messages::fleet::Request;

  struct PendingRequest {
    fleet::ReplyAddress m_From; ///< Process that requested the turn.
    Request m_Request;          ///< Holds the BeginTurn command.
    bool m_NewProgram = false;
    base::TimePoint m_ArrivedAt;
    base::TimePoint m_SentAt;
  };

  explicit SlotRequestTable(SlotRequestTableOptions Options = {})
      : m_Options(Options) {}

  /// If the turn of \p Repeated is pending already, directs its reply to the
  /// process \p From and returns true.
  bool coalesce(const fleet::ReplyAddress &From, const Request &Repeated);
  /// Adds a request and returns the identifier of its slot request.
  std::uint64_t add(PendingRequest Added);
  /// Null if no request is pending under \p Id.
  const PendingRequest *find(std::uint64_t Id) const;
  std::optional<PendingRequest> take(std::uint64_t Id);
  /// Identifiers of the requests to be sent again. Restarts their intervals.
  std::vector<std::uint64_t> takeDueForResend(base::TimePoint Now);
  /// Whether the allocator of a service is heard.
  using IsHeard = std::function<bool(const std::string &Service)>;
  /// Removes and returns the requests that exceeded their timeout.
  std::vector<PendingRequest> takeOverdue(base::TimePoint Now,
                                          const IsHeard &Heard);
  /// Notes that the slot allocator has replied to the request \p Id, if it is
  /// still pending.
  void recordReply(std::uint64_t Id, base::TimePoint Now);
  /// Whether a request timed out and none was answered since: further requests
  /// would only wait until they time out as well.
  bool isAllocatorUnreachable() const { return m_AllocatorUnreachable; }
  /// Whether a request for a slot of \p Service has waited for longer than any
  /// turn waits at an allocator that keeps up.
  bool isAllocatorLate(const std::string &Service, base::TimePoint Now) const;
  /// Removes and returns the requests of a group that this node no longer
  /// leads.
  std::vector<PendingRequest> takeGroup(std::uint32_t Group);
  std::size_t size() const { return m_Requests.size(); }

private:
  template <typename Condition>
  std::vector<PendingRequest> takeIf(Condition Matches);

  SlotRequestTableOptions m_Options;
  std::uint64_t m_LastId = 0;
  std::map<std::uint64_t, PendingRequest> m_Requests;
  std::map<std::string, std::uint64_t> m_IdsByTurn;
  bool m_AllocatorUnreachable = false;
  link::ReplyTimeEstimate m_ReplyTime;
};

} // namespace psp::history

#endif
