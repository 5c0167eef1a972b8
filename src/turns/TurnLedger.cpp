#include "turns/TurnLedger.h"

#include "messages/Parse.h"

#include <algorithm>
#include <vector>

namespace psp::turns {

namespace {

/// How often expired rows are looked for, in milliseconds of log time.
constexpr std::uint64_t ExpiryIntervalMs = 1000;

std::string keyOf(const std::string &Organisation, const std::string &Name) {
  return Organisation + '\0' + Name;
}

} // namespace

void TurnLedger::apply(std::uint64_t /*Index*/, std::string_view Command,
                       std::uint64_t WallMs) {
  const auto Read = messages::parseMessage<messages::fleet::HistoryCommand>(
      Command, "turn ledger");
  expire(WallMs);
  if (Read.has_begin())
    begin(Read.begin(), WallMs);
  else if (Read.has_end())
    end(Read.end(), WallMs);
}

void TurnLedger::begin(const BeginTurn &Command, std::uint64_t WallMs) {
  const bool Continues = !Command.previous().empty();
  if (Continues && !hasTurn(Command.organisation(), Command.previous())) {
    m_LastBegin = BeginOutcome::NoSuchTurn;
    return;
  }
  m_LastBegin = reserve(Command, WallMs);
}

BeginOutcome TurnLedger::reserve(const BeginTurn &Command,
                                 std::uint64_t WallMs) {
  ProgramState &Owner =
      m_Programs[keyOf(Command.organisation(), Command.program())];
  Owner.m_ExpiresMs =
      std::max(Owner.m_ExpiresMs,
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

void TurnLedger::end(const EndTurn &Command, std::uint64_t WallMs) {
  ProgramState &Owner =
      m_Programs[keyOf(Command.organisation(), Command.program())];
  if (!Owner.m_Ended.insert(Command.turn()).second)
    return;
  Owner.m_Reserved.erase(Command.turn());
  Owner.m_Spent += Command.tokens();
  Owner.m_ExpiresMs =
      std::max(Owner.m_ExpiresMs,
               WallMs + Command.retention_ms() + m_Options.m_ProgramGraceMs);
  if (Command.keep())
    keep(Command, WallMs);
}

void TurnLedger::keep(const EndTurn &Command, std::uint64_t WallMs) {
  const std::uint64_t Expires = WallMs + Command.retention_ms();
  m_Turns[keyOf(Command.organisation(), Command.turn())] = {
      .m_Organisation = Command.organisation(),
      .m_Previous = Command.previous(),
      .m_Text = Command.text(),
      .m_ExpiresMs = Expires};
  // A turn is kept together with its chain.
  std::string Next = Command.previous();
  while (!Next.empty()) {
    const auto Found = m_Turns.find(keyOf(Command.organisation(), Next));
    if (Found == m_Turns.end() || Found->second.m_ExpiresMs >= Expires)
      break;
    Found->second.m_ExpiresMs = Expires;
    Next = Found->second.m_Previous;
  }
}

void TurnLedger::expire(std::uint64_t WallMs) {
  if (WallMs < m_ExpiredMs + ExpiryIntervalMs)
    return;
  m_ExpiredMs = WallMs;
  std::erase_if(m_Turns, [WallMs](const auto &Row) {
    return Row.second.m_ExpiresMs < WallMs;
  });
  std::erase_if(m_Programs, [WallMs](const auto &Row) {
    return Row.second.m_ExpiresMs < WallMs;
  });
}

bool TurnLedger::hasTurn(const std::string &Organisation,
                         const std::string &Turn) const {
  return m_Turns.contains(keyOf(Organisation, Turn));
}

bool TurnLedger::hasProgram(const std::string &Organisation,
                            const std::string &Program) const {
  return m_Programs.contains(keyOf(Organisation, Program));
}

std::optional<std::string>
TurnLedger::chainText(const std::string &Organisation,
                      const std::string &Turn) const {
  std::vector<const std::string *> Texts;
  std::string Next = Turn;
  while (!Next.empty()) {
    const auto Found = m_Turns.find(keyOf(Organisation, Next));
    if (Found == m_Turns.end())
      return std::nullopt;
    Texts.push_back(&Found->second.m_Text);
    Next = Found->second.m_Previous;
  }
  std::string Chain;
  for (auto Each = Texts.rbegin(); Each != Texts.rend(); ++Each)
    Chain += **Each;
  return Chain;
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
  All.set_expired_ms(m_ExpiredMs);
  for (const auto &[Name, Value] : m_Turns) {
    auto &Row = *All.add_turns();
    Row.set_key(Name);
    Row.set_organisation(Value.m_Organisation);
    Row.set_previous(Value.m_Previous);
    Row.set_text(Value.m_Text);
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
  m_Programs.clear();
  m_ExpiredMs = All.expired_ms();
  for (const auto &Row : All.turns())
    m_Turns[Row.key()] = {.m_Organisation = Row.organisation(),
                          .m_Previous = Row.previous(),
                          .m_Text = Row.text(),
                          .m_ExpiresMs = Row.expires_ms()};
  for (const auto &Row : All.programs()) {
    ProgramState &Value = m_Programs[Row.key()];
    Value.m_Spent = Row.spent();
    Value.m_ExpiresMs = Row.expires_ms();
    for (const auto &Each : Row.reserved())
      Value.m_Reserved[Each.turn()] = Each.tokens();
    Value.m_Ended.insert(Row.ended().begin(), Row.ended().end());
  }
}

} // namespace psp::turns
