/// \file
/// What passes between the thread that serves callers' connections and the
/// thread that decides: requests one way, answers the other way.

#ifndef PSP_MESSAGES_CALLERMESSAGES_H
#define PSP_MESSAGES_CALLERMESSAGES_H

#include "base/ErrorKind.h"
#include "base/Hash.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace psp::messages {

/// Names one request on one connection for as long as the process lives.
using RequestNumber = std::uint64_t;

/// A whole HTTP request. The caller's key is present by digest only: the key
/// itself never leaves the thread that read it.
struct CallerRequest {
  RequestNumber m_Request = 0;
  std::string m_Method;
  std::string m_Target;
  std::string m_Body;
  std::string m_ContentType;
  std::optional<base::Digest> m_KeyDigest;
  std::string m_ProgramId;
  std::string m_ProgramTurn;
  std::string m_IdempotencyKey;
  std::string m_DeadlineMs;
};

/// The caller closed its connection before the answer was whole.
struct CallerGone {
  RequestNumber m_Request = 0;
};

using CallerEvent = std::variant<std::monostate, CallerRequest, CallerGone>;

/// An additional header of an answer.
struct AnswerHeader {
  std::string m_Name;
  std::string m_Value;

  auto operator<=>(const AnswerHeader &) const = default;
};

/// A whole answer.
struct CallerAnswer {
  RequestNumber m_Request = 0;
  int m_Status = 200;
  std::string m_ContentType;
  std::vector<AnswerHeader> m_Headers;
  std::string m_Body;
};

/// Begins a streamed answer (server-sent events).
struct StreamBegin {
  RequestNumber m_Request = 0;
  std::vector<AnswerHeader> m_Headers;
};

/// The next bytes of a streamed answer.
struct StreamPart {
  RequestNumber m_Request = 0;
  std::string m_Data;
};

/// Ends a streamed answer. One that isn't whole ends without the last chunk,
/// so that the caller can tell.
struct StreamEnd {
  RequestNumber m_Request = 0;
  bool m_Whole = true;
};

using CallerReply = std::variant<std::monostate, CallerAnswer, StreamBegin,
                                 StreamPart, StreamEnd>;

/// The answer for an error of the closed list, as application/problem+json.
/// \p RetryAfter is rounded up to whole seconds; zero takes the table's.
CallerAnswer problemAnswer(RequestNumber Request, base::ErrorKind Kind,
                           const std::string &Detail,
                           base::Duration RetryAfter = base::Duration::zero());

} // namespace psp::messages

#endif
