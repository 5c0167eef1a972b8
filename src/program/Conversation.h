/// \file
/// The conversation of a program with a model. A caller sends only its new
/// messages; the previous messages of the conversation are prepended.
///
/// A conversation is stored as the text of its JSON messages joined by commas,
/// so that recording a turn parses only the new messages.

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
/// (BadRequest) unless \p Body is an object whose `messages` is a non-empty
/// array of objects.
///
/// Example: {"messages":[{"role":"user","content":"hi"}]} gives
/// {"content":"hi","role":"user"}
std::string newMessages(std::string_view Body);

/// Returns \p Body with the messages of \p History before its own. The result
/// always requests streaming from the endpoint, whatever the caller requested.
/// Throws like newMessages.
std::string withHistory(std::string_view Body, std::string_view History);

/// Extracts the assistant's message from \p Answer, which is a chat completion,
/// a stream of chat completion chunks (server-sent events), or plain text.
std::string answerMessage(std::string_view Answer);

/// Joins two conversations.
std::string joinMessages(std::string_view First, std::string_view Second);

} // namespace psp::program

#endif
