/// \file
/// The replicated state of agent programs: what each has spent of its budget,
/// and the turns that later turns may continue from.

#ifndef PSP_TURNS_TURNLEDGER_H
#define PSP_TURNS_TURNLEDGER_H

#include "generated/fleet.pb.h"
#include "turns/ExpiryQueue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace psp::turns {

enum class BeginOutcome {
  Granted,
  BudgetSpent,
  NoSuchTurn,
  AlreadyEnded, ///< A late copy of a request whose turn is over.
};

struct TurnLedgerOptions {
  /// A program without turns is forgotten after its retention and this long,
  /// in milliseconds. A loop that was stopped may come back within the
  /// retention.
  std::uint64_t m_ProgramGraceMs = 120'000;
};

/// Deterministic. A turn reserves its most tokens before it runs and is
/// charged for what its caller received when it ends, so the sum over all
/// parallel turns stays inside the budget whatever fails between. A turn whose
/// entry instance died keeps its reservation.
///
/// The texts of turns stay in the log; the ledger knows which entries they are.
class TurnLedger {
public:
  using BeginTurn = messages::fleet::BeginTurn;
  using EndTurn = messages::fleet::EndTurn;

  explicit TurnLedger(TurnLedgerOptions Options = {}) : m_Options(Options) {}

  /// \p Index and \p WallMs: of the command's entry in the log.
  void apply(std::uint64_t Index,
             const messages::fleet::HistoryCommand &Command,
             std::uint64_t WallMs);
  std::string snapshot() const;
  void restore(std::string_view Snapshot);

  /// The outcome of the begin that was applied last.
  BeginOutcome lastBegin() const { return m_LastBegin; }

  /// The entries that hold the texts of \p Turn and all turns before it, oldest
  /// first; nothing if \p Organisation has no such turn.
  std::optional<std::vector<std::uint64_t>>
  chain(const std::string &Organisation, const std::string &Turn) const;
  /// The oldest entry whose text is needed, if any.
  std::optional<std::uint64_t> oldestEntry() const;
  bool hasTurn(const std::string &Organisation, const std::string &Turn) const;
  /// Whether a turn of \p Program has begun.
  bool hasProgram(const std::string &Organisation,
                  const std::string &Program) const;

  std::size_t turnCount() const { return m_Turns.size(); }
  std::size_t programCount() const { return m_Programs.size(); }
  /// Tokens charged and reserved, for tests and dumps.
  std::uint64_t committedTokens(const std::string &Organisation,
                                const std::string &Program) const;

private:
  using Key = std::string; ///< Organisation, a zero byte, and a name.

  struct KeptTurn {
    Key m_Previous;            ///< Empty at the start of a chain.
    std::uint64_t m_Entry = 0; ///< Index of the entry that holds its text.
    std::uint64_t m_ExpiresMs = 0;
  };
  struct ProgramState {
    std::uint64_t m_Spent = 0;
    std::map<std::string, std::uint64_t> m_Reserved; ///< By turn.
    std::set<std::string> m_Ended; ///< Turns whose late begin is ignored.
    std::uint64_t m_ExpiresMs = 0;
  };

  void begin(const BeginTurn &Command, std::uint64_t WallMs);
  void end(std::uint64_t Index, const EndTurn &Command, std::uint64_t WallMs);
  void keep(std::uint64_t Index, const EndTurn &Command, std::uint64_t WallMs);
  void adopt(std::uint64_t Index, const messages::fleet::AdoptTurn &Command,
             std::uint64_t WallMs);
  void put(const Key &Name, KeptTurn Row);
  void expire(std::uint64_t WallMs);
  ProgramState &programOf(const std::string &Organisation,
                          const std::string &Program, std::uint64_t ExpiresMs);
  BeginOutcome reserve(const BeginTurn &Command, std::uint64_t WallMs);

  TurnLedgerOptions m_Options;
  std::unordered_map<Key, KeptTurn> m_Turns;
  std::set<std::uint64_t> m_Entries; ///< Of all turns.
  std::unordered_map<Key, ProgramState> m_Programs;
  ExpiryQueue m_TurnExpiry;
  ExpiryQueue m_ProgramExpiry;
  BeginOutcome m_LastBegin = BeginOutcome::Granted;
};

} // namespace psp::turns

#endif
