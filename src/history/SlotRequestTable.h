/// \file
/// The turns of this node's groups that wait for a place on an engine.

#ifndef PSP_HISTORY_SLOTREQUESTTABLE_H
#define PSP_HISTORY_SLOTREQUESTTABLE_H

#include "base/Time.h"
#include "generated/fleet.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace psp::history {

struct SlotRequestTableOptions {
  /// A request without an answer is sent again after this long: several round
  /// trips between data centres.
  base::Duration m_ResendInterval = base::milliseconds(60);
  /// After this long without an answer nobody grants places, and the turn
  /// begins without one or its asker comes again: longer than an offer waits
  /// at the one who grants them, and below the patience of entry instances.
  base::Duration m_Limit = base::milliseconds(225);
};

/// Load pattern: the one who grants places is lost while turns go on coming.
/// Askers repeat themselves meanwhile, and none may get two places.
class SlotRequestTable {
public:
  using Request = messages::fleet::Request;

  struct Pending {
    std::string m_Node; ///< Who asked for the turn.
    Request m_Request;  ///< The begin.
    bool m_NewProgram = false;
    base::TimePoint m_ArrivedAt;
    base::TimePoint m_SentAt;
  };

  explicit SlotRequestTable(SlotRequestTableOptions Options = {})
      : m_Options(Options) {}

  /// Whether the same turn waits already; its answer then goes to \p Asked.
  bool join(const std::string &Node, const Request &Asked);
  /// The identifier of the request for a place.
  std::uint64_t add(Pending Asked);
  /// Null if nothing waits under \p Id.
  const Pending *find(std::uint64_t Id) const;
  std::optional<Pending> take(std::uint64_t Id);
  /// Requests to be sent again now.
  std::vector<std::uint64_t> takeUnanswered(base::TimePoint Now);
  /// Requests that nobody has answered in time.
  std::vector<Pending> takeOverdue(base::TimePoint Now);
  /// The one who grants places has answered some request.
  void noteAnswer() { m_GranterMissing = false; }
  /// Whether a request went without an answer, and none was answered since:
  /// others would wait as long for nothing.
  bool granterIsMissing() const { return m_GranterMissing; }
  /// All of one group, which this node doesn't lead any more.
  std::vector<Pending> takeGroup(std::uint32_t Group);
  std::size_t size() const { return m_Rows.size(); }

private:
  template <typename Condition> std::vector<Pending> takeIf(Condition Matches);

  SlotRequestTableOptions m_Options;
  std::uint64_t m_LastId = 0;
  std::map<std::uint64_t, Pending> m_Rows;
  std::map<std::string, std::uint64_t> m_ByTurn;
  bool m_GranterMissing = false;
};

} // namespace psp::history

#endif
