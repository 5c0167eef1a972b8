/// \file
/// The order in which waiting calls of one service get free slots.

#ifndef PSP_SCHEDULE_CALLQUEUE_H
#define PSP_SCHEDULE_CALLQUEUE_H

#include "schedule/Calls.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace psp::schedule {

/// What an order is made from.
struct QueuedCall {
  CallNumber m_Call = 0;
  base::OrganisationId m_Organisation;
  CallClass m_Class = CallClass::Normal;
  Work m_Work = 0.0;     ///< Estimated.
  Work m_Attained = 0.0; ///< Work that its program has got so far.
  base::TimePoint m_EnqueuedAt;
  base::TimePoint m_ProgramStart; ///< When its program's first call came.
};

/// Waiting calls in some order. Alarms go first in each order but first-come.
class CallQueue {
public:
  virtual ~CallQueue() = default;

  virtual void push(const QueuedCall &Call) = 0;

  /// Takes the next call out and charges its organisation with its work.
  virtual std::optional<QueuedCall> pop() = 0;

  /// Does pop() return an alarm?
  virtual bool nextIsAlarm() const = 0;

  /// Takes a call out wherever it stands; false: it isn't here.
  virtual bool remove(CallNumber Call) = 0;

  /// Corrects the charge of a call that was popped, when its real work is
  /// known.
  virtual void correct(const base::OrganisationId &Organisation,
                       Work Difference) = 0;

  /// The call to refuse in favour of \p Newcomer when there is no room for
  /// both; none: the newcomer itself.
  virtual std::optional<CallNumber>
  victimFor(const QueuedCall &Newcomer) const = 0;

  /// Estimated work that is served before a call of \p Organisation that
  /// would be pushed now.
  virtual Work workAhead(const base::OrganisationId &Organisation) const = 0;

  /// Estimated work of all waiting calls.
  virtual Work totalWork() const = 0;

  /// All waiting calls, in no particular order.
  virtual std::vector<QueuedCall> waiting() const = 0;

  virtual std::size_t size() const = 0;
};

enum class QueueOrder { Fair, FirstCome, RoundRobin };

struct QueueOptions {
  QueueOrder m_Order = QueueOrder::Fair;
  /// One second of age outweighs this much attained work.
  Work m_AgeingPerSecond = 2000.0;
  bool m_AgeFromProgramStart = true; ///< Otherwise from the call's arrival.
};

std::unique_ptr<CallQueue> makeCallQueue(const QueueOptions &Options);

} // namespace psp::schedule

#endif
