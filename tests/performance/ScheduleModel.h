/// \file
/// A small event-driven model for comparing scheduling policies: the real
/// scheduler in each entry instance, the cost model of a batching engine in
/// each endpoint, and programs that call, pause and call again. There is no
/// network, only fixed delays.

#ifndef PSP_TESTS_PERFORMANCE_SCHEDULEMODEL_H
#define PSP_TESTS_PERFORMANCE_SCHEDULEMODEL_H

#include "schedule/Scheduler.h"

#include <cstdint>
#include <string>
#include <vector>

namespace psp::schedule::model {

/// A deployment of one user.
struct Deployment {
  std::string m_Name;
  double m_ClientDelayMs = 1.0;    ///< One way.
  double m_MeanPauseSeconds = 1.0; ///< Of tools between turns.
  unsigned m_MeanTurns = 6;
  unsigned m_MeanPrompt = 1500; ///< Tokens of the first turn.
};

/// One run.
struct Setup {
  Deployment m_Deployment{};
  std::string m_Name{};
  QueueOptions m_Queue{};
  WindowOptions m_Window{};
  RoutingOrder m_Routing = RoutingOrder::PrefixAffinity;
  double m_Load = 0.8;       ///< Programs offered, as a share of capacity.
  bool m_HeavyTenant = true; ///< A small organisation at five times its rate.
  bool m_Outage = false;     ///< All endpoints fail from 60 s to 70 s.
  /// Deadlines, early refusal and the retry budget.
  bool m_Protected = true;
  std::uint64_t m_Seed = 1;
};

struct Outcome {
  double m_P50 = 0.0; ///< Seconds of programs, tool pauses taken off.
  double m_P99 = 0.0;
  double m_WorstSlowdown = 0.0;   ///< Mean of the worst well-behaved one.
  double m_SmallSlowdown = 0.0;   ///< The same of the small ones only.
  double m_RecomputedShare = 0.0; ///< Of prompt tokens seen before.
  double m_ProgramsPerSecond = 0.0;
  double m_TokensPerSecond = 0.0; ///< Of answers in time.
  double m_AlarmP50 = 0.0;
  double m_AlarmP99 = 0.0;
  double m_NoticeP99 = 0.0; ///< Alarms for notice workers; the above: drafts.
  std::uint64_t m_Refusals = 0;
  std::uint64_t m_GivenUp = 0;                 ///< Programs.
  std::vector<double> m_TokensPerSecondByTime; ///< One for each 10 s.
};

Outcome run(const Setup &Setup);

} // namespace psp::schedule::model

#endif
