/// \file
/// The closed list of error kinds, and the table that turns a kind into the
/// answer that a caller receives (RFC 9457 problem details).

#ifndef PSP_BASE_ERRORKIND_H
#define PSP_BASE_ERRORKIND_H

#include <optional>
#include <string_view>

namespace psp::base {

/// Every error that the system reports, to callers and to operators.
enum class ErrorKind {
  BadRequest,
  BodyTooLarge,
  Unauthenticated,
  KeyWithdrawn,
  Forbidden,
  NotFound,
  RateLimited,
  Overloaded,
  RequestHeld,
  NoEndpoint,
  StreamUnknown,
  StreamVersionGone,
  WeightsUnavailable,
  WrongTurn,
  IdempotencyConflict,
  ProgramEnded,
  TurnLimit,
  TokenLimit,
  TimeLimit,
  BudgetExceeded,
  DeadlineExceeded,
  QuorumUnavailable,
  NotRepeatableWhileCutOff,
  OutcomeUnknown,
  EndpointFailed,
  EndpointRefused,
  AnswerInterrupted,
  VersionConflict,
  InvalidConfiguration,
  Stopping,
  Internal,
};

/// Whether the request was run by an endpoint.
enum class RunState { No, Unknown, Yes };

/// How one error kind is answered.
struct ErrorAnswer {
  ErrorKind m_Kind;
  std::string_view m_Name; ///< Value of the `kind` member.
  int m_HttpStatus;
  RunState m_Run;             ///< Value of the `run` member.
  int m_RetryAfterSeconds;    ///< Zero: the answer carries no Retry-After.
  std::string_view m_Meaning; ///< Value of the `title` member.
};

/// The row of the table for \p Kind.
const ErrorAnswer &errorAnswer(ErrorKind Kind);

/// The kind with the given `kind` member, if there is one.
std::optional<ErrorKind> errorKindFromName(std::string_view Name);

/// "no", "unknown" or "yes".
std::string_view runStateName(RunState State);

} // namespace psp::base

#endif
