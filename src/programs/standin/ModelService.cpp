#include "programs/standin/ModelService.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace psp::standin {
namespace {

using nlohmann::json;

constexpr std::string_view Json = "application/json";
constexpr std::string_view EventStream = "text/event-stream";
constexpr std::uint64_t DefaultMaxTokens = 64;
constexpr std::size_t RememberedCalls = 2000;

bench::Conversation conversationOf(const json &Body) {
  bench::Conversation Result;
  for (const json &Each : Body.value("messages", json::array())) {
    const json Content = Each.value("content", json(""));
    Result.push_back({.m_Role = Each.value("role", "user"),
                      .m_Content = Content.is_string()
                                       ? Content.get<std::string>()
                                       : Content.dump()});
  }
  return Result;
}

std::string event(std::uint64_t Number, const json &Data) {
  return "id: " + std::to_string(Number) + "\ndata: " + Data.dump() + "\n\n";
}

json usage(std::uint64_t Prompt, std::uint64_t Answer, std::uint64_t Cached) {
  return {{"prompt_tokens", Prompt},
          {"completion_tokens", Answer},
          {"total_tokens", Prompt + Answer},
          {"prompt_tokens_details", {{"cached_tokens", Cached}}}};
}

} // namespace

ModelService::ModelService(boost::asio::io_context &Context,
                           const StandinOptions &Options, FaultSwitch &Switch,
                           CallLedger &Ledger)
    : m_Context(Context), m_Options(Options), m_Switch(Switch),
      m_Ledger(Ledger), m_Engine(Options.m_Engine),
      m_Cache(Options.m_CacheTokens), m_StepTimer(Context) {}

bool ModelService::handle(const ExchangePointer &Exchange) {
  const std::string &Target = Exchange->request().m_Target;
  if (Target == "/v1/chat/completions")
    complete(Exchange);
  else if (Target == "/v1/cancel")
    cancel(Exchange);
  else if (Target == "/v1/release")
    release(Exchange);
  else if (Target == "/v1/orders")
    order(Exchange);
  else if (Target == "/state")
    answerState(Exchange);
  else
    return false;
  return true;
}

EndpointLoad ModelService::load() const {
  return {.m_Running = m_Engine.running(),
          .m_Waiting = m_Engine.waiting(),
          .m_HeldPrograms = m_Cache.programs()};
}

void ModelService::complete(const ExchangePointer &Exchange) {
  const std::string CallId = Exchange->request().header("Call-Id");
  const auto Known = m_NumberOfCallId.find(CallId);
  if (!CallId.empty() && Known != m_NumberOfCallId.end()) {
    attach(m_Calls.at(Known->second), Exchange);
    return;
  }
  const CallFault Fault = m_Switch.next();
  if (Fault == CallFault::Fail) {
    Exchange->answer(500, Json, R"({"error":"fault: not run"})");
    return;
  }
  const bool Hangs = Fault == CallFault::Hang;
  const base::Duration Late = m_Switch.faults().m_Late;
  if (Late == base::Duration::zero()) {
    start(Exchange, CallId, Hangs);
    return;
  }
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(m_Context, Late);
  Timer->async_wait([this, Exchange, CallId, Hangs, Timer](const auto &) {
    start(Exchange, CallId, Hangs);
  });
}

void ModelService::start(const ExchangePointer &Exchange,
                         const std::string &CallId, bool Hangs) {
  const ServerRequest &Request = Exchange->request();
  const json Body = json::parse(Request.m_Body, nullptr, false);
  if (!Body.is_object()) {
    Exchange->answer(400, Json, R"({"error":"expected a JSON object"})");
    return;
  }
  const bench::Conversation Messages = conversationOf(Body);
  const std::uint64_t Number = ++m_LastNumber;
  Call &New = m_Calls[Number];
  New.m_Run = startRun(m_Options.m_Services.front(), Request);
  if (m_LeftAt) {
    const auto Since = base::readMonotonic() - *m_LeftAt;
    New.m_Run.m_SinceLeaveMs =
        std::chrono::duration_cast<base::milliseconds>(Since).count();
  }
  New.m_Prefixes = bench::prefixesOf(Messages);
  New.m_PromptTokens = bench::countTokens(Messages);
  New.m_CachedTokens = m_Cache.cachedTokens(New.m_Prefixes);
  New.m_MaxTokens =
      std::max<std::uint64_t>(Body.value("max_tokens", DefaultMaxTokens), 1);
  New.m_AnswerSeed =
      bench::answerSeed(New.m_Run.m_Program, New.m_Run.m_Turn, Messages);
  New.m_Hangs = Hangs;
  New.m_Stream = Body.value("stream", false);
  if (!CallId.empty())
    m_NumberOfCallId[CallId] = Number;
  m_Engine.submit(Number, New.m_PromptTokens - New.m_CachedTokens,
                  New.m_MaxTokens);
  attach(New, Exchange);
  step();
}

void ModelService::attach(Call &Target, const ExchangePointer &Exchange) {
  const std::string LastEvent = Exchange->request().header("Last-Event-ID");
  Target.m_Exchange = Exchange;
  Target.m_Sent = std::strtoull(LastEvent.c_str(), nullptr, 10);
  if (m_Switch.faults().m_DropAfterBytes != 0)
    Exchange->dropAfter(m_Switch.faults().m_DropAfterBytes);
  if (Target.m_Stream)
    Exchange->startStream(EventStream);
  sendNew(Target);
  if (Target.m_Finished)
    sendEnd(Target);
}

void ModelService::sendNew(Call &Target) {
  if (!Target.m_Stream || Target.m_Hangs || !Target.m_Exchange)
    return;
  while (Target.m_Sent < Target.m_Tokens) {
    const std::string Token =
        bench::answerToken(Target.m_AnswerSeed, Target.m_Sent);
    ++Target.m_Sent;
    const json Data = {
        {"object", "chat.completion.chunk"},
        {"choices", {{{"index", 0}, {"delta", {{"content", Token}}}}}}};
    Target.m_Exchange->write(event(Target.m_Sent, Data));
  }
}

void ModelService::sendEnd(Call &Target) {
  if (Target.m_Hangs || !Target.m_Exchange)
    return;
  const json Usage =
      usage(Target.m_PromptTokens, Target.m_Tokens, Target.m_CachedTokens);
  if (!Target.m_Stream) {
    const std::string Text =
        bench::answerText(Target.m_AnswerSeed, Target.m_Tokens);
    const json Body = {
        {"object", "chat.completion"},
        {"choices",
         {{{"index", 0},
           {"message", {{"role", "assistant"}, {"content", Text}}},
           {"finish_reason", "stop"}}}},
        {"usage", Usage}};
    Target.m_Exchange->answer(200, Json, Body.dump());
  } else {
    const json Last = {{"object", "chat.completion.chunk"},
                       {"choices",
                        {{{"index", 0},
                          {"delta", json::object()},
                          {"finish_reason", "stop"}}}},
                       {"usage", Usage}};
    if (Target.m_Sent <= Target.m_Tokens)
      Target.m_Exchange->write(event(Target.m_Tokens + 1, Last));
    Target.m_Exchange->write("data: [DONE]\n\n");
    Target.m_Exchange->endStream();
  }
  Target.m_Exchange.reset();
}

void ModelService::cancel(const ExchangePointer &Exchange) {
  const json Body = json::parse(Exchange->request().m_Body, nullptr, false);
  const std::string CallId =
      Body.is_object() ? Body.value("call_id", "") : std::string();
  const auto Known = m_NumberOfCallId.find(CallId);
  if (Known == m_NumberOfCallId.end()) {
    Exchange->answer(404, Json, R"({"error":"no such call"})");
    return;
  }
  Call &Target = m_Calls.at(Known->second);
  if (!Target.m_Finished) {
    m_Engine.cancel(Known->second);
    Target.m_Run.m_End = base::readClocks().m_Wall;
    m_Ledger.append(Target.m_Run);
    if (Target.m_Exchange && Target.m_Stream)
      Target.m_Exchange->endStream();
    m_Calls.erase(Known->second);
    m_NumberOfCallId.erase(Known);
  }
  Exchange->answer(200, Json, "{}");
}

void ModelService::release(const ExchangePointer &Exchange) {
  const json Body = json::parse(Exchange->request().m_Body, nullptr, false);
  if (Body.is_object())
    m_Cache.release(Body.value("program", ""));
  Exchange->answer(200, Json, "{}");
}

void ModelService::answerState(const ExchangePointer &Exchange) const {
  const json Body = {{"id", m_Options.m_Id},
                     {"held_programs", m_Cache.programs()},
                     {"cached_tokens", m_Cache.heldTokens()},
                     {"running", m_Engine.running()},
                     {"waiting", m_Engine.waiting()},
                     {"orders", m_Orders},
                     {"fencing_number", m_HighestFencing}};
  Exchange->answer(200, Json, Body.dump());
}

void ModelService::order(const ExchangePointer &Exchange) {
  const json Body = json::parse(Exchange->request().m_Body, nullptr, false);
  if (!Body.is_object()) {
    Exchange->answer(400, Json, R"({"error":"expected a JSON object"})");
    return;
  }
  const std::uint64_t Number = Body.value("fencing_number", std::uint64_t{0});
  if (m_Options.m_ChecksFencing && Number < m_HighestFencing) {
    Exchange->answer(409, Json, R"({"error":"old fencing number"})");
    return;
  }
  m_HighestFencing = std::max(m_HighestFencing, Number);
  m_Orders[Body.value("order", "")] = Body.value("name", "");
  Exchange->answer(200, Json, "{}");
}

void ModelService::step() {
  if (m_Stepping)
    return;
  const base::Duration Length = m_Engine.beginStep();
  if (Length == base::Duration::zero())
    return;
  m_Stepping = true;
  m_StepTimer.expires_after(Length);
  m_StepTimer.async_wait([this](const auto &Error) {
    if (!Error)
      endStep();
  });
}

void ModelService::endStep() {
  m_Stepping = false;
  for (const bench::Progress &Each : m_Engine.endStep()) {
    const auto Known = m_Calls.find(Each.m_Call);
    if (Known == m_Calls.end())
      continue;
    ++Known->second.m_Tokens;
    sendNew(Known->second);
    if (Each.m_Finished)
      finish(Each.m_Call);
  }
  step();
}

void ModelService::finish(std::uint64_t Number) {
  Call &Target = m_Calls.at(Number);
  Target.m_Finished = true;
  // The engine holds the answer as well: the next turn begins with it.
  const std::uint64_t Tokens = Target.m_Tokens;
  const std::string Text = bench::answerText(Target.m_AnswerSeed, Tokens);
  Target.m_Prefixes.push_back(
      bench::extendPrefix(Target.m_Prefixes, {"assistant", Text}));
  m_Cache.insert(Target.m_Run.m_Program, Target.m_Prefixes);
  Target.m_Run.m_End = base::readClocks().m_Wall;
  m_Ledger.append(Target.m_Run);
  sendEnd(Target);
  m_Remembered.push_back(Number);
  if (m_Remembered.size() <= RememberedCalls)
    return;
  const auto Oldest = m_Calls.find(m_Remembered.front());
  m_Remembered.pop_front();
  m_NumberOfCallId.erase(Oldest->second.m_Run.m_CallId);
  m_Calls.erase(Oldest);
}

} // namespace psp::standin
