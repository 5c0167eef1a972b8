/// \file
/// The conversation that a stand-in model engine receives and the answer it
/// gives. The answer depends on nothing but the program, the turn and the
/// messages, so that the load tool can check an answer as a whole.

#ifndef PSP_BENCH_CONVERSATION_H
#define PSP_BENCH_CONVERSATION_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace psp::bench {

/// One message of a conversation in the shape of chat completions.
struct Message {
  std::string m_Role;
  std::string m_Content;

  bool operator==(const Message &) const = default;
};

using Conversation = std::vector<Message>;

/// A prefix of a conversation: a hash over the messages up to some message,
/// and the tokens that this last message adds.
struct Prefix {
  std::uint64_t m_Hash = 0;
  std::uint64_t m_Tokens = 0;
};

/// Tokens of \p Text: one for each four bytes begun.
std::uint64_t countTokens(std::string_view Text);

/// Tokens of all messages.
std::uint64_t countTokens(const Conversation &Messages);

/// One prefix for each message, shortest first. Equal hashes mean equal
/// beginnings.
std::vector<Prefix> prefixesOf(const Conversation &Messages);

/// The prefix that \p Next adds after \p Prefixes.
Prefix extendPrefix(const std::vector<Prefix> &Prefixes, const Message &Next);

/// Token number \p Index, counted from 0, of the answer to \p Messages.
std::string answerToken(std::uint64_t AnswerSeed, std::uint64_t Index);

/// The seed from which the tokens of an answer follow.
std::uint64_t answerSeed(std::string_view Program, std::string_view Turn,
                         const Conversation &Messages);

/// The whole answer of \p Tokens tokens.
std::string answerText(std::uint64_t AnswerSeed, std::uint64_t Tokens);

} // namespace psp::bench

#endif
