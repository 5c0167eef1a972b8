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

/// Calls \p Drop with each row that is removed.
template <typename Rows, typename Function>
void expireRows(Rows &All, ExpiryQueue &Expiry, std::uint64_t WallMs,
                Function Drop) {
  for (const std::string &Key : Expiry.takeDue(WallMs)) {
    const auto Found = All.find(Key);
    if (Found == All.end())
      continue;
    if (Found->second.m_ExpiresMs < WallMs) {
      Drop(Found->second);
      All.erase(Found);
    } else {
      Expiry.add(Key, Found->second.m_ExpiresMs);
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
}

void TurnLedger::begin(const BeginTurn &Command, std::uint64_t WallMs) {
  const bool Continues = !Command.previous().empty();
  if (Continues && !hasTurn(Command.organisation(), Command.previous())) {
    m_LastBegin = BeginOutcome::NoSuchTurn;
    return;
  }
  m_LastBegin = reserve(Command, WallMs);
}

TurnLedger::ProgramState &TurnLedger::programOf(const std::string &Organisation,
                                                const std::string &Program,
                                                std::uint64_t ExpiresMs) {
  const Key Name = keyOf(Organisation, Program);
  const auto [Found, IsNew] = m_Programs.try_emplace(Name);
  ProgramState &Owner = Found->second;
  Owner.m_ExpiresMs = std::max(Owner.m_ExpiresMs, ExpiresMs);
  if (IsNew)
    m_ProgramExpiry.add(Name, ExpiresMs);
  return Owner;
}

BeginOutcome TurnLedger::reserve(const BeginTurn &Command,
                                 std::uint64_t WallMs) {
  ProgramState &Owner =
      programOf(Command.organisation(), Command.program(),
                WallMs + Command.retention_ms() + m_Options.m_ProgramGraceMs);
  if (Owner.m_Reserved.contains(Command.turn()))
    return BeginOutcome::Granted;
  if (Owner.m_Ended.contains(Command.turn()))
    return BeginOutcome::AlreadyEnded;
  std::uint64_t Committed = Owner.m_Spent;
  for (const auto &[Turn, Tokens] : Owner.m_Reserved)
    Committed += Tokens;
  if (Command.budget() > 0 && Committed + Command.most() > Command.budget())
    return BeginOutcome::BudgetSpent;
  Owner.m_Reserved[Command.turn()] = Command.most();
  return BeginOutcome::Granted;
}

void TurnLedger::end(std::uint64_t Index, const EndTurn &Command,
                     std::uint64_t WallMs) {
  ProgramState &Owner =
      programOf(Command.organisation(), Command.program(),
                WallMs + Command.retention_ms() + m_Options.m_ProgramGraceMs);
  if (!Owner.m_Ended.insert(Command.turn()).second)
    return;
  Owner.m_Reserved.erase(Command.turn());
  Owner.m_Spent += Command.tokens();
  if (Command.keep())
    keep(Index, Command, WallMs);
}

void TurnLedger::keep(std::uint64_t Index, const EndTurn &Command,
                      std::uint64_t WallMs) {
  const std::uint64_t Expires = WallMs + Command.retention_ms();
  const Key Name = keyOf(Command.organisation(), Command.turn());
  put(Name,
      {.m_Previous = Command.previous().empty()
                         ? Key()
                         : keyOf(Command.organisation(), Command.previous()),
       .m_Entry = Index,
       .m_ExpiresMs = Expires});
  // A turn is kept together with its chain.
  const KeptTurn *Last = &m_Turns.at(Name);
  while (!Last->m_Previous.empty()) {
    const auto Found = m_Turns.find(Last->m_Previous);
    if (Found == m_Turns.end() || Found->second.m_ExpiresMs >= Expires)
      break;
    Found->second.m_ExpiresMs = Expires;
    Last = &Found->second;
  }
}

void TurnLedger::adopt(std::uint64_t Index,
                       const messages::fleet::AdoptTurn &Command,
                       std::uint64_t WallMs) {
  const Key Name = keyOf(Command.organisation(), Command.turn());
  if (!m_Turns.contains(Name))
    put(Name, {.m_Previous = {},
               .m_Entry = Index,
               .m_ExpiresMs = WallMs + Command.retention_ms()});
}

void TurnLedger::put(const Key &Name, KeptTurn Row) {
  m_TurnExpiry.add(Name, Row.m_ExpiresMs);
  m_Entries.insert(Row.m_Entry);
  m_Turns[Name] = std::move(Row);
}

void TurnLedger::expire(std::uint64_t WallMs) {
  expireRows(m_Turns, m_TurnExpiry, WallMs, [this](const KeptTurn &Dropped) {
    m_Entries.erase(Dropped.m_Entry);
  });
  expireRows(m_Programs, m_ProgramExpiry, WallMs, [](const ProgramState &) {});
}

std::optional<std::uint64_t> TurnLedger::oldestEntry() const {
  return m_Entries.empty() ? std::nullopt : std::optional(*m_Entries.begin());
}

bool TurnLedger::hasTurn(const std::string &Organisation,
                         const std::string &Turn) const {
  return m_Turns.contains(keyOf(Organisation, Turn));
}

bool TurnLedger::hasProgram(const std::string &Organisation,
                            const std::string &Program) const {
  return m_Programs.contains(keyOf(Organisation, Program));
}

std::optional<std::vector<std::uint64_t>>
TurnLedger::chain(const std::string &Organisation,
                  const std::string &Turn) const {
  std::vector<std::uint64_t> Entries;
  Key Next = keyOf(Organisation, Turn);
  while (!Next.empty()) {
    const auto Found = m_Turns.find(Next);
    if (Found == m_Turns.end())
      return std::nullopt;
    Entries.push_back(Found->second.m_Entry);
    Next = Found->second.m_Previous;
  }
  std::ranges::reverse(Entries);
  return Entries;
}

std::uint64_t TurnLedger::committedTokens(const std::string &Organisation,
                                          const std::string &Program) const {
  const auto Found = m_Programs.find(keyOf(Organisation, Program));
  if (Found == m_Programs.end())
    return 0;
  std::uint64_t Sum = Found->second.m_Spent;
  for (const auto &[Turn, Tokens] : Found->second.m_Reserved)
    Sum += Tokens;
  return Sum;
}

std::string TurnLedger::snapshot() const {
  messages::fleet::TurnLedgerSnapshot All;
  for (const auto &[Name, Value] : m_Turns) {
    auto &Row = *All.add_turns();
    Row.set_key(Name);
    const std::size_t Split = Name.find('\0');
    Row.set_organisation(Name.substr(0, Split));
    if (!Value.m_Previous.empty())
      Row.set_previous(Value.m_Previous.substr(Split + 1));
    Row.set_entry(Value.m_Entry);
    Row.set_expires_ms(Value.m_ExpiresMs);
  }
  for (const auto &[Name, Value] : m_Programs) {
    auto &Row = *All.add_programs();
    Row.set_key(Name);
    Row.set_spent(Value.m_Spent);
    Row.set_expires_ms(Value.m_ExpiresMs);
    for (const auto &[Turn, Tokens] : Value.m_Reserved) {
      auto &Reservation = *Row.add_reserved();
      Reservation.set_turn(Turn);
      Reservation.set_tokens(Tokens);
    }
    for (const std::string &Turn : Value.m_Ended)
      Row.add_ended(Turn);
  }
  return All.SerializeAsString();
}

void TurnLedger::restore(std::string_view Snapshot) {
  const auto All = messages::parseMessage<messages::fleet::TurnLedgerSnapshot>(
      Snapshot, "turn ledger");
  m_Turns.clear();
  m_Entries.clear();
  m_Programs.clear();
  m_TurnExpiry.clear();
  m_ProgramExpiry.clear();
  for (const auto &Row : All.turns())
    put(Row.key(),
        {.m_Previous = Row.previous().empty()
                           ? Key()
                           : keyOf(Row.organisation(), Row.previous()),
         .m_Entry = Row.entry(),
         .m_ExpiresMs = Row.expires_ms()});
  for (const auto &Row : All.programs()) {
    m_ProgramExpiry.add(Row.key(), Row.expires_ms());
    ProgramState &Value = m_Programs[Row.key()];
    Value.m_Spent = Row.spent();
    Value.m_ExpiresMs = Row.expires_ms();
    for (const auto &Each : Row.reserved())
      Value.m_Reserved[Each.turn()] = Each.tokens();
    Value.m_Ended.insert(Row.ended().begin(), Row.ended().end());
  }
}

} // namespace psp::turns
