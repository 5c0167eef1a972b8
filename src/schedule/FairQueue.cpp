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
  m_TotalWork += Call.m_Work;
  if (Call.m_Class == CallClass::Alarm) {
    m_Alarms.push_back(Call);
    m_AlarmWork += Call.m_Work;
    return;
  }
  Lane &Target = m_Lanes[Call.m_Organisation];
  if (Target.m_Waiting.empty()) {
    Target.m_Charged = std::max(Target.m_Charged, m_LastCharged);
    m_Active.emplace(Target.m_Charged, Call.m_Organisation);
  }
  const Rank Position = rankOf(Call);
  const bool Added = Target.m_Waiting.emplace(Position, Call).second;
  base::checkInvariant(Added, "a call was queued twice");
  Target.m_WaitingWork += Call.m_Work;
  m_Places.insert_or_assign(
      Call.m_Call,
      Place{.m_Organisation = Call.m_Organisation, .m_Rank = Position});
}

std::optional<QueuedCall> FairQueue::pop() {
  if (!m_Alarms.empty())
    return popAlarm();
  if (m_Active.empty())
    return std::nullopt;
  const auto First = m_Active.begin();
  const base::OrganisationId Organisation = First->second;
  Lane &Source = m_Lanes.at(Organisation);
  base::checkInvariant(!Source.m_Waiting.empty(), "an active lane was empty");
  m_Active.erase(First);
  m_LastCharged = std::max(m_LastCharged, Source.m_Charged);
  QueuedCall Result = Source.m_Waiting.begin()->second;
  takeOut(Source, Source.m_Waiting.begin());
  Source.m_Charged += Result.m_Work;
  if (!Source.m_Waiting.empty())
    m_Active.emplace(Source.m_Charged, Organisation);
  return Result;
}

bool FairQueue::remove(CallNumber Call) {
  const auto Known = m_Places.find(Call);
  if (Known == m_Places.end()) {
    const auto Alarm =
        std::find_if(m_Alarms.begin(), m_Alarms.end(),
                     [Call](const auto &Each) { return Each.m_Call == Call; });
    if (Alarm == m_Alarms.end())
      return false;
    m_AlarmWork -= Alarm->m_Work;
    m_TotalWork -= Alarm->m_Work;
    m_Alarms.erase(Alarm);
    --m_Size;
    return true;
  }
  const Place Position = Known->second;
  Lane &Source = m_Lanes.at(Position.m_Organisation);
  takeOut(Source, Source.m_Waiting.find(Position.m_Rank));
  if (Source.m_Waiting.empty())
    m_Active.erase({Source.m_Charged, Position.m_Organisation});
  return true;
}

void FairQueue::correct(const base::OrganisationId &Organisation,
                        Work Difference) {
  const auto Known = m_Lanes.find(Organisation);
  if (Known == m_Lanes.end())
    return;
  Lane &Target = Known->second;
  const bool Active = !Target.m_Waiting.empty();
  if (Active)
    m_Active.erase({Target.m_Charged, Organisation});
  Target.m_Charged += Difference;
  if (Active)
    m_Active.emplace(Target.m_Charged, Organisation);
}

std::optional<CallNumber>
FairQueue::victimFor(const QueuedCall &Newcomer) const {
  const Lane *Longest = nullptr;
  for (const ActiveKey &Each : m_Active) {
    const Lane &Candidate = m_Lanes.at(Each.second);
    if (Longest == nullptr ||
        Candidate.m_Waiting.size() > Longest->m_Waiting.size())
      Longest = &Candidate;
  }
  if (Longest == nullptr)
    return std::nullopt;
  const auto Own = m_Lanes.find(Newcomer.m_Organisation);
  const std::size_t OwnLength =
      Own == m_Lanes.end() ? 0 : Own->second.m_Waiting.size();
  const bool Alarm = Newcomer.m_Class == CallClass::Alarm;
  if (!Alarm && Longest->m_Waiting.size() <= OwnLength + 1)
    return std::nullopt;
  return Longest->m_Waiting.rbegin()->second.m_Call;
}

Work FairQueue::workAhead(const base::OrganisationId &Organisation) const {
  const auto Own = m_Lanes.find(Organisation);
  const Work OwnWork = Own == m_Lanes.end() ? 0.0 : Own->second.m_WaitingWork;
  const bool Waits = OwnWork > 0.0;
  // Meanwhile each other organisation gets as much as this one, if it has it.
  Work Sum = m_AlarmWork + OwnWork;
  for (const ActiveKey &Each : m_Active) {
    if (Waits && Each.second == Organisation)
      continue;
    Sum += std::min(OwnWork, m_Lanes.at(Each.second).m_WaitingWork);
  }
  return Sum;
}

std::vector<QueuedCall> FairQueue::waiting() const {
  std::vector<QueuedCall> Result(m_Alarms.begin(), m_Alarms.end());
  for (const ActiveKey &Each : m_Active) {
    for (const auto &[Position, Call] : m_Lanes.at(Each.second).m_Waiting)
      Result.push_back(Call);
  }
  return Result;
}

FairQueue::Rank FairQueue::rankOf(const QueuedCall &Call) const {
  const base::TimePoint Born =
      m_Options.m_AgeFromProgramStart ? Call.m_ProgramStart : Call.m_EnqueuedAt;
  return {.m_Value =
              Call.m_Attained + m_Options.m_AgeingPerSecond * secondsOf(Born),
          .m_Call = Call.m_Call};
}

QueuedCall FairQueue::popAlarm() {
  QueuedCall Result = m_Alarms.front();
  m_Alarms.pop_front();
  m_AlarmWork -= Result.m_Work;
  m_TotalWork -= Result.m_Work;
  --m_Size;
  return Result;
}

void FairQueue::takeOut(Lane &Source,
                        std::map<Rank, QueuedCall>::iterator Position) {
  base::checkInvariant(Position != Source.m_Waiting.end(),
                       "a waiting call was not in its lane");
  Source.m_WaitingWork =
      std::max(0.0, Source.m_WaitingWork - Position->second.m_Work);
  m_TotalWork -= Position->second.m_Work;
  m_Places.erase(Position->second.m_Call);
  Source.m_Waiting.erase(Position);
  --m_Size;
}

} // namespace psp::schedule
