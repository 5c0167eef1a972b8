/// \file
/// The program psp-gateway.

#include "gateway/Gateway.h"
#include "node/MemoryUse.h"
#include "node/ProgramMain.h"
#include "platform/CallDialect.h"
#include "platform/ConfigurationFormat.h"
#include "platform/SettingsFile.h"

#include <gflags/gflags.h>

#include <cstdint>

DEFINE_string(settings, "",
              "Settings file; by default the one that the platform names");
DEFINE_uint32(metrics_port, 0, "Port of the metrics, 0 for none");

DEFINE_double(second_try_share, 0,
              "Maximum second tries of slow calls that may be repeated, as a "
              "share of a service's requests, 0 for none");

namespace {

constexpr double MaxSecondTryShare = 0.2;

bool isSecondTryShare(const char * /*Name*/, double Value) {
  return Value >= 0 && Value <= MaxSecondTryShare;
}

DEFINE_validator(second_try_share, &isSecondTryShare);

void serve() {
  const psp::platform::SettingsFile Source =
      psp::platform::SettingsFile::open(FLAGS_settings);
  const psp::platform::CallDialect Protocol;
  const psp::platform::ConfigurationFormat Format;
  psp::node::releaseLargeBlocksWhenFreed();
  psp::gateway::Gateway Process(
      {.m_MetricsPort = static_cast<std::uint16_t>(FLAGS_metrics_port),
       .m_SecondTries = {.m_MaxShare = FLAGS_second_try_share}},
      Source, Protocol, Format);
  Process.run();
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  return psp::node::runProgram("psp-gateway", serve);
}
