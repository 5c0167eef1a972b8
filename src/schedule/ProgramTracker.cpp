#include "schedule/ProgramTracker.h"

#include "base/Error.h"

#include <algorithm>
#include <utility>

namespace psp::schedule {

void ProgramTracker::noteCallArrived(const base::ProgramId &Id,
                                     base::TimePoint Time) {
  const auto [Position, New] = m_Programs.try_emplace(Id);
  ++Position->second.m_Calls;
  if (New)
    Position->second.m_StartTime = Time;
}

base::TimePoint ProgramTracker::startTime(const base::ProgramId &Id) const {
  return m_Programs.at(Id).m_StartTime;
}

Work ProgramTracker::attainedWork(const base::ProgramId &Id) const {
  const auto Position = m_Programs.find(Id);
  return Position == m_Programs.end() ? 0.0 : Position->second.m_AttainedWork;
}

const CachedPrefix *
ProgramTracker::cachedPrefix(const base::ProgramId &Id) const {
  const auto Position = m_Programs.find(Id);
  if (Position == m_Programs.end() ||
      Position->second.m_CachedPrefix.m_Endpoint.empty())
    return nullptr;
  return &Position->second.m_CachedPrefix;
}

void ProgramTracker::noteCallSent(const base::ProgramId &Id,
                                  const base::EndpointId &Endpoint) {
  auto &Endpoints = m_Programs.at(Id).m_Endpoints;
  if (std::find(Endpoints.begin(), Endpoints.end(), Endpoint) ==
      Endpoints.end())
    Endpoints.push_back(Endpoint);
}

void ProgramTracker::addWork(const base::ProgramId &Id, Work FinishedWork) {
  m_Programs.at(Id).m_AttainedWork += FinishedWork;
}

void ProgramTracker::noteCallEnded(const base::ProgramId &Id) {
  Program &Target = m_Programs.at(Id);
  base::checkInvariant(Target.m_Calls > 0,
                       "a call ended for a program that has no active call");
  --Target.m_Calls;
  releaseIfEnded(Id);
}

void ProgramTracker::notePrefixCached(const base::ProgramId &Id,
                                      const base::EndpointId &Endpoint,
                                      double Tokens) {
  const auto Position = m_Programs.find(Id);
  if (Position == m_Programs.end())
    return;
  Position->second.m_CachedPrefix = {.m_Endpoint = Endpoint,
                                     .m_Tokens = Tokens};
}

void ProgramTracker::endProgram(const base::ProgramId &Id) {
  const auto Position = m_Programs.find(Id);
  if (Position == m_Programs.end())
    return;
  Position->second.m_Ended = true;
  releaseIfEnded(Id);
}

std::vector<ProgramTracker::ProgramEndpoint> ProgramTracker::takeReleases() {
  return std::exchange(m_Releases, {});
}

void ProgramTracker::releaseIfEnded(const base::ProgramId &Id) {
  const auto Position = m_Programs.find(Id);
  const Program &Target = Position->second;
  if (!Target.m_Ended || Target.m_Calls > 0)
    return;
  for (const base::EndpointId &Endpoint : Target.m_Endpoints)
    m_Releases.push_back({.m_Program = Id, .m_Endpoint = Endpoint});
  m_Programs.erase(Position);
}

} // namespace psp::schedule
