#include "programs/load/AnswerCheck.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace psp::load {
namespace {

using nlohmann::json;

constexpr std::string_view DataPrefix = "data: ";
constexpr std::string_view EndMarker = "[DONE]";
constexpr base::Duration DefaultRetryAfter = base::milliseconds(200);

std::string member(const json &Object, const char *Name) {
  if (!Object.is_object() || !Object.contains(Name) ||
      !Object[Name].is_string())
    return {};
  return Object[Name].get<std::string>();
}

/// The state that a problem document stands for.
Answer problem(const json &Document, const std::string &RetryAfter) {
  Answer Result;
  Result.m_Kind = member(Document, "kind");
  const int Seconds = std::atoi(RetryAfter.c_str());
  Result.m_RetryAfter =
      Seconds > 0 ? base::Duration(base::seconds(Seconds)) : DefaultRetryAfter;
  const std::string Run = member(Document, "run");
  const bool Final =
      Result.m_Kind == "outcome-unknown" || Result.m_Kind == "key-withdrawn";
  if (Run == "no" && Seconds > 0)
    Result.m_State = AnswerState::Refused;
  else if (Run == "unknown" && !Final)
    Result.m_State = AnswerState::Broken;
  else
    Result.m_State = AnswerState::Failed;
  return Result;
}

Answer errorAnswer(const bench::ClientResponse &Response) {
  if (Response.m_Status == 0 || !Response.m_Complete) {
    Answer Result;
    Result.m_Kind = "no answer";
    Result.m_RetryAfter = DefaultRetryAfter;
    return Result;
  }
  return problem(json::parse(Response.m_Body, nullptr, false),
                 Response.m_RetryAfter);
}

std::string choiceText(const json &Document, const char *Member) {
  if (!Document.is_object() || !Document.contains("choices") ||
      !Document["choices"].is_array() || Document["choices"].empty())
    return {};
  return member(Document["choices"][0].value(Member, json::object()),
                "content");
}

Answer readStream(const std::string &Body) {
  Answer Result;
  Result.m_Kind = "interrupted";
  Result.m_RetryAfter = DefaultRetryAfter;
  std::size_t Begin = 0;
  while (Begin < Body.size()) {
    const std::size_t End = std::min(Body.find('\n', Begin), Body.size());
    const std::string_view Line(Body.data() + Begin, End - Begin);
    Begin = End + 1;
    if (!Line.starts_with(DataPrefix))
      continue;
    const std::string_view Data = Line.substr(DataPrefix.size());
    if (Data == EndMarker) {
      Result.m_State = AnswerState::Whole;
      continue;
    }
    const json Event = json::parse(Data, nullptr, false);
    if (Event.is_object() && Event.contains("error"))
      return problem(Event["error"], "");
    Result.m_Text += choiceText(Event, "delta");
  }
  return Result;
}

} // namespace

Answer readCompletion(const bench::ClientResponse &Response, bool Streamed) {
  if (Response.m_Status != 200)
    return errorAnswer(Response);
  if (Streamed)
    return readStream(Response.m_Body);
  if (!Response.m_Complete)
    return errorAnswer(Response);
  Answer Result;
  Result.m_State = AnswerState::Whole;
  Result.m_Text =
      choiceText(json::parse(Response.m_Body, nullptr, false), "message");
  return Result;
}

Answer readService(const bench::ClientResponse &Response) {
  if (Response.m_Status != 200 || !Response.m_Complete)
    return errorAnswer(Response);
  Answer Result;
  Result.m_State = AnswerState::Whole;
  Result.m_Text = Response.m_Body;
  return Result;
}

Answer readProgram(const bench::ClientResponse &Response) {
  if (Response.m_Status != 201 || !Response.m_Complete)
    return errorAnswer(Response);
  Answer Result;
  Result.m_Text =
      member(json::parse(Response.m_Body, nullptr, false), "program");
  Result.m_State =
      Result.m_Text.empty() ? AnswerState::Failed : AnswerState::Whole;
  return Result;
}

bool namesKey(const std::string &Body, const std::string &Key) {
  const std::string Found =
      member(json::parse(Body, nullptr, false), "idempotency_key");
  // The system may add to the key that it hands to the worker.
  return !Found.empty() && Found.find(Key) != std::string::npos;
}

} // namespace psp::load
