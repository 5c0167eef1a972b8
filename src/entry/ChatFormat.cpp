#include "entry/ChatFormat.h"

#include <nlohmann/json.hpp>

namespace psp::entry {
namespace {

using Json = nlohmann::ordered_json;

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string event(const Json &Value) { return "data: " + dump(Value) + "\n\n"; }

Json envelope(const ChatHead &Head, const char *Object) {
  return {
      {"id", Head.m_Program.str() + "-" + std::to_string(Head.m_Turn)},
      {"object", Object},
      {"model", Head.m_Model},
  };
}

} // namespace

std::string chatChunk(const ChatHead &Head, const std::string &Text) {
  Json Event = envelope(Head, "chat.completion.chunk");
  Event["choices"] = Json::array({{
      {"index", 0},
      {"delta", {{"content", Text}}},
      {"finish_reason", nullptr},
  }});
  return event(Event);
}

std::string chatEnd(const ChatHead &Head, std::uint64_t UsedTokens) {
  Json Event = envelope(Head, "chat.completion.chunk");
  Event["choices"] = Json::array({{
      {"index", 0},
      {"delta", Json::object()},
      {"finish_reason", "stop"},
  }});
  Event["usage"] = {{"total_tokens", UsedTokens}};
  return event(Event) + "data: [DONE]\n\n";
}

std::string chatFailure(base::ErrorKind Kind, const std::string &Detail) {
  const base::ErrorAnswer &Answer = base::errorAnswer(Kind);
  const Json Error = {
      {"kind", std::string(Answer.m_Name)},
      {"title", std::string(Answer.m_Meaning)},
      {"run", std::string(base::runStateName(Answer.m_Run))},
      {"detail", Detail},
  };
  return event({{"error", Error}});
}

std::string chatAnswer(const ChatHead &Head, const std::string &Text,
                       std::uint64_t UsedTokens) {
  Json Answer = envelope(Head, "chat.completion");
  Answer["choices"] = Json::array({{
      {"index", 0},
      {"message", {{"role", "assistant"}, {"content", Text}}},
      {"finish_reason", "stop"},
  }});
  Answer["usage"] = {{"total_tokens", UsedTokens}};
  return dump(Answer) + "\n";
}

} // namespace psp::entry
