#include "entry/Route.h"

#include "base/Error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace psp::entry {
namespace {

using base::ErrorKind;
using base::UserError;
using messages::CallerRequest;
using nlohmann::json;

constexpr std::string_view ProgramsPath = "/v1/programs";
constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ServicesPath = "/v1/services/";
constexpr std::uint64_t DefaultMaxTokens = 1024;
constexpr std::uint64_t HighestMaxTokens = 1U << 20U;
constexpr std::size_t MaxNameBytes = 200;
constexpr std::uint64_t MaxDeadlineMs = 3'600'000;

[[noreturn]] void refuse(const std::string &Message) {
  throw UserError(ErrorKind::BadRequest, Message);
}

std::uint64_t parseNumber(const std::string &Text, const char *Name) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  if (Result.ec != std::errc() || Result.ptr != End || Text.empty())
    refuse(std::string(Name) + ": expected a number, found '" + Text + "'");
  return Value;
}

bool isNameCharacter(char Letter) {
  const bool Alphanumeric = (Letter >= 'a' && Letter <= 'z') ||
                            (Letter >= 'A' && Letter <= 'Z') ||
                            (Letter >= '0' && Letter <= '9');
  constexpr std::string_view Punctuation = "-_./:~";
  return Alphanumeric || Punctuation.find(Letter) != std::string_view::npos;
}

void checkName(std::string_view Name, const char *Field) {
  if (Name.empty() || Name.size() > MaxNameBytes)
    refuse(std::string(Field) + ": expected 1 to 200 characters, found " +
           std::to_string(Name.size()));
  if (!std::all_of(Name.begin(), Name.end(), isNameCharacter))
    refuse(std::string(Field) + ": found a character that is not allowed");
}

void expectMethod(const CallerRequest &Request, std::string_view Method) {
  if (Request.m_Method != Method)
    refuse(Request.m_Target + ": expected the method " + std::string(Method) +
           ", found " + Request.m_Method);
}

/// Reads the headers that model calls and service calls have in common.
void readCallHeaders(const CallerRequest &Request,
                     messages::CallRequest &Call) {
  if (!Request.m_ProgramId.empty()) {
    checkName(Request.m_ProgramId, "Program-Id");
    Call.set_program(Request.m_ProgramId);
    if (Request.m_ProgramTurn.empty())
      refuse("Program-Turn: expected with Program-Id, found none");
    Call.set_turn(parseNumber(Request.m_ProgramTurn, "Program-Turn"));
    if (Call.turn() == 0)
      refuse("Program-Turn: expected 1 or more, found 0");
  }
  if (!Request.m_IdempotencyKey.empty()) {
    checkName(Request.m_IdempotencyKey, "Idempotency-Key");
    Call.set_idempotency_key(Request.m_IdempotencyKey);
  }
}

void readChatBody(const CallerRequest &Request, messages::CallRequest &Call) {
  const json Body = json::parse(Request.m_Body, nullptr, false);
  if (!Body.is_object())
    refuse("body: expected a JSON object");
  const auto Model = Body.find("model");
  if (Model == Body.end() || !Model->is_string())
    refuse("model: expected the name of a model service");
  Call.set_service(Model->get<std::string>());
  checkName(Call.service(), "model");
  const auto Messages = Body.find("messages");
  if (Messages == Body.end() || !Messages->is_array() || Messages->empty())
    refuse("messages: expected an array with at least one message");
  Call.set_stream(false);
  if (const auto Stream = Body.find("stream"); Stream != Body.end()) {
    if (!Stream->is_boolean())
      refuse("stream: expected true or false");
    Call.set_stream(Stream->get<bool>());
  }
  Call.set_max_tokens(DefaultMaxTokens);
  if (const auto Limit = Body.find("max_tokens"); Limit != Body.end()) {
    if (!Limit->is_number_unsigned() ||
        Limit->get<std::uint64_t>() > HighestMaxTokens)
      refuse("max_tokens: expected a number up to 1048576");
    Call.set_max_tokens(Limit->get<std::uint64_t>());
  }
}

Route parseChat(const CallerRequest &Request) {
  expectMethod(Request, "POST");
  Route Result;
  Result.m_Kind = RouteKind::RunCall;
  Result.m_Chat = true;
  readCallHeaders(Request, Result.m_Call);
  readChatBody(Request, Result.m_Call);
  Result.m_Call.set_path(std::string(ChatPath));
  Result.m_Call.set_content_type("application/json");
  Result.m_Call.set_body(Request.m_Body);
  return Result;
}

Route parseService(const CallerRequest &Request) {
  expectMethod(Request, "POST");
  Route Result;
  Result.m_Kind = RouteKind::RunCall;
  readCallHeaders(Request, Result.m_Call);
  const std::string Rest = Request.m_Target.substr(ServicesPath.size());
  const std::string Name = Rest.substr(0, Rest.find_first_of("/?"));
  checkName(Name, "service");
  checkName(Rest, "path");
  Result.m_Call.set_service(Name);
  Result.m_Call.set_path(Request.m_Target);
  Result.m_Call.set_content_type(Request.m_ContentType);
  Result.m_Call.set_body(Request.m_Body);
  return Result;
}

Route parsePrograms(const CallerRequest &Request) {
  Route Result;
  if (Request.m_Target == ProgramsPath) {
    expectMethod(Request, "POST");
    Result.m_Kind = RouteKind::CreateProgram;
    return Result;
  }
  expectMethod(Request, "DELETE");
  const std::string Program = Request.m_Target.substr(ProgramsPath.size() + 1);
  checkName(Program, "program");
  Result.m_Kind = RouteKind::EndProgram;
  Result.m_Call.set_program(Program);
  return Result;
}

Route simpleRoute(const CallerRequest &Request, const char *Method,
                  RouteKind Kind) {
  expectMethod(Request, Method);
  Route Result;
  Result.m_Kind = Kind;
  return Result;
}

Route routeOf(const CallerRequest &Request) {
  const std::string &Target = Request.m_Target;
  if (Target == ChatPath)
    return parseChat(Request);
  if (Target.starts_with(ServicesPath))
    return parseService(Request);
  if (Target == ProgramsPath || Target.starts_with("/v1/programs/"))
    return parsePrograms(Request);
  if (Target == "/v1/endpoints/announce")
    return simpleRoute(Request, "POST", RouteKind::Announce);
  if (Target == "/v1/endpoints/leave")
    return simpleRoute(Request, "POST", RouteKind::Leave);
  if (Target == "/healthz")
    return simpleRoute(Request, "GET", RouteKind::Live);
  if (Target == "/readyz")
    return simpleRoute(Request, "GET", RouteKind::Ready);
  if (Target == "/metrics")
    return simpleRoute(Request, "GET", RouteKind::Metrics);
  throw UserError(ErrorKind::NotFound, "no route for " + Target);
}

} // namespace

Route parseRoute(const CallerRequest &Request) {
  Route Result = routeOf(Request);
  if (!Request.m_DeadlineMs.empty()) {
    const std::uint64_t Limit =
        parseNumber(Request.m_DeadlineMs, "Deadline-Ms");
    if (Limit == 0 || Limit > MaxDeadlineMs)
      refuse("Deadline-Ms: expected 1 to 3600000, found " +
             Request.m_DeadlineMs);
    Result.m_Deadline = base::milliseconds(Limit);
  }
  return Result;
}

} // namespace psp::entry
