#include "schedule/ProgramTable.h"

#include "base/Error.h"

#include <algorithm>
#include <utility>

namespace psp::schedule {

void ProgramTable::noteArrival(const base::ProgramId &Id,
                               base::TimePoint Time) {
  const auto [Position, New] = m_Programs.try_emplace(Id);
  ++Position->second.m_Calls;
  if (New)
    Position->second.m_Start = Time;
}

base::TimePoint ProgramTable::start(const base::ProgramId &Id) const {
  return m_Programs.at(Id).m_Start;
}

Work ProgramTable::attained(const base::ProgramId &Id) const {
  const auto Known = m_Programs.find(Id);
  return Known == m_Programs.end() ? 0.0 : Known->second.m_Attained;
}

const HeldPrefix *ProgramTable::heldPrefix(const base::ProgramId &Id) const {
  const auto Known = m_Programs.find(Id);
  if (Known == m_Programs.end() || Known->second.m_Held.m_Endpoint.empty())
    return nullptr;
  return &Known->second.m_Held;
}

void ProgramTable::noteSent(const base::ProgramId &Id,
                            const base::EndpointId &Endpoint) {
  auto &Known = m_Programs.at(Id).m_Endpoints;
  if (std::find(Known.begin(), Known.end(), Endpoint) == Known.end())
    Known.push_back(Endpoint);
}

void ProgramTable::addWork(const base::ProgramId &Id, Work Done) {
  m_Programs.at(Id).m_Attained += Done;
}

void ProgramTable::noteGone(const base::ProgramId &Id) {
  Program &Target = m_Programs.at(Id);
  base::checkInvariant(Target.m_Calls > 0,
                       "a program's call ended that never came");
  --Target.m_Calls;
  releaseIfDone(Id);
}

void ProgramTable::noteHeld(const base::ProgramId &Id,
                            const base::EndpointId &Endpoint, double Tokens) {
  const auto Known = m_Programs.find(Id);
  if (Known == m_Programs.end())
    return;
  Known->second.m_Held = {.m_Endpoint = Endpoint, .m_Tokens = Tokens};
}

void ProgramTable::end(const base::ProgramId &Id) {
  const auto Known = m_Programs.find(Id);
  if (Known == m_Programs.end())
    return;
  Known->second.m_Ended = true;
  releaseIfDone(Id);
}

std::vector<ProgramTable::ProgramEndpoint> ProgramTable::takeReleases() {
  return std::exchange(m_Releases, {});
}

void ProgramTable::releaseIfDone(const base::ProgramId &Id) {
  const auto Known = m_Programs.find(Id);
  const Program &Target = Known->second;
  if (!Target.m_Ended || Target.m_Calls > 0)
    return;
  for (const base::EndpointId &Each : Target.m_Endpoints)
    m_Releases.push_back({.m_Program = Id, .m_Endpoint = Each});
  m_Programs.erase(Known);
}

} // namespace psp::schedule
