/// \file
/// A whole run: so many programs under way at any time, until the time is up.

#ifndef PSP_PROGRAMS_LOAD_LOADRUN_H
#define PSP_PROGRAMS_LOAD_LOADRUN_H

#include "programs/load/ProgramRun.h"

namespace psp::load {

class LoadRun {
public:
  LoadRun(boost::asio::io_context &Io, const LoadOptions &Options,
          LoadReport &Report);

  /// Runs until all programs are over, or the drain time is.
  void run();

private:
  void startProgram();
  void scheduleAlarm();
  void showProgress();
  const Organisation &pickOrganisation();

  LoadContext m_Context;
  boost::asio::steady_timer m_EndTimer;
  boost::asio::steady_timer m_AlarmTimer;
  boost::asio::steady_timer m_ProgressTimer;
  std::size_t m_UnderWay = 0;
};

} // namespace psp::load

#endif
