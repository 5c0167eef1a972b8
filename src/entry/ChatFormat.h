/// \file
/// Formats answers to callers as chat completions responses.

#ifndef PSP_ENTRY_CHATFORMAT_H
#define PSP_ENTRY_CHATFORMAT_H

#include "base/ErrorKind.h"
#include "base/Ids.h"

#include <cstdint>
#include <string>

namespace psp::entry {

/// The fields that every event and answer of one call share.
struct ChatHead {
  base::ProgramId m_Program;
  std::uint64_t m_Turn = 0;
  std::string m_Model;

  auto operator<=>(const ChatHead &) const = default;
};

/// One server-sent event with a piece of the answer.
std::string chatChunk(const ChatHead &Head, const std::string &Text);

/// The events that end a complete streamed answer.
std::string chatEnd(const ChatHead &Head, std::uint64_t UsedTokens);

/// The event that reports why a streamed answer is incomplete.
std::string chatFailure(base::ErrorKind Kind, const std::string &Detail);

/// A complete answer as one JSON document.
std::string chatAnswer(const ChatHead &Head, const std::string &Text,
                       std::uint64_t UsedTokens);

} // namespace psp::entry

#endif
