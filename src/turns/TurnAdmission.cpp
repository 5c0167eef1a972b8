#include "turns/TurnAdmission.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace psp::turns {

namespace {

constexpr double NewestSampleWeight = 0.05;
/// The minimum event gap grows by this factor with each turn, so that engines
/// that became slow for good are the new reference within minutes.
constexpr double MinGapGrowthFactor = 1.0002;

/// Rank by the time that the program has left; a lower rank is more urgent. A
/// program that is late already comes after all that can still end in time.
std::uint64_t timeLeftRank(const TurnAdmission::PendingTurn &Turn) {
  const auto &Begin = Turn.m_Request.begin();
  if (!Begin.has_program_left())
    return std::numeric_limits<std::uint64_t>::max() / 2;
  return Begin.program_left_ms() > 0
             ? Begin.program_left_ms()
             : std::numeric_limits<std::uint64_t>::max();
}

fleet::RankOrder::Caller callerOf(const TurnAdmission::PendingTurn &Turn) {
  const auto &Placement = Turn.m_Request.placement();
  return {.m_Priority = Placement.priority(),
          .m_Route = Placement.route(),
          .m_Organisation = Turn.m_Request.begin().organisation()};
}

} // namespace

TurnAdmission::Decision TurnAdmission::decide(const PendingTurn &Turn,
                                              const Load &Current) {
  // No engine is usable. The turn needn't wait here: its entry instance detects
  // this itself.
  if (Current.m_Slots == 0)
    return Decision::Begin;
  rankOrder(Turn).onAsked(callerOf(Turn), Turn.m_ArrivedAt);
  // If other turns wait, takeReady() decides which one is next.
  if (m_Waiting.empty() && isBelowShare(Current, admissionShare(Turn))) {
    recordBegin(Turn, Turn.m_ArrivedAt);
    return Decision::Begin;
  }
  m_Waiting.push_back(Turn);
  if (m_Options.m_UsesRanks)
    m_Waiting.back().m_Rank =
        rankOrder(Turn).rankOf(callerOf(Turn), Turn.m_ArrivedAt);
  return Decision::Wait;
}

fleet::RankOrder &TurnAdmission::rankOrder(const PendingTurn &Turn) {
  return Turn.m_NewProgram ? m_NewProgramRanks : m_LaterTurnRanks;
}

void TurnAdmission::recordBegin(const PendingTurn &Begun, base::TimePoint Now) {
  rankOrder(Begun).onServed(callerOf(Begun), Now);
}

bool TurnAdmission::coalesce(const PendingTurn &Repeated) {
  for (PendingTurn &Waiting : m_Waiting) {
    if (Waiting.m_Request.begin().turn() != Repeated.m_Request.begin().turn())
      continue;
    Waiting.m_From = Repeated.m_From;
    Waiting.m_Request.set_id(Repeated.m_Request.id());
    return true;
  }
  return false;
}

void TurnAdmission::cancel(const std::string &Turn) {
  std::erase_if(m_Waiting, [&](const PendingTurn &Waiting) {
    return Waiting.m_Request.begin().turn() == Turn;
  });
}

bool TurnAdmission::isLikelyToMissDeadline(const PendingTurn &Turn) const {
  const auto &Begin = Turn.m_Request.begin();
  const auto Rejection = m_FirstRejectedAt.find(Begin.program());
  if (Rejection == m_FirstRejectedAt.end() || !Begin.has_program_left())
    return false;
  const double LostMs = std::chrono::duration<double, std::milli>(
                            Turn.m_ArrivedAt - Rejection->second)
                            .count();
  return LostMs >
         m_Options.m_MaxRejectedTimeShare * (LostMs + Begin.program_left_ms());
}

void TurnAdmission::recordRejection(const PendingTurn &Rejected) {
  const base::TimePoint Now = Rejected.m_ArrivedAt;
  if (Now >= m_NextCleanupAt) {
    m_NextCleanupAt = Now + m_Options.m_RejectionRetentionTime;
    std::erase_if(m_FirstRejectedAt, [&](const auto &Entry) {
      return Now - Entry.second > m_Options.m_RejectionRetentionTime;
    });
  }
  m_FirstRejectedAt.try_emplace(Rejected.m_Request.begin().program(), Now);
}

double TurnAdmission::admissionShare(const PendingTurn &Turn) const {
  if (!Turn.m_NewProgram)
    return m_Options.m_LaterTurnShare;
  const bool SlowsDown = m_MaxShare < m_Options.m_LowSlowdownShare;
  return m_NewProgramShare - (SlowsDown && isLikelyToMissDeadline(Turn)
                                  ? m_Options.m_LateProgramMargin
                                  : 0);
}

bool TurnAdmission::isBefore(const PendingTurn &Left,
                             const PendingTurn &Right) const {
  const auto Rank = [this](const PendingTurn &Turn) {
    return std::tuple(Turn.m_NewProgram, Turn.m_Rank,
                      Turn.m_NewProgram && isLikelyToMissDeadline(Turn),
                      timeLeftRank(Turn), Turn.m_ArrivedAt);
  };
  return Rank(Left) < Rank(Right);
}

std::vector<TurnAdmission::PendingTurn> TurnAdmission::takeReady(Load Current) {
  const auto Before = [this](const PendingTurn &Left,
                             const PendingTurn &Right) {
    return isBefore(Left, Right);
  };
  std::vector<PendingTurn> Ready;
  while (!m_Waiting.empty()) {
    const auto Next = std::ranges::min_element(m_Waiting, Before);
    if (!isBelowShare(Current, admissionShare(*Next)))
      break;
    recordBegin(*Next, Next->m_ArrivedAt);
    Ready.push_back(std::move(*Next));
    m_Waiting.erase(Next);
    ++Current.m_Running;
  }
  return Ready;
}

template <typename Condition>
std::vector<TurnAdmission::PendingTurn>
TurnAdmission::takeIf(Condition Matches) {
  const auto Matching = std::stable_partition(
      m_Waiting.begin(), m_Waiting.end(),
      [&](const PendingTurn &Turn) { return !Matches(Turn); });
  std::vector<PendingTurn> Taken(std::make_move_iterator(Matching),
                                 std::make_move_iterator(m_Waiting.end()));
  m_Waiting.erase(Matching, m_Waiting.end());
  return Taken;
}

std::vector<TurnAdmission::PendingTurn>
TurnAdmission::takeOverdue(base::TimePoint Now) {
  return takeIf([&](const PendingTurn &Turn) {
    return !Turn.m_NewProgram &&
           Now - Turn.m_ArrivedAt >= m_Options.m_MaxLaterTurnWait;
  });
}

std::vector<TurnAdmission::PendingTurn>
TurnAdmission::takeRejected(std::size_t Slots, base::TimePoint Now) {
  std::vector<PendingTurn> Rejected = takeIf([&](const PendingTurn &Turn) {
    return Turn.m_NewProgram &&
           Now - Turn.m_ArrivedAt >= m_Options.m_MaxNewProgramWait;
  });
  const double MaxWaiting =
      m_Options.m_MaxWaitingShare * static_cast<double>(Slots);
  while (static_cast<double>(waitingNewPrograms()) > MaxWaiting) {
    // New programs come after later turns, so the last one is new.
    const auto Last = std::ranges::max_element(
        m_Waiting, [this](const PendingTurn &Left, const PendingTurn &Right) {
          return isBefore(Left, Right);
        });
    Rejected.push_back(std::move(*Last));
    m_Waiting.erase(Last);
  }
  for (const PendingTurn &Turn : Rejected)
    recordRejection(Turn);
  return Rejected;
}

std::size_t TurnAdmission::waitingNewPrograms() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_Waiting, [](const PendingTurn &Turn) { return Turn.m_NewProgram; }));
}

std::vector<TurnAdmission::PendingTurn> TurnAdmission::takeAll() {
  return std::exchange(m_Waiting, {});
}

void TurnAdmission::observeEventGap(std::uint32_t GapUs, const Load &Current) {
  if (GapUs == 0)
    return;
  m_EventGapUs = m_EventGapUs <= 0
                     ? GapUs
                     : NewestSampleWeight * GapUs +
                           (1 - NewestSampleWeight) * m_EventGapUs;
  m_MinEventGapUs =
      m_MinEventGapUs <= 0
          ? m_EventGapUs
          : std::min(m_MinEventGapUs * MinGapGrowthFactor, m_EventGapUs);
  const double Slowdown = m_EventGapUs / m_MinEventGapUs;
  if (!isBelowShare(Current, m_Options.m_HighLoadShare))
    m_MaxShare = std::clamp(
        adjustedShare(m_MaxShare, Slowdown < m_Options.m_LowSlowdown),
        m_Options.m_MaxNewProgramShare, m_Options.m_LowSlowdownShare);
  m_NewProgramShare = std::clamp(
      adjustedShare(m_NewProgramShare, Slowdown <= m_Options.m_MaxSlowdown),
      m_Options.m_MinNewProgramShare, m_MaxShare);
}

double TurnAdmission::adjustedShare(double Share, bool Increase) const {
  return Increase ? Share + m_Options.m_ShareIncrease
                  : Share * m_Options.m_ShareDecreaseFactor;
}

base::Duration TurnAdmission::retryAfter() {
  std::uniform_int_distribution<std::int64_t> Extra(
      0, m_Options.m_RetryAfter.count() / 2);
  return m_Options.m_RetryAfter + base::Duration(Extra(m_Random));
}

base::Duration TurnAdmission::retryAfter(const PendingTurn &Rejected) {
  const base::Duration Ordinary = retryAfter();
  const bool Outranked =
      std::ranges::any_of(m_Waiting, [&](const PendingTurn &Waiting) {
        return Waiting.m_NewProgram == Rejected.m_NewProgram &&
               Waiting.m_Rank < Rejected.m_Rank;
      });
  return Outranked ? std::chrono::duration_cast<base::Duration>(
                         Ordinary * m_Options.m_OutrankedRetryFactor)
                   : Ordinary;
}

bool TurnAdmission::isBelowShare(const Load &Current, double Share) const {
  return static_cast<double>(Current.m_Running) <
         Share * static_cast<double>(Current.m_Slots);
}

} // namespace psp::turns
