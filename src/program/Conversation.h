/// \file
/// The conversation of a program with a model. A caller sends its new messages
/// only; the conversation so far goes in front of them.
///
/// A conversation is kept as the text of its JSON messages joined by commas,
/// so that a turn parses only what is new.

#ifndef PSP_PROGRAM_CONVERSATION_H
#define PSP_PROGRAM_CONVERSATION_H

#include <cstdint>
#include <string>
#include <string_view>

namespace psp::program {

/// Bytes of text that count as one token in estimates.
inline constexpr std::uint64_t BytesPerToken = 4;

/// The estimated tokens of \p Text, rounded up.
std::uint64_t estimateTokens(std::string_view Text);

/// The new messages of a chat request as joined JSON. Throws UserError
/// (BadRequest) unless \p Body is an object with a non-empty array `messages`.
///
/// Example: {"messages":[{"role":"user","content":"hi"}]} gives
/// {"content":"hi","role":"user"}
std::string newMessages(std::string_view Body);

/// \p Body with the messages of \p History in front of its own. Endpoints are
/// always asked to stream, whatever the caller wants. Throws like newMessages.
std::string withHistory(std::string_view Body, std::string_view History);

/// The assistant's message in \p Answer: from a chat completion, from a stream
/// of chat completion chunks (server-sent events), or the text as it is.
std::string answerMessage(std::string_view Answer);

/// Joins two conversations.
std::string joinMessages(std::string_view First, std::string_view Second);

} // namespace psp::program

#endif
