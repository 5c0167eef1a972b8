// A port out of range in the settings file is refused, instead of being cut to
// another port.

#include "base/Error.h"
#include "platform/SettingsFile.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace psp::platform {
namespace {

/// Whether settings are accepted in which \p Address occurs.
bool isAccepted(const std::string &Address) {
  const std::string Path = std::filesystem::temp_directory_path() /
                           ("psp-settings-port-" + std::to_string(getpid()));
  std::ofstream(Path) << "{\"node_name\": \"n\", \"zone\": \"z\", "
                         "\"ip_address\": \"127.0.0.1\", "
                         "\"internal_ports\": [7780], \"seeds\": [], "
                         "\"fault_tolerance\": {\"machines\": 1}, "
                         "\"bounds\": {}, "
                         "\"listen_addresses\": {\"control\": \""
                      << Address << "\"}}";
  bool Accepted = true;
  try {
    SettingsFile::open(Path).load();
  } catch (const base::UserError &) {
    Accepted = false;
  }
  std::remove(Path.c_str());
  return Accepted;
}

TEST(SettingsPortTest, PortsOutOfRangeAreRefused) {
  EXPECT_TRUE(isAccepted("127.0.0.1:7367"));
  EXPECT_TRUE(isAccepted("127.0.0.1:65535"));
  for (const char *Address :
       {"127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
        "127.0.0.1:72903", "127.0.0.1:-1", "127.0.0.1:80x",
        "127.0.0.1:99999999999999999999"})
    EXPECT_FALSE(isAccepted(Address)) << Address;
}

} // namespace
} // namespace psp::platform
