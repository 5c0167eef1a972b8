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
DEFINE_bool(learn_engine_speeds, false,
            "Turns are placed by learned speeds of engines, as where the "
            "memory of engines is limited");
DEFINE_bool(rank_turns, false,
            "Turns of a higher rank get engine slots before others, which keep "
            "a part");
DEFINE_double(remote_turn_cost_ms, 0,
              "How much longer a turn may take, in ms, so that its prompt and "
              "its stream stay within its caller's data centre; 0: any data "
              "centre");

namespace {

void serve() {
  const psp::platform::SettingsFile Source =
      psp::platform::SettingsFile::open(FLAGS_settings);
  psp::history::HistoryNode Process(
      {.m_MetricsPort = static_cast<std::uint16_t>(FLAGS_metrics_port),
       .m_PeerBindHost = FLAGS_peer_bind_host,
       .m_RemoteTurnCostMs = FLAGS_remote_turn_cost_ms,
       .m_UsesRanks = FLAGS_rank_turns,
       .m_LearnsSpeeds = FLAGS_learn_engine_speeds},
      Source);
  Process.run();
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  return psp::node::runProgram("psp-history", serve);
}
