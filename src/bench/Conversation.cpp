#include "bench/Conversation.h"

#include "base/Hash.h"

namespace psp::bench {
namespace {

constexpr std::uint64_t BytesPerToken = 4;

/// Mixes \p Value into \p Hash (the finaliser of SplitMix64).
std::uint64_t mix(std::uint64_t Hash, std::uint64_t Value) {
  Hash += Value + 0x9e3779b97f4a7c15ULL;
  Hash = (Hash ^ (Hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Hash = (Hash ^ (Hash >> 27)) * 0x94d049bb133111ebULL;
  return Hash ^ (Hash >> 31);
}

} // namespace

std::uint64_t countTokens(std::string_view Text) {
  return (Text.size() + BytesPerToken - 1) / BytesPerToken;
}

std::uint64_t countTokens(const Conversation &Messages) {
  std::uint64_t Sum = 0;
  for (const Message &Each : Messages)
    Sum += countTokens(Each.m_Content);
  return Sum;
}

Prefix extendPrefix(const std::vector<Prefix> &Prefixes, const Message &Next) {
  std::uint64_t Hash = Prefixes.empty() ? 0 : Prefixes.back().m_Hash;
  Hash = mix(Hash, base::stableHash(Next.m_Role));
  Hash = mix(Hash, base::stableHash(Next.m_Content));
  return {.m_Hash = Hash, .m_Tokens = countTokens(Next.m_Content)};
}

std::vector<Prefix> prefixesOf(const Conversation &Messages) {
  std::vector<Prefix> Result;
  Result.reserve(Messages.size());
  for (const Message &Each : Messages)
    Result.push_back(extendPrefix(Result, Each));
  return Result;
}

std::string answerToken(std::uint64_t AnswerSeed, std::uint64_t Index) {
  constexpr std::string_view Letters = "abcdefghijklmnop";
  std::uint64_t Bits = mix(AnswerSeed, Index);
  std::string Token;
  for (std::uint64_t I = 0; I + 1 < BytesPerToken; ++I) {
    Token.push_back(Letters[Bits % Letters.size()]);
    Bits /= Letters.size();
  }
  Token.push_back(' ');
  return Token;
}

std::uint64_t answerSeed(std::string_view Program, std::string_view Turn,
                         const Conversation &Messages) {
  std::uint64_t Hash = mix(0, base::stableHash(Program));
  Hash = mix(Hash, base::stableHash(Turn));
  if (!Messages.empty())
    Hash = mix(Hash, prefixesOf(Messages).back().m_Hash);
  return Hash;
}

std::string answerText(std::uint64_t AnswerSeed, std::uint64_t Tokens) {
  std::string Text;
  Text.reserve(Tokens * BytesPerToken);
  for (std::uint64_t I = 0; I < Tokens; ++I)
    Text += answerToken(AnswerSeed, I);
  return Text;
}

} // namespace psp::bench
