#include "program/Conversation.h"

#include "base/Error.h"

#include <nlohmann/json.hpp>

namespace psp::program {
namespace {

using nlohmann::json;

constexpr std::string_view EventPrefix = "data: ";

std::string dump(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json parseChat(std::string_view Body) {
  json Chat = json::parse(Body, nullptr, false);
  if (!Chat.is_object() || !Chat.contains("messages") ||
      !Chat["messages"].is_array() || Chat["messages"].empty())
    throw base::UserError(
        base::ErrorKind::BadRequest,
        "expected a JSON object with a non-empty array 'messages'");
  for (const json &Message : Chat["messages"]) {
    if (!Message.is_object())
      throw base::UserError(base::ErrorKind::BadRequest,
                            "expected each of 'messages' to be an object");
  }
  return Chat;
}

/// The first choice's member \p Name ("message" or "delta"), or null.
json firstChoice(const json &Completion, const char *Name) {
  if (!Completion.is_object() || !Completion.contains("choices") ||
      !Completion["choices"].is_array() || Completion["choices"].empty())
    return {};
  const json &Choice = Completion["choices"][0];
  return Choice.is_object() ? Choice.value(Name, json()) : json();
}

/// Concatenates the text of all chunks of a stream.
std::string streamText(std::string_view Stream) {
  std::string Text;
  std::size_t Begin = 0;
  while (Begin < Stream.size()) {
    const std::size_t End = std::min(Stream.find('\n', Begin), Stream.size());
    const std::string_view Line = Stream.substr(Begin, End - Begin);
    Begin = End + 1;
    if (Line.substr(0, EventPrefix.size()) != EventPrefix)
      continue;
    const json Chunk =
        json::parse(Line.substr(EventPrefix.size()), nullptr, false);
    const json Delta = firstChoice(Chunk, "delta");
    if (Delta.is_object() && Delta.contains("content") &&
        Delta["content"].is_string())
      Text += Delta["content"].get<std::string>();
  }
  return Text;
}

bool isStream(std::string_view Answer) {
  return Answer.substr(0, EventPrefix.size()) == EventPrefix ||
         Answer.find("\ndata: ") != std::string_view::npos;
}

} // namespace

std::uint64_t estimateTokens(std::string_view Text) {
  return (Text.size() + BytesPerToken - 1) / BytesPerToken;
}

std::string newMessages(std::string_view Body) {
  const json Chat = parseChat(Body);
  std::string Joined;
  for (const json &Message : Chat["messages"])
    Joined = joinMessages(Joined, dump(Message));
  return Joined;
}

std::string withHistory(std::string_view Body, std::string_view History) {
  json Chat = parseChat(Body);
  const json Past = json::parse("[" + std::string(History) + "]");
  json Messages = Past;
  Messages.insert(Messages.end(), Chat["messages"].begin(),
                  Chat["messages"].end());
  Chat["messages"] = std::move(Messages);
  Chat["stream"] = true;
  return dump(Chat);
}

std::string answerMessage(std::string_view Answer) {
  const json Completion = json::parse(Answer, nullptr, false);
  const json Message = firstChoice(Completion, "message");
  if (Message.is_object())
    return dump(Message);
  const std::string Text =
      isStream(Answer) ? streamText(Answer) : std::string(Answer);
  return dump(json{{"role", "assistant"}, {"content", Text}});
}

std::string joinMessages(std::string_view First, std::string_view Second) {
  std::string Joined(First);
  if (!First.empty() && !Second.empty())
    Joined += ",";
  Joined += Second;
  return Joined;
}

} // namespace psp::program
