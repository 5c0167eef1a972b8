/// \file
/// A settings file with faults is rejected. All faults are reported together,
/// with file, line and field, and no fault shows a part of a secret.

#include "settings/Load.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <random>

namespace psp::settings {
namespace {

const std::string GoodFile = "instance: a-1\n"
                             "data_centre: a\n"
                             "peer_address: 127.0.0.1:9001\n"
                             "operator_address: 127.0.0.1:9002\n"
                             "caller_address: 127.0.0.1:9003\n"
                             "fleet_secret_file: secret\n"
                             "operator_token_file: token\n"
                             "peers:\n"
                             "  - {instance: a-1, data_centre: a, role: entry, "
                             "address: 127.0.0.1:9001}\n"
                             "  - {instance: a-l, data_centre: a, role: "
                             "ledger, address: 127.0.0.1:9011}\n";

class SettingsFaultsTest : public ::testing::Test {
protected:
  void SetUp() override {
    std::string Pattern = ::testing::TempDir() + "psp-settings-XXXXXX";
    m_Folder = mkdtemp(Pattern.data());
    write("secret", "a-secret-of-enough-bytes\n");
    write("token", "a-token-of-enough-bytes\n");
  }
  void TearDown() override { std::filesystem::remove_all(m_Folder); }

  std::string write(const std::string &Name, const std::string &Text) const {
    std::ofstream(m_Folder + "/" + Name, std::ios::binary) << Text;
    return m_Folder + "/" + Name;
  }
  std::vector<Fault> faultsOf(const std::string &Text) const {
    try {
      loadEntrySettings(write("entry.yaml", Text));
    } catch (const SettingsError &Error) {
      EXPECT_EQ(Error.kind(), base::ErrorKind::InvalidConfiguration);
      return Error.faults();
    }
    return {};
  }
  static std::string replaced(const std::string &From, const std::string &To) {
    std::string Text = GoodFile;
    Text.replace(Text.find(From), From.size(), To);
    return Text;
  }
  void expectFault(const std::string &Text, int Line,
                   const std::string &Field) const {
    const std::vector<Fault> Faults = faultsOf(Text);
    ASSERT_EQ(Faults.size(), 1U) << Text;
    EXPECT_EQ(Faults[0].m_Line, Line) << Faults[0].str();
    EXPECT_EQ(Faults[0].m_Field, Field) << Faults[0].str();
  }

  std::string m_Folder;
};

TEST_F(SettingsFaultsTest, OneFaultIsNamedByLineAndField) {
  EXPECT_TRUE(faultsOf(GoodFile).empty());
  {
    SCOPED_TRACE("unknown, duplicate and missing fields");
    expectFault(GoodFile + "heartbeat: 200ms\n", 11, "heartbeat");
    expectFault(GoodFile + "instance: a-1\n", 11, "instance");
    expectFault(replaced("caller_address: 127.0.0.1:9003\n", ""), 1,
                "caller_address");
  }
  {
    SCOPED_TRACE("units and ranges");
    expectFault(GoodFile + "heartbeat_interval: 200\n", 11,
                "heartbeat_interval");
    expectFault(GoodFile + "max_body: 4MB\n", 11, "max_body");
    expectFault(GoodFile + "max_queued_calls: 0\n", 11, "max_queued_calls");
    expectFault(GoodFile + "drain_timeout: 2h\n", 11, "drain_timeout");
  }
  {
    SCOPED_TRACE("addresses are IP numbers with a port");
    expectFault(replaced("127.0.0.1:9003", "localhost:9003"), 5,
                "caller_address");
    expectFault(replaced("127.0.0.1:9003", "127.0.0.1:70000"), 5,
                "caller_address");
  }
  {
    SCOPED_TRACE("peers");
    expectFault(replaced("address: 127.0.0.1:9011", "address: 127.0.0.1:9001"),
                10, "peers[1].address");
    expectFault(replaced("role: entry", "role: voter"), 9, "peers[0].role");
    expectFault(replaced("instance: a-1\n", "instance: a-2\n"), 1, "instance");
  }
  {
    SCOPED_TRACE("contradictions");
    expectFault(GoodFile + "heartbeat_interval: 1s\npeer_timeout: 2s\n", 12,
                "peer_timeout");
    expectFault(replaced("data_centre: a\n", "data_centre: b\n"), 2,
                "data_centre");
    expectFault(replaced("127.0.0.1:9003", "127.0.0.1:9002"), 5,
                "caller_address");
    expectFault(GoodFile + "peers_file: peers.yaml\n", 11, "peers_file");
  }
}

TEST_F(SettingsFaultsTest, AllFaultsAreReportedAtOnce) {
  const auto Faults = faultsOf(replaced("127.0.0.1:9003", "somewhere") +
                               "drain_timeout: soon\nnonsense: 1\n");
  ASSERT_EQ(Faults.size(), 3U);
  EXPECT_EQ(Faults[0].m_Line, 5);
  EXPECT_EQ(Faults[1].m_Line, 11);
  EXPECT_EQ(Faults[2].m_Line, 12);
}

TEST_F(SettingsFaultsTest, SecretsAreNeverShown) {
  write("secret", "short-secret");
  const auto Faults = faultsOf(GoodFile);
  ASSERT_EQ(Faults.size(), 1U);
  EXPECT_EQ(Faults[0].m_Field, "fleet_secret_file");
  EXPECT_EQ(Faults[0].str().find("short-secret"), std::string::npos);
}

TEST_F(SettingsFaultsTest, DamagedFilesAreRejectedWithoutACrash) {
  std::mt19937_64 Random(20261204);
  for (int Run = 0; Run < 500; ++Run) {
    std::string Text = GoodFile;
    for (int Change = 0; Change < 3; ++Change)
      Text[Random() % Text.size()] = static_cast<char>(Random());
    faultsOf(Text);
  }
  EXPECT_EQ(faultsOf("[1, 2]").size(), 1U);
  EXPECT_EQ(faultsOf("").size(), 1U);
  EXPECT_EQ(faultsOf("a: [").size(), 1U);
}

} // namespace
} // namespace psp::settings
