/// \file
/// The lease with which a data centre holds its home, which is the set of
/// programs that name it in their identifiers.
///
/// The holder's side: each probe that a majority of the ledgers answered
/// extends the lease from the time at which the probe was *sent*, on the
/// holder's own monotonic clock, less a margin for clock drift. The ledgers'
/// side: a ledger considers a data centre unreachable when it has received no
/// message from it for the full lease length, measured by its own clock.
///
/// Guaranteed: while the lease is held, fewer than a majority of the ledgers
/// consider the data centre unreachable, provided that any two clocks drift
/// apart by less than the margin. A takeover of the home that waits until a
/// majority considers the data centre unreachable therefore never coincides
/// with local turns that are still being accepted.
///
/// Not guaranteed: the lease does not protect committed turns; the ballot of
/// each program does, independently of the lease. An operator who fences a
/// data centre before its lease has expired may displace its local turns, and
/// so may two data centres that hold one home by mistake; displaced local
/// entries stay on the ledger as a branch (HeldProgram::m_Branch). A suspended
/// process can't stop at the end of its lease. After it resumes, it checks the
/// clock before it accepts anything, but an answer may already be in transit.

#ifndef PSP_PROGRAM_HOMELEASE_H
#define PSP_PROGRAM_HOMELEASE_H

#include "base/Ids.h"
#include "base/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace psp::program {

struct HomeLeaseOptions {
  std::vector<base::InstanceId> m_Ledgers{};
  base::Duration m_Length{};
};

/// The holder's side of the lease.
class HomeLease {
public:
  /// The lease ends for its holder earlier by this share of its length.
  static constexpr int DriftMarginPercent = 5;

  explicit HomeLease(HomeLeaseOptions Options);

  /// Records that \p Ledger answered a probe that was sent at \p SentAt.
  void noteContact(const base::InstanceId &Ledger, base::TimePoint SentAt);

  bool isHeld(base::TimePoint Time) const;

private:
  std::optional<base::TimePoint> lastMajorityContact() const;

  HomeLeaseOptions m_Options;
  std::map<base::InstanceId, base::TimePoint> m_Contacts;
};

/// A ledger's side of the lease.
class HomeContacts {
public:
  void noteContact(const base::DataCentreId &DataCentre, base::TimePoint Time);

  /// Whether no message from \p DataCentre was received for \p Length. For a
  /// data centre without any contact, the time counts from the start of the
  /// ledger at \p Started, because a restart loses the earlier contacts.
  bool isUnreachable(const base::DataCentreId &DataCentre,
                     base::Duration Length, base::TimePoint Started,
                     base::TimePoint Time) const;

private:
  std::map<base::DataCentreId, base::TimePoint> m_Contacts;
};

} // namespace psp::program

#endif
