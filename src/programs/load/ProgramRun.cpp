#include "programs/load/ProgramRun.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace psp::load {
namespace {

using nlohmann::json;

constexpr unsigned MaxAttempts = 20;
constexpr std::uint64_t MinTokens = 5;
constexpr std::uint64_t LongestMessageBytes = 800;
constexpr std::uint64_t LoopTurns = 100000;

bool isLimit(const std::string &Kind) {
  return Kind == "turn-limit" || Kind == "token-limit" ||
         Kind == "time-limit" || Kind == "budget-exceeded";
}

bench::HttpHeader keyHeader(const Organisation &Owner) {
  return {"Authorization", "Bearer " + Owner.m_Key};
}

} // namespace

bool LoadContext::chance(double Share) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_Random) < Share;
}

std::uint64_t LoadContext::between(std::uint64_t Low, std::uint64_t High) {
  return std::uniform_int_distribution<std::uint64_t>(Low, High)(m_Random);
}

base::Duration LoadContext::exponential(base::Duration Mean) {
  const double Length = std::exponential_distribution<double>(
      1.0 /
      static_cast<double>(std::max<std::int64_t>(1, Mean.count())))(m_Random);
  return base::Duration(static_cast<std::int64_t>(Length));
}

const std::string &LoadContext::nextEntry() {
  return m_Options.m_Entries[m_NextEntry++ % m_Options.m_Entries.size()];
}

std::string LoadContext::nextKey() {
  return "load-" + std::to_string(m_Options.m_Seed) + "-" +
         std::to_string(++m_LastKey);
}

ProgramRun::ProgramRun(LoadContext &Context, const Organisation &Owner,
                       bool SubAgent, std::function<void()> Done)
    : m_Context(Context), m_Owner(Owner), m_SubAgent(SubAgent),
      m_Done(std::move(Done)), m_Timer(Context.m_Io) {
  const LoadOptions &Options = Context.m_Options;
  m_Loops = !SubAgent && Context.chance(Options.m_LoopShare);
  m_Abandons = !m_Loops && Context.chance(Options.m_AbandonShare);
  m_TurnsLeft =
      m_Loops ? LoopTurns : Context.between(1, 2 * Options.m_MeanTurns - 1);
}

void ProgramRun::start() {
  m_Context.m_Report.noteStarted();
  m_Started = base::readMonotonic();
  create();
}

void ProgramRun::create() {
  send({.m_Address = {},
        .m_Target = "/v1/programs",
        .m_Headers = {keyHeader(m_Owner)},
        .m_Body = "{}"},
       [this](const bench::ClientResponse &Response) {
         const Answer Read = readProgram(Response);
         if (Read.m_State != AnswerState::Whole) {
           handleError(Read, &ProgramRun::create);
           return;
         }
         m_Id = Read.m_Text;
         m_Attempts = 0;
         nextTurn();
       });
}

void ProgramRun::nextTurn() {
  if (m_TurnsLeft == 0 || m_Context.m_Stopping) {
    remove();
    return;
  }
  --m_TurnsLeft;
  const LoadOptions &Options = m_Context.m_Options;
  m_CallStarted = base::readMonotonic();
  if (m_Abandons && m_TurnsLeft == 0) {
    abandon();
  } else if (!Options.m_OrderService.empty() &&
             m_Context.chance(Options.m_OrderShare)) {
    m_Key = m_Context.nextKey();
    order();
  } else if (!m_SubAgent && m_Context.chance(Options.m_SubAgentShare)) {
    runSubAgent();
  } else {
    const std::uint64_t Length = m_Context.between(20, LongestMessageBytes);
    const std::uint64_t Seed = m_Context.between(0, ~std::uint64_t{0});
    m_NewMessage = {"user", bench::answerText(Seed, Length / 4)};
    m_MaxTokens = m_Context.between(MinTokens, Options.m_MaxTokens);
    m_Streamed = m_Context.chance(Options.m_StreamShare);
    chat();
  }
}

void ProgramRun::chat() {
  const json Body = {
      {"model", m_Context.m_Options.m_Model},
      {"messages",
       {{{"role", m_NewMessage.m_Role}, {"content", m_NewMessage.m_Content}}}},
      {"max_tokens", m_MaxTokens},
      {"stream", m_Streamed}};
  send(
      {.m_Address = {},
       .m_Target = "/v1/chat/completions",
       .m_Headers = headers(),
       .m_Body = Body.dump()},
      [this](const bench::ClientResponse &Response) {
        takeCompletion(Response);
      },
      m_Streamed);
}

void ProgramRun::takeCompletion(const bench::ClientResponse &Response) {
  const Answer Read = readCompletion(Response, m_Streamed);
  if (Read.m_State != AnswerState::Whole) {
    handleError(Read, &ProgramRun::chat);
    return;
  }
  m_Conversation.push_back(m_NewMessage);
  const std::string Expected = bench::answerText(
      bench::answerSeed(m_Id, std::to_string(m_Turn), m_Conversation),
      m_MaxTokens);
  if (Read.m_Text != Expected)
    m_Context.m_Report.noteWrong(
        m_Id + " turn " + std::to_string(m_Turn) + ": expected " +
        std::to_string(Expected.size()) + " bytes of its own, found " +
        std::to_string(Read.m_Text.size()) + " bytes");
  m_Conversation.push_back({"assistant", Read.m_Text});
  m_Context.m_Report.noteTime(Timed::Turn, m_Owner.m_Name,
                              base::readMonotonic() - m_CallStarted);
  endTurn();
}

void ProgramRun::order() {
  std::vector<bench::HttpHeader> Headers = headers();
  Headers.push_back({"Idempotency-Key", m_Key});
  send({.m_Address = {},
        .m_Target = "/v1/services/" + m_Context.m_Options.m_OrderService,
        .m_Headers = Headers,
        .m_Body = json{{"piece", m_Key}}.dump()},
       [this](const bench::ClientResponse &Response) { takeOrder(Response); });
}

void ProgramRun::takeOrder(const bench::ClientResponse &Response) {
  const Answer Read = readService(Response);
  if (Read.m_State != AnswerState::Whole) {
    handleError(Read, &ProgramRun::order);
    return;
  }
  if (!namesKey(Read.m_Text, m_Key) && !namesKey(Read.m_Text, m_Id))
    m_Context.m_Report.noteWrong(m_Id + " turn " + std::to_string(m_Turn) +
                                 ": the answer belongs to another order");
  m_Context.m_Report.noteTime(Timed::Order, m_Owner.m_Name,
                              base::readMonotonic() - m_CallStarted);
  endTurn();
}

void ProgramRun::runSubAgent() {
  const auto Child = std::make_shared<ProgramRun>(
      m_Context, m_Owner, true, [Self = shared_from_this()] { Self->pause(); });
  Child->start();
}

void ProgramRun::endTurn() {
  ++m_Turn;
  m_Attempts = 0;
  pause();
}

void ProgramRun::pause() {
  after(m_Context.exponential(m_Context.m_Options.m_MeanPause),
        &ProgramRun::nextTurn);
}

void ProgramRun::handleError(const Answer &Failure,
                             void (ProgramRun::*Again)()) {
  LoadReport &Report = m_Context.m_Report;
  Report.noteError(m_Owner.m_Name, Failure.m_Kind);
  ++m_Attempts;
  const bool Lasting = Failure.m_State == AnswerState::Failed;
  if (!Lasting && m_Attempts < MaxAttempts) {
    after(Failure.m_RetryAfter, Again);
    return;
  }
  if (m_Loops && isLimit(Failure.m_Kind))
    Report.noteStoppedLoop();
  else
    Report.noteGivenUp();
  end();
}

void ProgramRun::abandon() {
  // The call is sent and nobody waits for its answer; the program is never
  // deleted.
  const json Body = {{"model", m_Context.m_Options.m_Model},
                     {"messages", {{{"role", "user"}, {"content", "bye"}}}},
                     {"max_tokens", m_Context.m_Options.m_MaxTokens},
                     {"stream", true}};
  const auto Pending = bench::sendRequest(m_Context.m_Io,
                                          {.m_Address = m_Context.nextEntry(),
                                           .m_Target = "/v1/chat/completions",
                                           .m_Headers = headers(),
                                           .m_Body = Body.dump()},
                                          [](const bench::ClientResponse &) {});
  m_Timer.expires_after(base::milliseconds(50));
  m_Timer.async_wait([Self = shared_from_this(), Pending](const auto &) {
    Pending->abandon();
    Self->m_Context.m_Report.noteAbandoned();
    Self->m_Done();
  });
}

void ProgramRun::remove() {
  m_Context.m_Report.noteTime(Timed::Program, m_Owner.m_Name,
                              base::readMonotonic() - m_Started);
  m_Context.m_Report.noteEnded();
  end();
}

void ProgramRun::end() {
  if (m_Id.empty()) {
    m_Done();
    return;
  }
  bench::sendRequest(m_Context.m_Io,
                     {.m_Address = m_Context.nextEntry(),
                      .m_Method = "DELETE",
                      .m_Target = "/v1/programs/" + m_Id,
                      .m_Headers = {keyHeader(m_Owner)},
                      .m_Body = {}},
                     [Self = shared_from_this()](
                         const bench::ClientResponse &) { Self->m_Done(); });
}

void ProgramRun::send(bench::ClientRequest Request,
                      std::function<void(const bench::ClientResponse &)> Handle,
                      bool TimeFirstByte) {
  Request.m_Address = m_Context.nextEntry();
  Request.m_Timeout = m_Context.m_Options.m_CallTimeout;
  Request.m_Headers.push_back({"Content-Type", "application/json"});
  const base::TimePoint Sent = base::readMonotonic();
  bench::sendRequest(
      m_Context.m_Io, std::move(Request),
      [Self = shared_from_this(), Handle = std::move(Handle)](
          const bench::ClientResponse &Response) { Handle(Response); },
      [this, Sent, TimeFirstByte] {
        if (TimeFirstByte)
          m_Context.m_Report.noteTime(Timed::FirstByte, m_Owner.m_Name,
                                      base::readMonotonic() - Sent);
      });
}

void ProgramRun::after(base::Duration Length, void (ProgramRun::*Next)()) {
  m_Timer.expires_after(Length);
  m_Timer.async_wait(
      [Self = shared_from_this(), Next](const auto &) { (*Self.*Next)(); });
}

std::vector<bench::HttpHeader> ProgramRun::headers() const {
  return {keyHeader(m_Owner),
          {"Program-Id", m_Id},
          {"Program-Turn", std::to_string(m_Turn)}};
}

void raiseAlarm(LoadContext &Context, const Organisation &Owner) {
  const base::TimePoint Sent = base::readMonotonic();
  const std::string Key = Context.nextKey();
  bench::sendRequest(
      Context.m_Io,
      {.m_Address = Context.nextEntry(),
       .m_Target = "/v1/services/" + Context.m_Options.m_NoticeService,
       .m_Headers = {keyHeader(Owner),
                     {"Content-Type", "application/json"},
                     {"Idempotency-Key", Key}},
       .m_Body = "{}",
       .m_Timeout = Context.m_Options.m_CallTimeout},
      [&Context, Name = Owner.m_Name,
       Sent](const bench::ClientResponse &Response) {
        const Answer Read = readService(Response);
        if (Read.m_State == AnswerState::Whole)
          Context.m_Report.noteTime(Timed::Alarm, Name,
                                    base::readMonotonic() - Sent);
        else
          Context.m_Report.noteError(Name, "alarm: " + Read.m_Kind);
      });
}

} // namespace psp::load
