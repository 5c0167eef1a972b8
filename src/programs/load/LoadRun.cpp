#include "programs/load/LoadRun.h"

#include <unistd.h>

#include <iostream>

namespace psp::load {
namespace {

constexpr base::Duration ProgressInterval = base::seconds(1);

} // namespace

LoadRun::LoadRun(boost::asio::io_context &Io, const LoadOptions &Options,
                 LoadReport &Report)
    : m_Context{.m_Io = Io,
                .m_Options = Options,
                .m_Report = Report,
                .m_Random = std::mt19937_64(Options.m_Seed)},
      m_EndTimer(Io), m_AlarmTimer(Io), m_ProgressTimer(Io) {}

void LoadRun::run() {
  const LoadOptions &Options = m_Context.m_Options;
  m_EndTimer.expires_after(Options.m_Length);
  m_EndTimer.async_wait([this](const auto &) {
    m_Context.m_Stopping = true;
    m_AlarmTimer.cancel();
    m_EndTimer.expires_after(m_Context.m_Options.m_DrainTime);
    m_EndTimer.async_wait([this](const auto &Error) {
      if (!Error)
        m_Context.m_Io.stop();
    });
    if (m_UnderWay == 0)
      m_Context.m_Io.stop();
  });
  for (std::uint64_t I = 0; I < Options.m_Programs; ++I)
    startProgram();
  if (!Options.m_NoticeService.empty())
    scheduleAlarm();
  if (isatty(STDERR_FILENO) != 0)
    showProgress();
  m_Context.m_Io.run();
}

void LoadRun::startProgram() {
  ++m_UnderWay;
  const auto Done = [this] {
    --m_UnderWay;
    if (!m_Context.m_Stopping)
      startProgram();
    else if (m_UnderWay == 0)
      m_Context.m_Io.stop();
  };
  std::make_shared<ProgramRun>(m_Context, pickOrganisation(), false, Done)
      ->start();
}

void LoadRun::scheduleAlarm() {
  m_AlarmTimer.expires_after(
      m_Context.exponential(m_Context.m_Options.m_AlarmInterval));
  m_AlarmTimer.async_wait([this](const auto &Error) {
    if (Error || m_Context.m_Stopping)
      return;
    raiseAlarm(m_Context, pickOrganisation());
    scheduleAlarm();
  });
}

void LoadRun::showProgress() {
  std::cerr << "\rprograms ended: " << m_Context.m_Report.ended()
            << ", under way: " << m_UnderWay << "   " << std::flush;
  m_ProgressTimer.expires_after(ProgressInterval);
  m_ProgressTimer.async_wait([this](const auto &Error) {
    if (!Error)
      showProgress();
  });
}

const Organisation &LoadRun::pickOrganisation() {
  const auto &All = m_Context.m_Options.m_Organisations;
  double Sum = 0.0;
  for (const Organisation &Each : All)
    Sum += Each.m_Weight;
  double Point =
      std::uniform_real_distribution<double>(0.0, Sum)(m_Context.m_Random);
  for (const Organisation &Each : All) {
    Point -= Each.m_Weight;
    if (Point < 0.0)
      return Each;
  }
  return All.back();
}

} // namespace psp::load
