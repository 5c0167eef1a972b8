/// \file
/// The program psp-history.

#include "history/HistoryNode.h"
#include "node/ProgramMain.h"
#include "platform/SettingsFile.h"

#include <gflags/gflags.h>

#include <cstdint>

DEFINE_string(settings, "",
              "Settings file; by default the one that the platform names");
DEFINE_uint32(metrics_port, 0, "Port of the metrics, 0 for none");
DEFINE_string(peer_bind_host, "",
              "Listens for other nodes here instead of at the announced host");

namespace {

void serve() {
  const psp::platform::SettingsFile Source =
      psp::platform::SettingsFile::open(FLAGS_settings);
  psp::history::HistoryNode Process(
      {.m_MetricsPort = static_cast<std::uint16_t>(FLAGS_metrics_port),
       .m_PeerBindHost = FLAGS_peer_bind_host},
      Source);
  Process.run();
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  return psp::node::runProgram("psp-history", serve);
}
