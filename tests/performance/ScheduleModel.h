/// \file
/// A discrete-event simulation for comparing scheduling policies. It combines
/// the real scheduler in each entry instance, the cost model of a batching
/// engine in each endpoint, and programs that call, pause and call again.
/// Instead of a network there are fixed delays.

#ifndef PSP_TESTS_PERFORMANCE_SCHEDULEMODEL_H
#define PSP_TESTS_PERFORMANCE_SCHEDULEMODEL_H

#include "schedule/Scheduler.h"

#include <cstdint>
#include <string>
#include <vector>

namespace psp::schedule::model {

/// The load profile of one deployment.
struct Deployment {
  std::string m_Name;
  double m_ClientDelayMs = 1.0;    ///< One way.
  double m_MeanPauseSeconds = 1.0; ///< Time that tools take between turns.
  unsigned m_MeanTurns = 6;
  unsigned m_MeanPromptTokens = 1500; ///< In the first turn.
};

/// The configuration of one simulation run.
struct Setup {
  Deployment m_Deployment{};
  std::string m_Name{};
  QueueOptions m_Queue{};
  WindowOptions m_Window{};
  RoutingStrategy m_Routing = RoutingStrategy::PrefixAffinity;
  double m_Load = 0.8; ///< Offered programs relative to the capacity.
  /// One small organisation sends five times its usual rate.
  bool m_HeavyOrganisation = true;
  bool m_WithOutage = false; ///< All endpoints fail from 60 s to 70 s.
  /// Enables deadlines, early refusal and the retry budget.
  bool m_OverloadProtection = true;
  std::uint64_t m_Seed = 1;
};

/// The measurements of one simulation run.
struct Outcome {
  /// Program latency in seconds, without tool pauses. The same for m_P99.
  double m_P50 = 0.0;
  double m_P99 = 0.0;
  /// Highest mean slowdown of an organisation that keeps to its rate.
  double m_WorstSlowdown = 0.0;
  double m_SmallSlowdown = 0.0; ///< The same, for the small organisations only.
  /// Share of recomputed tokens among the prompt tokens of earlier turns.
  double m_RecomputedShare = 0.0;
  double m_ProgramsPerSecond = 0.0;
  /// Answer tokens whose caller still waited for them.
  double m_TokensPerSecond = 0.0;
  double m_AlarmP50 = 0.0; ///< Seconds, for alarms that draft an answer.
  double m_AlarmP99 = 0.0;
  /// Seconds, for alarms that are sent to notice workers.
  double m_NoticeP99 = 0.0;
  std::uint64_t m_Refusals = 0;
  std::uint64_t m_AbandonedPrograms = 0;
  std::vector<double> m_TokensPerSecondByTime; ///< One value per 10 s.
};

Outcome run(const Setup &Setup);

} // namespace psp::schedule::model

#endif
