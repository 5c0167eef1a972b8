/// \file
/// The replicated state of agent programs: the tokens that each has spent of
/// its budget, and the retained turns that later turns may continue from.

#ifndef PSP_TURNS_TURNLEDGER_H
#define PSP_TURNS_TURNLEDGER_H

#include "generated/fleet.pb.h"
#include "turns/ExpiryQueue.h"
#include "turns/ServiceVersions.h"
#include "turns/StreamAttempts.h"
#include "turns/StreamVersions.h"

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
  AlreadyEnded,  ///< A late copy of a request whose turn has ended.
  StreamUnknown, ///< There is no record of the stream that it takes up.
};

struct TurnLedgerOptions {
  /// The state of a program without turns is removed this long after its
  /// retention time, in milliseconds. An agent loop that was stopped may resume
  /// within the retention time.
  std::uint64_t m_ProgramGraceMs = 120'000;
  /// How long a turn may run if its begin states no time, in milliseconds.
  std::uint64_t m_DefaultTurnTimeMs = 30'000;
  /// The end of a turn may be recorded this long after the time that the turn
  /// may run, in milliseconds: the clocks of two leaders differ, and its begin
  /// may have waited in a queue.
  std::uint64_t m_TurnGraceMs = 10'000;
};

/// The log entry that holds the text of a turn.
struct ChainEntry {
  std::uint64_t m_Index = 0;
  std::uint64_t m_TextBytes = 0; ///< Zero: none, or not known.

  bool operator==(const ChainEntry &) const = default;
};

/// Deterministic. A turn reserves its maximum number of tokens before it is
/// executed. When it ends, it is charged for the tokens that its caller
/// received. So the sum over all parallel turns stays within the budget
/// whatever fails in between. A turn whose entry instance failed keeps its
/// reservation.
///
/// A repeated end changes nothing but the time until which the turn is
/// retained.
///
/// The chain that a turn continues from is retained while the turn may run, so
/// that its end finds it. A turn is only retained with its complete chain, and
/// with its complete text.
///
/// The texts of turns stay in the log; the ledger holds the indexes of their
/// entries.
///
/// Time passes with each command, and a group may get none for long. A lookup
/// therefore states its moment \p NowMs, in milliseconds of the wall clock:
/// what has expired by then isn't found, although the next command removes it.
/// With zero it is the moment of the last command.
class TurnLedger {
public:
  using BeginTurn = messages::fleet::BeginTurn;
  using EndTurn = messages::fleet::EndTurn;

  explicit TurnLedger(TurnLedgerOptions Options = {}) : m_Options(Options) {}

  /// \p Index and \p WallMs are those of the command's entry in the log.
  void apply(std::uint64_t Index,
             const messages::fleet::HistoryCommand &Command,
             std::uint64_t WallMs);
  std::string snapshot() const;
  void restore(std::string_view Snapshot);

  /// Outcome of the last BeginTurn command that was applied.
  BeginOutcome lastBeginOutcome() const { return m_LastBeginOutcome; }

  /// The log entries that hold the texts of \p Turn and all turns before it,
  /// oldest first; empty if \p Organisation has no such turn.
  std::optional<std::vector<ChainEntry>>
  chainEntries(const std::string &Organisation, const std::string &Turn,
               std::uint64_t NowMs = 0) const;
  /// Whether \p Turn and all turns before it are retained.
  bool hasChain(const std::string &Organisation, const std::string &Turn,
                std::uint64_t NowMs = 0) const;
  /// Until when the chain of \p Turn is retained, in milliseconds of the wall
  /// clock; zero if it isn't.
  std::uint64_t chainExpiresMs(const std::string &Organisation,
                               const std::string &Turn) const;
  /// Index of the oldest entry whose text is needed, if any.
  std::optional<std::uint64_t> oldestEntry() const;
  bool hasTurn(const std::string &Organisation, const std::string &Turn) const;
  /// Whether a turn of \p Program has begun.
  bool hasProgram(const std::string &Organisation, const std::string &Program,
                  std::uint64_t NowMs = 0) const;

  std::size_t turnCount() const { return m_Turns.size(); }
  std::size_t programCount() const { return m_Programs.size(); }
  const StreamVersions &streams() const { return m_Streams; }
  const ServiceVersions &serviceVersions() const { return m_ServiceVersions; }
  const StreamAttempts &streamAttempts() const { return m_StreamAttempts; }
  /// Sum of the tokens charged and reserved, for tests and dumps.
  std::uint64_t committedTokens(const std::string &Organisation,
                                const std::string &Program) const;

private:
  using Key = std::string; ///< Organisation, a zero byte, and a name.

  struct RetainedTurn {
    Key m_Previous;                 ///< Empty at the start of a chain.
    std::uint64_t m_EntryIndex = 0; ///< Of the log entry that holds its text.
    std::uint64_t m_TextBytes = 0;  ///< Zero: none, or not known.
    std::uint64_t m_ExpiresMs = 0;
  };
  struct ProgramState {
    std::uint64_t m_Spent = 0;
    std::map<std::string, std::uint64_t> m_Reserved; ///< By turn.
    std::set<std::string> m_Ended; ///< Turns whose late BeginTurn is ignored.
    std::uint64_t m_ExpiresMs = 0;
  };

  void begin(const BeginTurn &Command, std::uint64_t WallMs);
  void end(std::uint64_t Index, const EndTurn &Command, std::uint64_t WallMs);
  void retain(std::uint64_t Index, const EndTurn &Command,
              std::uint64_t WallMs);
  void recordVersion(const BeginTurn &Command, std::uint64_t WallMs);
  void adopt(std::uint64_t Index, const messages::fleet::AdoptTurn &Command,
             std::uint64_t WallMs);
  void adoptPart(std::uint64_t Index, const messages::fleet::AdoptPart &Command,
                 std::uint64_t WallMs);
  void storeTurn(const Key &TurnKey, RetainedTurn Turn);
  /// Retains the turn and all turns before it until \p ExpiresMs at least.
  void extendChain(const Key &TurnKey, std::uint64_t ExpiresMs);
  /// When the last record of the turn that \p Command begins can arrive.
  std::uint64_t latestEndMs(const BeginTurn &Command,
                            std::uint64_t WallMs) const;
  void expire(std::uint64_t WallMs);
  ProgramState &findOrAddProgram(const std::string &Organisation,
                                 const std::string &Program,
                                 std::uint64_t ExpiresMs);
  BeginOutcome reserve(const BeginTurn &Command, std::uint64_t WallMs);

  TurnLedgerOptions m_Options;
  std::unordered_map<Key, RetainedTurn> m_Turns;
  std::set<std::uint64_t> m_EntryIndexes; ///< Of all turns.
  std::unordered_map<Key, ProgramState> m_Programs;
  StreamVersions m_Streams;
  ServiceVersions m_ServiceVersions;
  StreamAttempts m_StreamAttempts;
  ExpiryQueue m_TurnExpiry;
  ExpiryQueue m_ProgramExpiry;
  BeginOutcome m_LastBeginOutcome = BeginOutcome::Granted;
};

} // namespace psp::turns

#endif
