#include "schedule/FairQueue.h"

#include "base/Error.h"

#include <algorithm>

namespace psp::schedule {
namespace {

double secondsOf(base::TimePoint Time) {
  return std::chrono::duration<double>(Time.time_since_epoch()).count();
}

} // namespace

FairQueue::FairQueue(const QueueOptions &Options) : m_Options(Options) {}

void FairQueue::push(const QueuedCall &Call) {
  ++m_Size;
  m_TotalWork += Call.m_EstimatedWork;
  if (Call.m_Class == CallClass::Alarm) {
    m_Alarms.push_back(Call);
    m_AlarmWork += Call.m_EstimatedWork;
    return;
  }
  OrganisationQueue &Target = m_Queues[Call.m_Organisation];
  if (Target.m_Waiting.empty()) {
    Target.m_ChargedWork = std::max(Target.m_ChargedWork, m_VirtualTime);
    m_ActiveQueues.emplace(Target.m_ChargedWork, Call.m_Organisation);
  }
  const PriorityKey Key = priorityKeyOf(Call);
  const bool Added = Target.m_Waiting.emplace(Key, Call).second;
  base::checkInvariant(Added, "a call is already queued");
  Target.m_WaitingWork += Call.m_EstimatedWork;
  m_Positions.insert_or_assign(
      Call.m_Call,
      QueuePosition{.m_Organisation = Call.m_Organisation, .m_Key = Key});
}

std::optional<QueuedCall> FairQueue::pop() {
  if (!m_Alarms.empty())
    return popAlarm();
  if (m_ActiveQueues.empty())
    return std::nullopt;
  const auto First = m_ActiveQueues.begin();
  const base::OrganisationId Organisation = First->second;
  OrganisationQueue &Source = m_Queues.at(Organisation);
  base::checkInvariant(!Source.m_Waiting.empty(),
                       "the queue of an active organisation is empty");
  m_ActiveQueues.erase(First);
  m_VirtualTime = std::max(m_VirtualTime, Source.m_ChargedWork);
  QueuedCall Result = Source.m_Waiting.begin()->second;
  removeCall(Source, Source.m_Waiting.begin());
  Source.m_ChargedWork += Result.m_EstimatedWork;
  if (!Source.m_Waiting.empty())
    m_ActiveQueues.emplace(Source.m_ChargedWork, Organisation);
  return Result;
}

bool FairQueue::remove(CallNumber Call) {
  const auto Entry = m_Positions.find(Call);
  if (Entry == m_Positions.end()) {
    const auto Alarm = std::find_if(
        m_Alarms.begin(), m_Alarms.end(),
        [Call](const auto &Waiting) { return Waiting.m_Call == Call; });
    if (Alarm == m_Alarms.end())
      return false;
    m_AlarmWork -= Alarm->m_EstimatedWork;
    m_TotalWork -= Alarm->m_EstimatedWork;
    m_Alarms.erase(Alarm);
    --m_Size;
    return true;
  }
  const QueuePosition Position = Entry->second;
  OrganisationQueue &Source = m_Queues.at(Position.m_Organisation);
  removeCall(Source, Source.m_Waiting.find(Position.m_Key));
  if (Source.m_Waiting.empty())
    m_ActiveQueues.erase({Source.m_ChargedWork, Position.m_Organisation});
  return true;
}

void FairQueue::correct(const base::OrganisationId &Organisation,
                        Work Difference) {
  const auto Entry = m_Queues.find(Organisation);
  if (Entry == m_Queues.end())
    return;
  OrganisationQueue &Target = Entry->second;
  const bool IsActive = !Target.m_Waiting.empty();
  if (IsActive)
    m_ActiveQueues.erase({Target.m_ChargedWork, Organisation});
  Target.m_ChargedWork += Difference;
  if (IsActive)
    m_ActiveQueues.emplace(Target.m_ChargedWork, Organisation);
}

std::optional<CallNumber>
FairQueue::victimFor(const QueuedCall &NewCall) const {
  const OrganisationQueue *LongestQueue = nullptr;
  for (const ActiveQueueKey &Active : m_ActiveQueues) {
    const OrganisationQueue &Candidate = m_Queues.at(Active.second);
    if (LongestQueue == nullptr ||
        Candidate.m_Waiting.size() > LongestQueue->m_Waiting.size())
      LongestQueue = &Candidate;
  }
  if (LongestQueue == nullptr)
    return std::nullopt;
  const auto Own = m_Queues.find(NewCall.m_Organisation);
  const std::size_t OwnLength =
      Own == m_Queues.end() ? 0 : Own->second.m_Waiting.size();
  const bool Alarm = NewCall.m_Class == CallClass::Alarm;
  if (!Alarm && LongestQueue->m_Waiting.size() <= OwnLength + 1)
    return std::nullopt;
  return LongestQueue->m_Waiting.rbegin()->second.m_Call;
}

Work FairQueue::queuedWorkAhead(
    const base::OrganisationId &Organisation) const {
  const auto Own = m_Queues.find(Organisation);
  const Work OwnWork = Own == m_Queues.end() ? 0.0 : Own->second.m_WaitingWork;
  const bool Waits = OwnWork > 0.0;
  // Until then each other organisation is served as much work as this one, up
  // to the work it has waiting.
  Work Sum = m_AlarmWork + OwnWork;
  for (const ActiveQueueKey &Active : m_ActiveQueues) {
    if (Waits && Active.second == Organisation)
      continue;
    Sum += std::min(OwnWork, m_Queues.at(Active.second).m_WaitingWork);
  }
  return Sum;
}

std::vector<QueuedCall> FairQueue::waiting() const {
  std::vector<QueuedCall> Result(m_Alarms.begin(), m_Alarms.end());
  for (const ActiveQueueKey &Active : m_ActiveQueues) {
    for (const auto &[Key, Call] : m_Queues.at(Active.second).m_Waiting)
      Result.push_back(Call);
  }
  return Result;
}

FairQueue::PriorityKey FairQueue::priorityKeyOf(const QueuedCall &Call) const {
  const base::TimePoint AgeStart =
      m_Options.m_AgeFromProgramStart ? Call.m_ProgramStart : Call.m_EnqueuedAt;
  return {.m_Value = Call.m_AttainedWork +
                     m_Options.m_AgeingWorkPerSecond * secondsOf(AgeStart),
          .m_Call = Call.m_Call};
}

QueuedCall FairQueue::popAlarm() {
  QueuedCall Result = m_Alarms.front();
  m_Alarms.pop_front();
  m_AlarmWork -= Result.m_EstimatedWork;
  m_TotalWork -= Result.m_EstimatedWork;
  --m_Size;
  return Result;
}

void FairQueue::removeCall(
    OrganisationQueue &Source,
    std::map<PriorityKey, QueuedCall>::iterator Position) {
  base::checkInvariant(
      Position != Source.m_Waiting.end(),
      "a waiting call is missing from the queue of its organisation");
  Source.m_WaitingWork =
      std::max(0.0, Source.m_WaitingWork - Position->second.m_EstimatedWork);
  m_TotalWork -= Position->second.m_EstimatedWork;
  m_Positions.erase(Position->second.m_Call);
  Source.m_Waiting.erase(Position);
  --m_Size;
}

} // namespace psp::schedule
