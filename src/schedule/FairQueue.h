/// \file
/// The default queueing discipline. Alarms come first, in order of arrival.
/// Next is the organisation that was charged with the least work so far, and
/// within it the program with the least attained work, with ageing.
///
/// Between organisations this is fair queueing by work. Each organisation has a
/// counter of the work that it was charged with, and the one with the smallest
/// counter is served next. An organisation that returns after idling starts
/// from the counter of the last one served, so idling earns no credit. The
/// charge is an estimate until the call has ended, and is then corrected.

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
  std::optional<CallNumber> victimFor(const QueuedCall &NewCall) const override;
  Work queuedWorkAhead(const base::OrganisationId &Organisation) const override;
  std::vector<QueuedCall> waiting() const override;
  Work totalWork() const override { return m_TotalWork; }
  std::size_t size() const override { return m_Size; }

private:
  /// The smallest key is served first. All waiting calls age at the same rate,
  /// so their order doesn't change and the key can be computed when the call
  /// arrives.
  struct PriorityKey {
    Work m_Value = 0.0;
    CallNumber m_Call = 0;
    auto operator<=>(const PriorityKey &) const = default;
  };
  struct OrganisationQueue {
    Work m_ChargedWork = 0.0;
    Work m_WaitingWork = 0.0;
    std::map<PriorityKey, QueuedCall> m_Waiting;
  };
  using OrganisationQueues =
      std::unordered_map<base::OrganisationId, OrganisationQueue>;
  using ActiveQueueKey = std::pair<Work, base::OrganisationId>;

  PriorityKey priorityKeyOf(const QueuedCall &Call) const;
  QueuedCall popAlarm();
  void removeCall(OrganisationQueue &Source,
                  std::map<PriorityKey, QueuedCall>::iterator Position);

  QueueOptions m_Options;
  std::size_t m_Size = 0;
  /// Charged work of the organisation served last, before it was charged for
  /// that call.
  Work m_VirtualTime = 0.0;
  Work m_AlarmWork = 0.0;
  Work m_TotalWork = 0.0;
  std::deque<QueuedCall> m_Alarms;
  OrganisationQueues m_Queues;
  std::set<ActiveQueueKey> m_ActiveQueues; ///< Queues with waiting calls.
  struct QueuePosition {
    base::OrganisationId m_Organisation;
    PriorityKey m_Key;
  };
  /// Of all calls except alarms.
  std::unordered_map<CallNumber, QueuePosition> m_Positions;
};

} // namespace psp::schedule

#endif
