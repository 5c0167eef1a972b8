#include "turns/TurnLedger.h"

#include "messages/Parse.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace psp::turns {

namespace {

std::string keyOf(const std::string &Organisation, const std::string &Name) {
  std::string Key;
  Key.reserve(Organisation.size() + 1 + Name.size());
  Key += Organisation;
  Key += '\0';
  Key += Name;
  return Key;
}

/// Calls \p OnRemove with each value that is removed.
template <typename Map, typename Function>
void removeExpired(Map &Values, ExpiryQueue &Expiry, std::uint64_t WallMs,
                   Function OnRemove) {
  for (const std::string &Key : Expiry.takeDue(WallMs)) {
    const auto It = Values.find(Key);
    if (It == Values.end())
      continue;
    if (It->second.m_ExpiresMs < WallMs) {
      OnRemove(It->second);
      Values.erase(It);
    } else {
      Expiry.add(Key, It->second.m_ExpiresMs);
    }
  }
}

} // namespace

void TurnLedger::apply(std::uint64_t Index,
                       const messages::fleet::HistoryCommand &Command,
                       std::uint64_t WallMs) {
  expire(WallMs);
  if (Command.has_begin())
    begin(Command.begin(), WallMs);
  else if (Command.has_end())
    end(Index, Command.end(), WallMs);
  else if (Command.has_adopt())
    adopt(Index, Command.adopt(), WallMs);
  else if (Command.has_adopt_part())
    adoptPart(Index, Command.adopt_part(), WallMs);
  else if (Command.has_stream())
    m_Streams.record(
        Command.stream().organisation(), Command.stream().stream(),
        {.m_Software = Command.stream().software(), .m_RecordedMs = WallMs},
        WallMs + Command.stream().retention_ms());
  else if (Command.has_service_version())
    m_ServiceVersions.record(Command.service_version().service(),
                             Command.service_version().software(),
                             WallMs + Command.service_version().retention_ms());
}

void TurnLedger::begin(const BeginTurn &Command, std::uint64_t WallMs) {
  const bool Continues = !Command.previous().empty();
  if (Continues && !hasChain(Command.organisation(), Command.previous())) {
    m_LastBeginOutcome = BeginOutcome::NoSuchTurn;
    return;
  }
  if (!Command.resumes().empty() &&
      !m_Streams.find(Command.organisation(), Command.resumes())) {
    m_LastBeginOutcome = BeginOutcome::StreamUnknown;
    return;
  }
  m_LastBeginOutcome = reserve(Command, WallMs);
  if (m_LastBeginOutcome != BeginOutcome::Granted)
    return;
  if (Continues)
    extendChain(keyOf(Command.organisation(), Command.previous()),
                latestEndMs(Command, WallMs));
  recordVersion(Command, WallMs);
  if (Command.records_events())
    m_StreamAttempts.begin(
        Command.organisation(),
        Command.after_event().empty() ? Command.turn() : Command.resumes(),
        {.m_Name = Command.turn(), .m_AfterEvent = Command.after_event()},
        WallMs + Command.stream_retention_ms());
}

std::uint64_t TurnLedger::latestEndMs(const BeginTurn &Command,
                                      std::uint64_t WallMs) const {
  const std::uint64_t TurnTimeMs = Command.time_left_ms() > 0
                                       ? Command.time_left_ms()
                                       : m_Options.m_DefaultTurnTimeMs;
  return WallMs + TurnTimeMs + m_Options.m_TurnGraceMs;
}

/// A stream that takes up another one is of that one's version.
void TurnLedger::recordVersion(const BeginTurn &Command, std::uint64_t WallMs) {
  const std::uint64_t ExpiresMs = WallMs + Command.stream_retention_ms();
  StreamVersion Version = {.m_Software = Command.software(),
                           .m_RecordedMs = WallMs};
  if (const StreamVersion *Earlier =
          m_Streams.find(Command.organisation(), Command.resumes())) {
    Version.m_Software = Earlier->m_Software;
    m_Streams.extend(Command.organisation(), Command.resumes(), ExpiresMs);
  }
  if (Command.stream_retention_ms() > 0)
    m_Streams.record(Command.organisation(), Command.turn(), std::move(Version),
                     ExpiresMs);
}

TurnLedger::ProgramState &
TurnLedger::findOrAddProgram(const std::string &Organisation,
                             const std::string &Program,
                             std::uint64_t ExpiresMs) {
  const Key ProgramKey = keyOf(Organisation, Program);
  const auto [It, IsNew] = m_Programs.try_emplace(ProgramKey);
  ProgramState &State = It->second;
  State.m_ExpiresMs = std::max(State.m_ExpiresMs, ExpiresMs);
  if (IsNew)
    m_ProgramExpiry.add(ProgramKey, ExpiresMs);
  return State;
}

BeginOutcome TurnLedger::reserve(const BeginTurn &Command,
                                 std::uint64_t WallMs) {
  ProgramState &State =
      findOrAddProgram(Command.organisation(), Command.program(),
                       WallMs + Command.time_left_ms() +
                           Command.retention_ms() + m_Options.m_ProgramGraceMs);
  if (State.m_Reserved.contains(Command.turn()))
    return BeginOutcome::Granted;
  if (State.m_Ended.contains(Command.turn()))
    return BeginOutcome::AlreadyEnded;
  std::uint64_t Committed = State.m_Spent;
  for (const auto &[Turn, Tokens] : State.m_Reserved)
    Committed += Tokens;
  if (Command.budget() > 0 && Committed + Command.most() > Command.budget())
    return BeginOutcome::BudgetSpent;
  State.m_Reserved[Command.turn()] = Command.most();
  return BeginOutcome::Granted;
}

void TurnLedger::end(std::uint64_t Index, const EndTurn &Command,
                     std::uint64_t WallMs) {
  ProgramState &State = findOrAddProgram(
      Command.organisation(), Command.program(),
      WallMs + Command.retention_ms() + m_Options.m_ProgramGraceMs);
  if (!State.m_Ended.insert(Command.turn()).second) {
    // A turn that has been retained is not retained again without its text.
    if (Command.keep())
      extendChain(keyOf(Command.organisation(), Command.turn()),
                  WallMs + Command.retention_ms());
    return;
  }
  State.m_Reserved.erase(Command.turn());
  State.m_Spent += Command.tokens();
  if (!Command.stream().empty())
    m_StreamAttempts.end(Command.organisation(), Command.stream(),
                         Command.turn(), Index, Command.events_size() > 0);
  if (Command.keep())
    retain(Index, Command, WallMs);
}

void TurnLedger::retain(std::uint64_t Index, const EndTurn &Command,
                        std::uint64_t WallMs) {
  // Later turns would run without the part of the chain that is missing.
  const bool IsTextWhole = Command.after_event().empty();
  if (!IsTextWhole || (!Command.previous().empty() &&
                       !hasChain(Command.organisation(), Command.previous())))
    return;
  const std::uint64_t ExpiresMs = WallMs + Command.retention_ms();
  const Key TurnKey = keyOf(Command.organisation(), Command.turn());
  const Key Previous = Command.previous().empty()
                           ? Key()
                           : keyOf(Command.organisation(), Command.previous());
  storeTurn(TurnKey, {.m_Previous = Previous,
                      .m_EntryIndex = Index,
                      .m_TextBytes = Command.text().size(),
                      .m_ExpiresMs = ExpiresMs});
  extendChain(Previous, ExpiresMs);
}

/// No turn expires before the turns that continue from it, so the walk ends at
/// the first one that is retained long enough.
void TurnLedger::extendChain(const Key &TurnKey, std::uint64_t ExpiresMs) {
  for (auto It = m_Turns.find(TurnKey);
       It != m_Turns.end() && It->second.m_ExpiresMs < ExpiresMs;
       It = m_Turns.find(It->second.m_Previous))
    It->second.m_ExpiresMs = ExpiresMs;
}

void TurnLedger::adopt(std::uint64_t Index,
                       const messages::fleet::AdoptTurn &Command,
                       std::uint64_t WallMs) {
  const Key TurnKey = keyOf(Command.organisation(), Command.turn());
  const std::uint64_t ExpiresMs = WallMs + Command.retention_ms();
  if (m_Turns.contains(TurnKey))
    extendChain(TurnKey, ExpiresMs);
  else
    storeTurn(TurnKey, {.m_Previous = {},
                        .m_EntryIndex = Index,
                        .m_TextBytes = Command.text().size(),
                        .m_ExpiresMs = ExpiresMs});
}

/// The parts form a chain of their own, whose end is the turn. A part of which
/// an earlier one is missing is ignored, so that no text has a gap.
void TurnLedger::adoptPart(std::uint64_t Index,
                           const messages::fleet::AdoptPart &Command,
                           std::uint64_t WallMs) {
  const Key TurnKey = keyOf(Command.organisation(), Command.turn());
  const std::uint64_t ExpiresMs = WallMs + Command.retention_ms();
  if (m_Turns.contains(TurnKey)) {
    extendChain(TurnKey, ExpiresMs);
    return;
  }
  const auto PartKey = [&](std::uint64_t Offset) {
    return TurnKey + '\0' + std::to_string(Offset);
  };
  Key Previous;
  if (Command.offset() > 0) {
    Previous = PartKey(Command.previous_offset());
    const auto It = m_Turns.find(Previous);
    if (It == m_Turns.end() ||
        Command.previous_offset() + It->second.m_TextBytes != Command.offset())
      return;
  }
  const Key Stored = Command.last() ? TurnKey : PartKey(Command.offset());
  // An earlier copy that didn't end may have left parts.
  if (m_Turns.contains(Stored))
    extendChain(Stored, ExpiresMs);
  else
    storeTurn(Stored, {.m_Previous = Previous,
                       .m_EntryIndex = Index,
                       .m_TextBytes = Command.text().size(),
                       .m_ExpiresMs = ExpiresMs});
  extendChain(Stored, ExpiresMs);
  extendChain(Previous, ExpiresMs);
}

void TurnLedger::storeTurn(const Key &TurnKey, RetainedTurn Turn) {
  m_TurnExpiry.add(TurnKey, Turn.m_ExpiresMs);
  m_EntryIndexes.insert(Turn.m_EntryIndex);
  m_Turns[TurnKey] = std::move(Turn);
}

void TurnLedger::expire(std::uint64_t WallMs) {
  removeExpired(m_Turns, m_TurnExpiry, WallMs,
                [this](const RetainedTurn &Removed) {
                  m_EntryIndexes.erase(Removed.m_EntryIndex);
                });
  removeExpired(m_Programs, m_ProgramExpiry, WallMs,
                [](const ProgramState &) {});
  m_Streams.expire(WallMs);
  m_ServiceVersions.expire(WallMs);
  m_StreamAttempts.expire(WallMs);
}

std::optional<std::uint64_t> TurnLedger::oldestEntry() const {
  const auto OfStreams = m_StreamAttempts.oldestEntry();
  if (m_EntryIndexes.empty())
    return OfStreams;
  return std::min(*m_EntryIndexes.begin(),
                  OfStreams.value_or(*m_EntryIndexes.begin()));
}

bool TurnLedger::hasTurn(const std::string &Organisation,
                         const std::string &Turn) const {
  return m_Turns.contains(keyOf(Organisation, Turn));
}

bool TurnLedger::hasChain(const std::string &Organisation,
                          const std::string &Turn, std::uint64_t NowMs) const {
  return chainEntries(Organisation, Turn, NowMs).has_value();
}

/// The turns before it expire no earlier.
std::uint64_t TurnLedger::chainExpiresMs(const std::string &Organisation,
                                         const std::string &Turn) const {
  const auto It = m_Turns.find(keyOf(Organisation, Turn));
  return It == m_Turns.end() ? 0 : It->second.m_ExpiresMs;
}

bool TurnLedger::hasProgram(const std::string &Organisation,
                            const std::string &Program,
                            std::uint64_t NowMs) const {
  const auto It = m_Programs.find(keyOf(Organisation, Program));
  return It != m_Programs.end() && It->second.m_ExpiresMs >= NowMs;
}

std::optional<std::vector<ChainEntry>>
TurnLedger::chainEntries(const std::string &Organisation,
                         const std::string &Turn, std::uint64_t NowMs) const {
  std::vector<ChainEntry> Entries;
  Key Next = keyOf(Organisation, Turn);
  while (!Next.empty()) {
    const auto It = m_Turns.find(Next);
    if (It == m_Turns.end() || It->second.m_ExpiresMs < NowMs)
      return std::nullopt;
    Entries.push_back({.m_Index = It->second.m_EntryIndex,
                       .m_TextBytes = It->second.m_TextBytes});
    Next = It->second.m_Previous;
  }
  std::ranges::reverse(Entries);
  return Entries;
}

std::uint64_t TurnLedger::committedTokens(const std::string &Organisation,
                                          const std::string &Program) const {
  const auto It = m_Programs.find(keyOf(Organisation, Program));
  if (It == m_Programs.end())
    return 0;
  std::uint64_t Sum = It->second.m_Spent;
  for (const auto &[Turn, Tokens] : It->second.m_Reserved)
    Sum += Tokens;
  return Sum;
}

std::string TurnLedger::snapshot() const {
  messages::fleet::TurnLedgerSnapshot Message;
  for (const auto &[EntryKey, State] : m_Turns) {
    auto &Row = *Message.add_turns();
    Row.set_key(EntryKey);
    const std::size_t Separator = EntryKey.find('\0');
    Row.set_organisation(EntryKey.substr(0, Separator));
    if (!State.m_Previous.empty())
      Row.set_previous(State.m_Previous.substr(Separator + 1));
    Row.set_entry(State.m_EntryIndex);
    Row.set_text_bytes(State.m_TextBytes);
    Row.set_expires_ms(State.m_ExpiresMs);
  }
  for (const auto &[EntryKey, State] : m_Programs) {
    auto &Row = *Message.add_programs();
    Row.set_key(EntryKey);
    Row.set_spent(State.m_Spent);
    Row.set_expires_ms(State.m_ExpiresMs);
    for (const auto &[Turn, Tokens] : State.m_Reserved) {
      auto &Reservation = *Row.add_reserved();
      Reservation.set_turn(Turn);
      Reservation.set_tokens(Tokens);
    }
    for (const std::string &Turn : State.m_Ended)
      Row.add_ended(Turn);
  }
  m_Streams.save(Message);
  m_ServiceVersions.save(Message);
  m_StreamAttempts.save(Message);
  return Message.SerializeAsString();
}

void TurnLedger::restore(std::string_view Snapshot) {
  const auto Message =
      messages::parseMessage<messages::fleet::TurnLedgerSnapshot>(
          Snapshot, "turn ledger");
  m_Turns.clear();
  m_EntryIndexes.clear();
  m_Programs.clear();
  m_TurnExpiry.clear();
  m_ProgramExpiry.clear();
  m_Streams.load(Message);
  m_ServiceVersions.load(Message);
  m_StreamAttempts.load(Message);
  for (const auto &Row : Message.turns())
    storeTurn(Row.key(),
              {.m_Previous = Row.previous().empty()
                                 ? Key()
                                 : keyOf(Row.organisation(), Row.previous()),
               .m_EntryIndex = Row.entry(),
               .m_TextBytes = Row.text_bytes(),
               .m_ExpiresMs = Row.expires_ms()});
  for (const auto &Row : Message.programs()) {
    m_ProgramExpiry.add(Row.key(), Row.expires_ms());
    ProgramState &State = m_Programs[Row.key()];
    State.m_Spent = Row.spent();
    State.m_ExpiresMs = Row.expires_ms();
    for (const auto &Reservation : Row.reserved())
      State.m_Reserved[Reservation.turn()] = Reservation.tokens();
    State.m_Ended.insert(Row.ended().begin(), Row.ended().end());
  }
}

} // namespace psp::turns
