/// \file
/// psp-ledger: a voter of the control log with synced copies of program
/// histories.

#include "base/Error.h"
#include "logging/Logging.h"
#include "net/StopSignals.h"
#include "programs/ledger/LedgerProcess.h"
#include "settings/Load.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>

DEFINE_string(settings, "", "YAML file with the settings of this process");
DEFINE_bool(check, false, "check the settings and exit");

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("psp-ledger --settings=FILE [--check]");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  try {
    auto Settings = psp::settings::loadLedgerSettings(FLAGS_settings);
    if (FLAGS_check) {
      std::cout << "settings are valid: " << FLAGS_settings << "\n";
      return 0;
    }
    psp::logging::initLogging("psp-ledger", Settings.m_Process.m_LogFolder);
    psp::net::StopSignals Signals;
    psp::ledger::LedgerProcess Process(std::move(Settings));
    Signals.watch([&Process] { Process.stop(); }, [] {});
    Process.run();
  } catch (const psp::base::UserError &Fault) {
    std::cerr << "psp-ledger: " << Fault.what() << "\n";
    return 1;
  } catch (const std::exception &Fault) {
    LOG(ERROR) << "ledger: internal error: " << Fault.what();
    return 2;
  }
  return 0;
}
