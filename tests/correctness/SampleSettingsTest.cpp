/// \file
/// The sample settings of both deployments load and are consistent.

#include "settings/Load.h"

#include <gtest/gtest.h>

#include <set>

namespace psp::settings {
namespace {

class SampleSettingsTest : public ::testing::TestWithParam<const char *> {
protected:
  std::string folder() const {
    return std::string(PSP_CONFIG_FOLDER) + "/" + GetParam() + "/";
  }
  std::vector<Peer> peers() const {
    const std::string First =
        std::string(GetParam()) == "guild" ? "brum-a-1" : "haichau-1";
    return loadEntrySettings(folder() + First + ".yaml").m_Process.m_Peers;
  }
};

TEST_P(SampleSettingsTest, EveryProcessLoadsAndNoPortIsUsedTwice) {
  std::set<Address> Addresses;
  std::set<base::DataCentreId> DataCentres;
  std::size_t Expected = 0;
  std::size_t Entries = 0;
  const auto Take = [&](const Address &Used) {
    Addresses.insert(Used);
    ++Expected;
  };
  for (const Peer &Each : peers()) {
    SCOPED_TRACE(Each.m_Instance.str());
    const std::string File = folder() + Each.m_Instance.str() + ".yaml";
    ProcessSettings Process;
    if (Each.m_Role == PeerRole::Entry) {
      const EntrySettings Entry = loadEntrySettings(File);
      Process = Entry.m_Process;
      Take(Entry.m_CallerAddress);
      ++Entries;
    } else {
      const LedgerSettings Ledger = loadLedgerSettings(File);
      Process = Ledger.m_Process;
      EXPECT_FALSE(Ledger.m_DataFolder.empty());
    }
    Take(Process.m_PeerAddress);
    Take(Process.m_OperatorAddress);
    DataCentres.insert(Process.m_DataCentre);
    EXPECT_EQ(Process.m_Peers, peers());
    EXPECT_EQ(Process.m_HeartbeatInterval, base::milliseconds(200));
  }
  EXPECT_EQ(Addresses.size(), Expected);
  EXPECT_EQ(DataCentres.size(), 3U);
  EXPECT_EQ(Entries, 7U);
  EXPECT_EQ(peers().size(), 10U);
}

INSTANTIATE_TEST_SUITE_P(Deployments, SampleSettingsTest,
                         ::testing::Values("guild", "songhan"));

} // namespace
} // namespace psp::settings
