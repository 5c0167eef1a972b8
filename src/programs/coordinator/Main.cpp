/// \file
/// The program psp-coordinator.

#include "coordinator/Coordinator.h"
#include "node/ProgramMain.h"
#include "platform/ConfigurationFormat.h"
#include "platform/ControlDialect.h"
#include "platform/SettingsFile.h"

#include <gflags/gflags.h>

#include <cstdint>

DEFINE_string(settings, "",
              "Settings file; by default the one that the platform names");
DEFINE_uint32(metrics_port, 0, "Port of the metrics, 0 for none");
DEFINE_string(peer_bind_host, "",
              "Listens for other nodes here instead of at the announced host");
DEFINE_bool(allowances_by_programs, false,
            "Tokens of an organisation cover whole programs, by what programs "
            "of their routes have taken");

namespace {

void serve() {
  const psp::platform::SettingsFile Source =
      psp::platform::SettingsFile::open(FLAGS_settings);
  const psp::platform::ControlDialect Protocol;
  const psp::platform::ConfigurationFormat Format;
  psp::coordinator::Coordinator Process(
      {.m_MetricsPort = static_cast<std::uint16_t>(FLAGS_metrics_port),
       .m_PeerBindHost = FLAGS_peer_bind_host,
       .m_AllowancesByPrograms = FLAGS_allowances_by_programs},
      Source, Protocol, Format);
  Process.run();
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  return psp::node::runProgram("psp-coordinator", serve);
}
