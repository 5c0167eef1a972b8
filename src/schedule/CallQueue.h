/// \file
/// The queue of the calls of one service that wait for a free slot.

#ifndef PSP_SCHEDULE_CALLQUEUE_H
#define PSP_SCHEDULE_CALLQUEUE_H

#include "schedule/Calls.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace psp::schedule {

/// The properties of a waiting call that determine its position.
struct QueuedCall {
  CallNumber m_Call = 0;
  base::OrganisationId m_Organisation;
  CallClass m_Class = CallClass::Normal;
  Work m_EstimatedWork = 0.0;
  Work m_AttainedWork = 0.0; ///< Work done so far for the call's program.
  base::TimePoint m_EnqueuedAt;
  base::TimePoint m_ProgramStart; ///< When its program's first call arrived.
};

/// Waiting calls in the order of one queueing discipline. Every discipline
/// except FIFO serves alarms first.
class CallQueue {
public:
  virtual ~CallQueue() = default;

  virtual void push(const QueuedCall &Call) = 0;

  /// Removes and returns the next call, and charges its estimated work to its
  /// organisation.
  virtual std::optional<QueuedCall> pop() = 0;

  /// Returns whether the next pop() would return an alarm.
  virtual bool nextIsAlarm() const = 0;

  /// Removes a call from any position. Returns false if it isn't queued.
  virtual bool remove(CallNumber Call) = 0;

  /// Adds \p Difference to an organisation's charge, once the actual work of a
  /// popped call is known.
  virtual void correct(const base::OrganisationId &Organisation,
                       Work Difference) = 0;

  /// The queued call to refuse in favour of \p NewCall when the queue is full.
  /// Empty if \p NewCall itself is to be refused.
  virtual std::optional<CallNumber>
  victimFor(const QueuedCall &NewCall) const = 0;

  /// Estimated work that would be served before a call of \p Organisation that
  /// is pushed now.
  virtual Work
  queuedWorkAhead(const base::OrganisationId &Organisation) const = 0;

  /// Estimated work of all waiting calls.
  virtual Work totalWork() const = 0;

  /// All waiting calls, in no particular order.
  virtual std::vector<QueuedCall> waiting() const = 0;

  virtual std::size_t size() const = 0;
};

enum class QueueOrder { Fair, Fifo, RoundRobin };

struct QueueOptions {
  QueueOrder m_Order = QueueOrder::Fair;
  /// One second of age compensates for this much attained work.
  Work m_AgeingWorkPerSecond = 2000.0;
  bool m_AgeFromProgramStart = true; ///< If false, from the call's arrival.
};

std::unique_ptr<CallQueue> makeCallQueue(const QueueOptions &Options);

} // namespace psp::schedule

#endif
