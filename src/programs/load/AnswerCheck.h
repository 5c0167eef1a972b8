/// \file
/// Reads what an entry instance answered: the text of a whole answer, or the
/// kind of an error.

#ifndef PSP_PROGRAMS_LOAD_ANSWERCHECK_H
#define PSP_PROGRAMS_LOAD_ANSWERCHECK_H

#include "bench/HttpClient.h"

#include <string>

namespace psp::load {

enum class AnswerState {
  Whole,   ///< It arrived up to its end marker.
  Refused, ///< An error that says that nothing ran: ask again.
  Broken,  ///< Cut off, or the outcome is unknown: ask again.
  Failed   ///< An error that stays.
};

struct Answer {
  AnswerState m_State = AnswerState::Broken;
  std::string m_Text; ///< Of a whole answer.
  std::string m_Kind; ///< Of an error; "no answer" when nothing arrived.
  base::Duration m_RetryAfter{};
};

/// A streamed or whole chat completion.
Answer readCompletion(const bench::ClientResponse &Response, bool Streamed);

/// The answer of a plain service: its text is the body.
Answer readService(const bench::ClientResponse &Response);

/// The identifier in the answer to POST /v1/programs.
Answer readProgram(const bench::ClientResponse &Response);

/// Does the body of a service's answer name this idempotency key?
bool namesKey(const std::string &Body, const std::string &Key);

} // namespace psp::load

#endif
