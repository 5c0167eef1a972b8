#include "fleet/EndpointDirectory.h"

#include <algorithm>

namespace psp::fleet {

namespace {

using messages::fleet::PHASE_DRAINING;
using messages::fleet::PHASE_GONE;

/// Whether \p Update belongs to a later start of the endpoint, or to the same
/// start with a higher sequence number.
bool isNewer(const EndpointState &Update, const EndpointState &Current) {
  if (Update.born() != Current.born())
    return Update.born() > Current.born();
  return Update.sequence() > Current.sequence();
}

/// Compares the fields that other nodes act on. A new sequence number alone is
/// not worth a message.
bool differs(const EndpointState &Left, const EndpointState &Right) {
  return Left.born() != Right.born() || Left.service() != Right.service() ||
         Left.address() != Right.address() || Left.phase() != Right.phase() ||
         Left.slots() != Right.slots() || Left.silent() != Right.silent() ||
         Left.software() != Right.software();
}

base::TimePoint coldUntil(const EndpointState &Update, base::TimePoint Now) {
  return Update.cold_left_ms() == 0
             ? base::TimePoint()
             : Now + base::milliseconds(Update.cold_left_ms());
}

} // namespace

bool EndpointDirectory::merge(const EndpointState &Update, bool Direct,
                              base::TimePoint Now) {
  const base::TimePoint ColdUntil = coldUntil(Update, Now);
  const auto It = m_Entries.find(Update.id());
  if (It == m_Entries.end()) {
    m_LastColdUntil = std::max(m_LastColdUntil, ColdUntil);
    markEarlierAtAddressRemoved(Update);
    m_Entries[Update.id()] = {.m_State = Update,
                              .m_UpdatedAt = Now,
                              .m_ColdUntil = ColdUntil,
                              .m_Direct = Direct};
    return true;
  }
  DirectoryEntry &Entry = It->second;
  const bool SameStart = Entry.m_State.born() == Update.born();
  if (!isNewer(Update, Entry.m_State)) {
    // A change to a later phase counts even in an older update: an instance
    // that learns of the departure from the endpoint itself may have only an
    // early update of it, and a start never returns to an earlier phase.
    const bool PhaseAdvanced =
        SameStart && Update.phase() > Entry.m_State.phase();
    const bool SameSequence =
        SameStart && Entry.m_State.sequence() == Update.sequence();
    const bool BecameInactive =
        SameSequence && Update.silent() && !Entry.m_State.silent();
    if (PhaseAdvanced)
      Entry.m_State.set_phase(Update.phase());
    if (BecameInactive)
      Entry.m_State.set_silent(true);
    return PhaseAdvanced || BecameInactive;
  }
  EndpointState Next = Update;
  // One start never returns to an earlier phase after draining or removal.
  if (SameStart)
    Next.set_phase(std::max(Update.phase(), Entry.m_State.phase()));
  const bool ColdChanged =
      std::max(ColdUntil, Now) - std::max(Entry.m_ColdUntil, Now) >
          m_Options.m_ColdTolerance ||
      std::max(Entry.m_ColdUntil, Now) - std::max(ColdUntil, Now) >
          m_Options.m_ColdTolerance;
  // Otherwise small differences would add up to one that others aren't told of.
  if (ColdChanged || !SameStart)
    Entry.m_ColdUntil = ColdUntil;
  m_LastColdUntil = std::max(m_LastColdUntil, Entry.m_ColdUntil);
  const bool Different = differs(Next, Entry.m_State);
  const bool Changed = Different || ColdChanged;
  if (Different)
    markEarlierAtAddressRemoved(Next);
  Entry.m_State = Next;
  Entry.m_MisdirectedAt.reset();
  Entry.m_UpdatedAt = Now;
  Entry.m_Direct = Entry.m_Direct || Direct;
  return Changed;
}

void EndpointDirectory::markEarlierAtAddressRemoved(
    const EndpointState &Update) {
  for (auto &[Id, Entry] : m_Entries)
    if (Id != Update.id() && Entry.m_State.address() == Update.address() &&
        Entry.m_State.born() < Update.born())
      Entry.m_State.set_phase(PHASE_GONE);
}

bool EndpointDirectory::markDraining(const std::string &Id,
                                     std::uint64_t StartTime,
                                     base::TimePoint Now) {
  const auto It = m_Entries.find(Id);
  if (It == m_Entries.end() || It->second.m_State.born() != StartTime ||
      It->second.m_State.phase() >= PHASE_DRAINING)
    return false;
  It->second.m_State.set_phase(PHASE_DRAINING);
  It->second.m_UpdatedAt = Now;
  return true;
}

bool EndpointDirectory::markRemoved(const std::string &Id,
                                    base::TimePoint Now) {
  const auto It = m_Entries.find(Id);
  if (It == m_Entries.end() || It->second.m_State.phase() == PHASE_GONE)
    return false;
  It->second.m_State.set_phase(PHASE_GONE);
  It->second.m_UpdatedAt = Now;
  return true;
}

bool EndpointDirectory::markMisdirected(const std::string &Id,
                                        std::uint64_t StartTime,
                                        base::TimePoint Now) {
  const auto It = m_Entries.find(Id);
  if (It == m_Entries.end() || It->second.m_State.born() != StartTime ||
      It->second.m_MisdirectedAt)
    return false;
  It->second.m_MisdirectedAt = Now;
  return true;
}

void EndpointDirectory::reinstateMisdirected(base::TimePoint Now) {
  for (auto &[Id, Entry] : m_Entries)
    if (Entry.m_MisdirectedAt && !Entry.m_State.silent() &&
        Now - *Entry.m_MisdirectedAt >= m_Options.m_MisdirectedTime)
      Entry.m_MisdirectedAt.reset();
}

std::vector<EndpointState> EndpointDirectory::expire(base::TimePoint Now) {
  std::vector<EndpointState> Inactive;
  for (auto &[Id, Entry] : m_Entries) {
    const bool TimedOut =
        Now - Entry.m_UpdatedAt > m_Options.m_InactivityTimeout;
    if (!TimedOut || Entry.m_State.silent() ||
        Entry.m_State.phase() == PHASE_GONE)
      continue;
    Entry.m_State.set_silent(true);
    Inactive.push_back(Entry.m_State);
  }
  std::erase_if(m_Entries, [&](const auto &Entry) {
    const EndpointState &State = Entry.second.m_State;
    const bool Expirable = State.silent() || State.phase() == PHASE_GONE;
    return Expirable &&
           Now - Entry.second.m_UpdatedAt > m_Options.m_RetentionTime;
  });
  return Inactive;
}

const EndpointState *EndpointDirectory::find(const std::string &Id) const {
  const auto It = m_Entries.find(Id);
  return It == m_Entries.end() ? nullptr : &It->second.m_State;
}

bool EndpointDirectory::isUsable(const std::string &Id,
                                 std::uint64_t StartTime) const {
  const auto It = m_Entries.find(Id);
  return It != m_Entries.end() && It->second.m_State.born() == StartTime &&
         isUsable(It->second);
}

bool EndpointDirectory::mergeEvacuations(
    const messages::fleet::ConfigurationUpdate &Update, base::TimePoint Now) {
  const EvacuatedDataCentres Before = m_Evacuated;
  if (!m_Evacuated.merge(Update))
    return false;
  for (auto &[Id, Entry] : m_Entries) {
    const std::string &DataCentre = Entry.m_State.data_centre();
    if (!Before.contains(DataCentre) || m_Evacuated.contains(DataCentre))
      continue;
    Entry.m_ColdUntil =
        std::max(Entry.m_ColdUntil, Now + m_Options.m_TakenBackColdTime);
    m_LastColdUntil = std::max(m_LastColdUntil, Entry.m_ColdUntil);
  }
  return true;
}

bool EndpointDirectory::hasEvacuated(const std::string &Service,
                                     const std::string &Software) const {
  return !m_Evacuated.empty() &&
         std::ranges::any_of(m_Entries, [&](const auto &Entry) {
           const EndpointState &State = Entry.second.m_State;
           return State.service() == Service &&
                  State.phase() == messages::fleet::PHASE_READY &&
                  !Entry.second.m_MisdirectedAt &&
                  (Software.empty() || State.software() == Software) &&
                  m_Evacuated.contains(State.data_centre());
         });
}

base::Duration EndpointDirectory::coldTimeLeft(const std::string &Id,
                                               base::TimePoint Now) const {
  const auto It = m_Entries.find(Id);
  return It == m_Entries.end() ? base::Duration(0)
                               : std::max(It->second.m_ColdUntil, Now) - Now;
}

bool EndpointDirectory::isCold(const std::string &Id,
                               base::TimePoint Now) const {
  const auto It = m_Entries.find(Id);
  return It != m_Entries.end() && It->second.m_ColdUntil != base::TimePoint() &&
         Now < It->second.m_ColdUntil + m_Options.m_ColdMargin;
}

std::vector<EndpointState> EndpointDirectory::all(base::TimePoint Now) const {
  std::vector<EndpointState> States;
  for (const auto &[Id, Entry] : m_Entries) {
    States.push_back(Entry.m_State);
    States.back().set_cold_left_ms(
        base::wholeMilliseconds(coldTimeLeft(Id, Now)));
  }
  return States;
}

void listEndpoints(const messages::fleet::FindEndpoints &Wanted,
                   const EndpointDirectory &Endpoints, base::TimePoint Now,
                   messages::fleet::Reply &Result) {
  for (const EndpointState &Endpoint : Endpoints.all(Now))
    if (Endpoint.service() == Wanted.service() &&
        (Wanted.endpoint().empty() || Endpoint.id() == Wanted.endpoint()))
      *Result.add_endpoints() = Endpoint;
}

} // namespace psp::fleet
