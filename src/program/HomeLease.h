/// \file
/// The lease by which a data centre holds its home, the set of programs that
/// name it in their identifiers.
///
/// The holder's side: each probe that a majority of the ledgers answered
/// extends the lease from the time at which the probe was *sent*, on the
/// holder's own monotonic clock, less a margin for clock drift. The ledgers'
/// side: a ledger counts a data centre as silent when it has not heard from it
/// for the whole length on its own clock.
///
/// What is kept: while the holder's lease is held, fewer than a majority of
/// the ledgers count the data centre as silent, as long as two clocks drift
/// apart by less than the margin. So whoever takes a home over only when a
/// majority counts it as silent never meets local turns that are still being
/// accepted.
///
/// What is not kept: the lease does not guard committed turns; the ballot of
/// each program does, whatever the lease says. An operator who fences a data
/// centre sooner may displace its local turns, and so may two data centres
/// that hold one home by mistake; displaced local entries stay on the ledger
/// as a branch (HeldProgram::m_Branch). A process that is frozen can't stop at
/// the end of its lease; what it accepts after it wakes is checked against the
/// clock first, but an answer may already be on its way.

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

/// The holder's side.
class HomeLease {
public:
  /// The part of the length by which the holder stops early.
  static constexpr int DriftMarginPercent = 5;

  explicit HomeLease(HomeLeaseOptions Options);

  /// \p Ledger answered a probe that was sent at \p SentAt.
  void noteContact(const base::InstanceId &Ledger, base::TimePoint SentAt);

  bool isHeld(base::TimePoint Time) const;

private:
  std::optional<base::TimePoint> lastMajorityContact() const;

  HomeLeaseOptions m_Options;
  std::map<base::InstanceId, base::TimePoint> m_Contacts;
};

/// A ledger's side.
class HomeContacts {
public:
  void noteContact(const base::DataCentreId &DataCentre, base::TimePoint Time);

  /// Whether nothing was heard from \p DataCentre for \p Length. A data centre
  /// that was never heard from counts as heard when the ledger started, at
  /// \p Started: an answer from before a restart is forgotten.
  bool isSilent(const base::DataCentreId &DataCentre, base::Duration Length,
                base::TimePoint Started, base::TimePoint Time) const;

private:
  std::map<base::DataCentreId, base::TimePoint> m_Contacts;
};

} // namespace psp::program

#endif
