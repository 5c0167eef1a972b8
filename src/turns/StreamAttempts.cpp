#include "turns/StreamAttempts.h"

#include <algorithm>
#include <utility>

namespace psp::turns {

namespace {

std::string keyOf(const std::string &Organisation, const std::string &Stream) {
  return Organisation + '\0' + Stream;
}

} // namespace

void StreamAttempts::begin(const std::string &Organisation,
                           const std::string &Stream, StreamAttempt Begun,
                           std::uint64_t ExpiresMs) {
  const Key StreamKey = keyOf(Organisation, Stream);
  auto It = m_Streams.find(StreamKey);
  if (It == m_Streams.end()) {
    std::size_t &Count = m_CountByOrganisation[Organisation];
    if (Count >= m_Options.m_MaxPerOrganisation)
      return;
    ++Count;
    It = m_Streams.try_emplace(StreamKey).first;
    It->second.m_Organisation = Organisation;
    It->second.m_ExpiresMs = ExpiresMs;
    m_Expiry.add(StreamKey, ExpiresMs);
  }
  auto &Found = It->second;
  Found.m_ExpiresMs = std::max(Found.m_ExpiresMs, ExpiresMs);
  const bool IsKnown =
      std::ranges::any_of(Found.m_Attempts, [&](const StreamAttempt &Each) {
        return Each.m_Name == Begun.m_Name;
      });
  if (IsKnown)
    return;
  // An attempt without a name never ends, so the events stay incomplete.
  if (Found.m_Attempts.size() >= m_Options.m_MaxPerStream)
    Begun = {};
  if (Found.m_Attempts.size() <= m_Options.m_MaxPerStream)
    Found.m_Attempts.push_back(std::move(Begun));
}

void StreamAttempts::end(const std::string &Organisation,
                         const std::string &Stream, const std::string &Name,
                         std::uint64_t Index, bool HasEvents) {
  const auto It = m_Streams.find(keyOf(Organisation, Stream));
  if (It == m_Streams.end() || Name.empty())
    return;
  for (StreamAttempt &Each : It->second.m_Attempts) {
    if (Each.m_Name != Name || Each.m_EndIndex > 0)
      continue;
    Each.m_EndIndex = Index;
    Each.m_HasEvents = HasEvents;
    if (HasEvents)
      m_EntryIndexes.insert(Index);
  }
}

std::optional<RecordedEvents>
StreamAttempts::find(const std::string &Organisation, const std::string &Stream,
                     const std::string &UpToEvent, std::uint64_t NowMs) const {
  const auto It = m_Streams.find(keyOf(Organisation, Stream));
  if (It == m_Streams.end() || It->second.m_ExpiresMs < NowMs)
    return std::nullopt;
  RecordedEvents Result;
  for (const StreamAttempt &Each : It->second.m_Attempts) {
    // An attempt that runs after this event can't change what was before.
    if (Each.m_EndIndex == 0 && Each.m_AfterEvent != UpToEvent)
      Result.m_Incomplete = true;
    if (Each.m_HasEvents)
      Result.m_EntryIndexes.push_back(Each.m_EndIndex);
  }
  return Result;
}

std::optional<std::uint64_t> StreamAttempts::oldestEntry() const {
  return m_EntryIndexes.empty() ? std::nullopt
                                : std::optional(*m_EntryIndexes.begin());
}

void StreamAttempts::expire(std::uint64_t WallMs) {
  for (const Key &Due : m_Expiry.takeDue(WallMs)) {
    const auto It = m_Streams.find(Due);
    if (It == m_Streams.end())
      continue;
    if (It->second.m_ExpiresMs >= WallMs) {
      m_Expiry.add(Due, It->second.m_ExpiresMs);
      continue;
    }
    for (const StreamAttempt &Each : It->second.m_Attempts)
      if (Each.m_HasEvents)
        m_EntryIndexes.erase(Each.m_EndIndex);
    const auto Count = m_CountByOrganisation.find(It->second.m_Organisation);
    if (--Count->second == 0)
      m_CountByOrganisation.erase(Count);
    m_Streams.erase(It);
  }
}

void StreamAttempts::save(messages::fleet::TurnLedgerSnapshot &Snapshot) const {
  for (const auto &[StreamKey, Saved] : m_Streams)
    for (const StreamAttempt &Each : Saved.m_Attempts) {
      auto &Out = *Snapshot.add_stream_attempts();
      Out.set_organisation(Saved.m_Organisation);
      Out.set_stream(StreamKey.substr(Saved.m_Organisation.size() + 1));
      Out.set_attempt(Each.m_Name);
      Out.set_after_event(Each.m_AfterEvent);
      Out.set_entry(Each.m_EndIndex);
      Out.set_has_events(Each.m_HasEvents);
      Out.set_expires_ms(Saved.m_ExpiresMs);
    }
}

void StreamAttempts::load(const messages::fleet::TurnLedgerSnapshot &Snapshot) {
  m_Streams.clear();
  m_CountByOrganisation.clear();
  m_EntryIndexes.clear();
  m_Expiry.clear();
  for (const auto &Saved : Snapshot.stream_attempts()) {
    begin(Saved.organisation(), Saved.stream(),
          {.m_Name = Saved.attempt(), .m_AfterEvent = Saved.after_event()},
          Saved.expires_ms());
    if (Saved.entry() > 0)
      end(Saved.organisation(), Saved.stream(), Saved.attempt(), Saved.entry(),
          Saved.has_events());
  }
}

} // namespace psp::turns
