/// \file
/// A program's state, computed by applying its entries in order. The same
/// entries give the same state on every instance, and the owner decides from
/// this state what it may append next.

#ifndef PSP_PROGRAM_PROGRAMSTATE_H
#define PSP_PROGRAM_PROGRAMSTATE_H

#include "base/ErrorKind.h"
#include "base/Ids.h"
#include "program/ProgramCalls.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace psp::program {

/// The digest of a call's content. It excludes the program, the turn, the
/// idempotency key and the stream flag, so that a resend in which these differ
/// compares equal.
std::string requestDigest(const messages::CallRequest &Request);

/// A turn whose number can't be used again: it has finished, or it is
/// non-repeatable and its outcome is unknown.
struct UsedTurn {
  std::uint64_t m_Turn = 0;
  std::string m_Digest{};
  std::string m_IdempotencyKey{};
  std::string m_Service{};
  base::EndpointId m_Endpoint{};
  std::uint64_t m_FinishIndex = 0; ///< The entry with outcome and answer.
  bool m_OutcomeKnown = true;

  bool operator==(const UsedTurn &) const = default;
};

/// The turn that has started and not finished.
struct OpenTurn {
  std::uint64_t m_Turn = 0;
  std::string m_Digest{};
  std::string m_IdempotencyKey{};
  std::string m_Service{};
  std::string m_NewMessages{}; ///< Set for calls that carry the history.
  std::uint64_t m_ReservedTokens = 0;
  bool m_Repeatable = true;
  bool m_CarriesHistory = false;
  bool m_Claimed = false;
  base::EndpointId m_Endpoint{}; ///< From the claim or the last send.

  bool operator==(const OpenTurn &) const = default;
};

class ProgramState {
public:
  /// Applies the next entry. Throws InternalError when the entry violates an
  /// invariant that every owner must maintain.
  void apply(const messages::ProgramEntry &Entry);

  bool isCreated() const { return m_AppliedIndex > 0; }
  const base::OrganisationId &organisation() const { return m_Organisation; }
  const ProgramLimits &limits() const { return m_Limits; }
  std::uint64_t usedTurns() const { return m_UsedTurns.size(); }
  std::uint64_t spentTokens() const { return m_SpentTokens; }
  std::uint64_t reservedTokens() const;
  std::uint64_t freeTokens() const;
  const std::string &history() const { return m_History; }
  const std::optional<OpenTurn> &openTurn() const { return m_OpenTurn; }
  bool hasEnded() const { return m_Ended; }
  bool isMemoryFreed() const { return m_MemoryFreed; }

  /// Whether an owner may have sent a call without recording the endpoint.
  bool mayHaveRunElsewhere() const { return m_Interrupted; }
  const std::set<base::EndpointId> &endpoints() const { return m_Endpoints; }

  /// The used turn with the given number, or null.
  const UsedTurn *findTurn(std::uint64_t Turn) const;
  /// The used turn with the given idempotency key, or null.
  const UsedTurn *findKey(const std::string &IdempotencyKey) const;
  std::vector<UnknownOutcome>
  unknownOutcomes(const base::ProgramId &Program) const;

private:
  void create(const messages::ProgramCreated &Created);
  void start(const messages::TurnStarted &Started);
  void claim(const messages::CallClaimed &Claimed);
  void finish(const messages::TurnFinished &Finished);
  void resolve(const messages::OutcomeResolved &Resolved);
  void charge(std::uint64_t Tokens);

  std::uint64_t m_AppliedIndex = 0;
  base::OrganisationId m_Organisation;
  ProgramLimits m_Limits;
  std::uint64_t m_SpentTokens = 0;
  std::string m_History;
  std::optional<OpenTurn> m_OpenTurn;
  std::vector<UsedTurn> m_UsedTurns; ///< Turn N is at index N - 1.
  std::map<std::string, std::uint64_t> m_TurnOfKey;
  std::set<base::EndpointId> m_Endpoints;
  bool m_Interrupted = false;
  bool m_Ended = false;
  bool m_MemoryFreed = false;
};

} // namespace psp::program

#endif
