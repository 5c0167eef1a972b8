#include "coordinator/ProgramAllowance.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace psp::coordinator {

namespace {

/// A program that takes nothing for this long has ended, or its caller won't go
/// on: longer than a turn and the pause after it.
constexpr base::Duration MaxIdleTime = base::milliseconds(1200);
/// The same after a refusal, which its caller waits after.
constexpr base::Duration MaxIdleTimeRefused = base::seconds(3);
constexpr base::Duration ExpiryInterval = base::milliseconds(100);
/// Programs beyond this number are not known as running.
constexpr std::size_t MaxRunning = 1024;
constexpr std::size_t MaxLine = 256;
/// A refused caller is expected back within this time after the one it was
/// told.
constexpr base::Duration MaxReturnDelay = base::milliseconds(300);
/// A program that has lost more than this share of its time to refusals is
/// unlikely to end in time.
constexpr double MaxRefusedTimeShare = 0.2;

/// A program that has taken this many times what is expected may have no end.
/// Programs that start a few sub-agents take less.
constexpr double OverrunFactor = 4;

} // namespace

bool ProgramAllowance::Refused::isBefore(const Refused &Other) const {
  return std::tie(m_Rank, m_Late, m_AskedAt) <
         std::tie(Other.m_Rank, Other.m_Late, Other.m_AskedAt);
}

void ProgramAllowance::begin(const Asking &New, base::TimePoint Now) {
  m_Ranks.onAsked(New.m_Caller, Now);
  m_Ranks.onServed(New.m_Caller, Now);
  use(New, 1, Now);
  if (const auto It = m_Running.find(New.m_Program); It != m_Running.end())
    It->second.m_BeganHere = true;
}

void ProgramAllowance::use(const Asking &User, std::uint32_t Tokens,
                           base::TimePoint Now) {
  m_Line.erase(User.m_Program);
  auto It = m_Running.find(User.m_Program);
  if (It == m_Running.end()) {
    if (m_Running.size() >= MaxRunning)
      return;
    It = m_Running
             .try_emplace(
                 User.m_Program,
                 Running{.m_Route = User.m_Caller.m_Route, .m_BegunAt = Now})
             .first;
  }
  It->second.m_Used += Tokens;
  It->second.m_UsedAt = Now;
  It->second.m_WasRefused = false;
}

bool ProgramAllowance::isOverrunning(const std::string &Program) const {
  const auto It = m_Running.find(Program);
  if (It == m_Running.end())
    return false;
  const auto Expected = m_Demand->expected(It->second.m_Route);
  return Expected && It->second.m_Used > OverrunFactor * Expected->m_Tokens;
}

void ProgramAllowance::onRefused(const std::string &Program) {
  const auto It = m_Running.find(Program);
  if (It != m_Running.end())
    It->second.m_WasRefused = true;
}

base::Duration ProgramAllowance::maxIdleTime(const Running &Begun) {
  return Begun.m_WasRefused ? MaxIdleTimeRefused : MaxIdleTime;
}

double ProgramAllowance::expectedTokens(const std::string &Route) const {
  const auto Expected = m_Demand->expected(Route);
  return Expected ? Expected->m_Tokens : 0;
}

double ProgramAllowance::remainingNeed(base::TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Program, Begun] : m_Running) {
    const double Left = expectedTokens(Begun.m_Route) - Begun.m_Used;
    // The longer it is idle, the likelier it has ended.
    const double Idle = std::chrono::duration<double>(Now - Begun.m_UsedAt) /
                        std::chrono::duration<double>(maxIdleTime(Begun));
    Sum += std::max(0.0, Left) * std::clamp(1 - Idle, 0.0, 1.0);
  }
  return Sum;
}

ProgramAllowance::Refused
ProgramAllowance::describe(const Asking &New, base::TimePoint Now) const {
  const auto It = m_Line.find(New.m_Program);
  Refused Described{.m_Rank = m_Ranks.rankOf(New.m_Caller, Now),
                    .m_AskedAt =
                        It == m_Line.end() ? Now : It->second.m_AskedAt,
                    .m_BackAt = Now,
                    .m_Route = New.m_Caller.m_Route};
  const base::Duration Lost = Now - Described.m_AskedAt;
  if (New.m_ProgramTimeLeft)
    Described.m_Late = std::chrono::duration<double>(Lost) >
                       MaxRefusedTimeShare * std::chrono::duration<double>(
                                                 Lost + *New.m_ProgramTimeLeft);
  return Described;
}

ProgramAllowance::NeedBefore
ProgramAllowance::needBefore(const Asking &New, base::TimePoint Now) const {
  const Refused Described = describe(New, Now);
  NeedBefore Sum;
  for (const auto &[Program, Waiting] : m_Line) {
    if (Program == New.m_Program || Described.isBefore(Waiting))
      continue;
    const double Need = expectedTokens(Waiting.m_Route);
    Sum.m_All += Need;
    // For one that comes back later, tokens accrue until then.
    Sum.m_Due += Waiting.m_BackAt <= Now ? Need : 0;
  }
  return Sum;
}

double ProgramAllowance::needOfDue(base::TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Program, Waiting] : m_Line)
    Sum += Waiting.m_BackAt <= Now ? expectedTokens(Waiting.m_Route) : 0;
  return Sum;
}

void ProgramAllowance::enqueue(const Asking &New, base::Duration Wait,
                               base::TimePoint Now) {
  Refused Waiting = describe(New, Now);
  m_Ranks.onAsked(New.m_Caller, Now);
  Waiting.m_BackAt = Now + Wait;
  if (m_Line.size() < MaxLine || m_Line.contains(New.m_Program))
    m_Line[New.m_Program] = std::move(Waiting);
}

void ProgramAllowance::expire(base::TimePoint Now) {
  if (Now - m_ExpiredAt < ExpiryInterval)
    return;
  m_ExpiredAt = Now;
  std::erase_if(m_Line, [&](const auto &Entry) {
    return Entry.second.m_BackAt + MaxReturnDelay < Now;
  });
  std::erase_if(m_Running, [&](const auto &Entry) {
    const Running &Begun = Entry.second;
    if (Now - Begun.m_UsedAt < maxIdleTime(Begun))
      return false;
    ++m_Ended;
    if (Begun.m_WasRefused)
      ++m_BrokenOff;
    else if (Begun.m_BeganHere) {
      // A program without end tells nothing about the others.
      const auto Expected = m_Demand->expected(Begun.m_Route);
      const double Taken =
          Expected ? std::min(Begun.m_Used, OverrunFactor * Expected->m_Tokens)
                   : Begun.m_Used;
      m_Demand->learn(
          Begun.m_Route,
          {.m_Tokens = Taken, .m_Time = Begun.m_UsedAt - Begun.m_BegunAt});
    }
    return true;
  });
}

} // namespace psp::coordinator
