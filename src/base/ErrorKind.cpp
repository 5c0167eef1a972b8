#include "base/ErrorKind.h"

#include <algorithm>
#include <array>

namespace psp::base {
namespace {

using enum ErrorKind;
using enum RunState;

constexpr std::array Table = {
    ErrorAnswer{BadRequest, "bad-request", 400, No, 0,
                "The request is malformed"},
    ErrorAnswer{BodyTooLarge, "body-too-large", 413, No, 0,
                "The request body is too large"},
    ErrorAnswer{Unauthenticated, "unauthenticated", 401, No, 0,
                "The request carries no valid key"},
    ErrorAnswer{KeyWithdrawn, "key-withdrawn", 401, No, 0,
                "The key was withdrawn"},
    ErrorAnswer{Forbidden, "forbidden", 403, No, 0,
                "The key's organisation may not do this"},
    ErrorAnswer{NotFound, "not-found", 404, No, 0, "There is no such resource"},
    ErrorAnswer{RateLimited, "rate-limited", 429, No, 1,
                "The organisation's rate is used up"},
    ErrorAnswer{Overloaded, "overloaded", 503, No, 1,
                "The queue in front of the endpoints is full"},
    ErrorAnswer{RequestHeld, "request-held", 503, No, 60,
                "This request has ended several endpoints that ran it"},
    ErrorAnswer{NoEndpoint, "no-endpoint", 503, No, 2,
                "No endpoint serves this route at present"},
    ErrorAnswer{StreamUnknown, "stream-unknown", 503, No, 0,
                "The version that began the stream is not known; begin anew"},
    ErrorAnswer{StreamVersionGone, "stream-version-gone", 503, No, 0,
                "No endpoint has the version that began the stream; begin "
                "anew"},
    ErrorAnswer{WeightsUnavailable, "weights-unavailable", 421, No, 1,
                "No endpoint has the weights that the request expects"},
    ErrorAnswer{WrongTurn, "wrong-turn", 409, No, 0,
                "The turn number is not the program's next one"},
    ErrorAnswer{IdempotencyConflict, "idempotency-conflict", 409, No, 0,
                "The idempotency key was used for another request"},
    ErrorAnswer{ProgramEnded, "program-ended", 409, No, 0,
                "The program has ended"},
    ErrorAnswer{TurnLimit, "turn-limit", 409, No, 0,
                "The program has used all its turns"},
    ErrorAnswer{TokenLimit, "token-limit", 409, No, 0,
                "The program's history is full"},
    ErrorAnswer{TimeLimit, "time-limit", 409, No, 0,
                "The program has used all its time"},
    ErrorAnswer{BudgetExceeded, "budget-exceeded", 402, No, 0,
                "The program's budget does not cover this call"},
    ErrorAnswer{DeadlineExceeded, "deadline-exceeded", 504, No, 1,
                "The deadline passed before the call was sent"},
    ErrorAnswer{QuorumUnavailable, "quorum-unavailable", 503, No, 2,
                "Too few ledgers can be reached to accept the call"},
    ErrorAnswer{NotRepeatableWhileCutOff, "not-repeatable-while-cut-off", 503,
                No, 5,
                "The data centre is cut off and the call may not be repeated"},
    ErrorAnswer{OutcomeUnknown, "outcome-unknown", 502, Unknown, 0,
                "The call was sent and its outcome is unknown"},
    ErrorAnswer{EndpointFailed, "endpoint-failed", 502, Unknown, 1,
                "The endpoint failed while it ran the call"},
    ErrorAnswer{EndpointRefused, "endpoint-refused", 502, No, 1,
                "The endpoint refused the call before it ran"},
    ErrorAnswer{AnswerInterrupted, "answer-interrupted", 502, Unknown, 1,
                "The answer was interrupted; ask again with the same turn"},
    ErrorAnswer{VersionConflict, "version-conflict", 409, No, 0,
                "The number was used for another submission"},
    ErrorAnswer{InvalidConfiguration, "invalid-configuration", 422, No, 0,
                "The configuration is invalid"},
    ErrorAnswer{Stopping, "stopping", 503, No, 1, "The instance is stopping"},
    ErrorAnswer{Internal, "internal", 500, Unknown, 0,
                "The instance met an internal error"},
};

constexpr bool tableIsInOrder() {
  for (std::size_t I = 0; I < Table.size(); ++I) {
    if (static_cast<std::size_t>(Table[I].m_Kind) != I)
      return false;
  }
  return Table.size() == static_cast<std::size_t>(Internal) + 1;
}
static_assert(tableIsInOrder(), "one row for each kind, in the enum's order");

} // namespace

const ErrorAnswer &errorAnswer(ErrorKind Kind) {
  return Table.at(static_cast<std::size_t>(Kind));
}

std::optional<ErrorKind> errorKindFromName(std::string_view Name) {
  const auto *Row =
      std::find_if(Table.begin(), Table.end(), [&](const ErrorAnswer &Answer) {
        return Answer.m_Name == Name;
      });
  if (Row == Table.end())
    return std::nullopt;
  return Row->m_Kind;
}

std::string_view runStateName(RunState State) {
  switch (State) {
  case No:
    return "no";
  case Unknown:
    return "unknown";
  case Yes:
    return "yes";
  }
  return "unknown";
}

} // namespace psp::base
