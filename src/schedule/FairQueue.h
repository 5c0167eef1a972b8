/// \file
/// The order that the system uses. Alarms come first, in order of arrival.
/// Then the organisation that was charged with the least work so far, and
/// inside it the program that has got the least, with ageing.
///
/// Between organisations this is fair queueing by work: each has a counter
/// of the work it was charged with, and the smallest one is next. An
/// organisation that comes back after idling starts from the counter of the
/// last one served, so that idling earns nothing. The charge is an estimate
/// until the call has ended and is then corrected.

#ifndef PSP_SCHEDULE_FAIRQUEUE_H
#define PSP_SCHEDULE_FAIRQUEUE_H

#include "schedule/CallQueue.h"

#include <compare>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace psp::schedule {

class FairQueue : public CallQueue {
public:
  explicit FairQueue(const QueueOptions &Options);

  void push(const QueuedCall &Call) override;
  std::optional<QueuedCall> pop() override;
  bool nextIsAlarm() const override { return !m_Alarms.empty(); }
  bool remove(CallNumber Call) override;
  void correct(const base::OrganisationId &Organisation,
               Work Difference) override;
  std::optional<CallNumber>
  victimFor(const QueuedCall &Newcomer) const override;
  Work workAhead(const base::OrganisationId &Organisation) const override;
  std::vector<QueuedCall> waiting() const override;
  Work totalWork() const override { return m_TotalWork; }
  std::size_t size() const override { return m_Size; }

private:
  /// Smaller goes first. Waiting calls age at the same rate, so their order
  /// doesn't change and the rank can be fixed when the call arrives.
  struct Rank {
    Work m_Value = 0.0;
    CallNumber m_Call = 0;
    auto operator<=>(const Rank &) const = default;
  };
  struct Lane {
    Work m_Charged = 0.0;
    Work m_WaitingWork = 0.0;
    std::map<Rank, QueuedCall> m_Waiting;
  };
  using Lanes = std::unordered_map<base::OrganisationId, Lane>;
  using ActiveKey = std::pair<Work, base::OrganisationId>;

  Rank rankOf(const QueuedCall &Call) const;
  QueuedCall popAlarm();
  void takeOut(Lane &Source, std::map<Rank, QueuedCall>::iterator Position);

  QueueOptions m_Options;
  std::size_t m_Size = 0;
  Work m_LastCharged = 0.0; ///< Counter of the last lane served, before it.
  Work m_AlarmWork = 0.0;
  Work m_TotalWork = 0.0;
  std::deque<QueuedCall> m_Alarms;
  Lanes m_Lanes;
  std::set<ActiveKey> m_Active; ///< Lanes with waiting calls.
  struct Place {
    base::OrganisationId m_Organisation;
    Rank m_Rank;
  };
  std::unordered_map<CallNumber, Place> m_Places; ///< Of all but alarms.
};

} // namespace psp::schedule

#endif
