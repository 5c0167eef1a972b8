// Which versions of a service may have generated a stream is part of the
// replicated state, so that an instance that has missed one learns of it.

#include "turns/ServiceVersions.h"
#include "turns/TurnLedger.h"

#include <gtest/gtest.h>

namespace psp::turns {
namespace {

using Versions = std::set<std::string>;

constexpr std::uint64_t StartMs = 1'000'000;
constexpr std::uint64_t RetentionMs = 60'000;

TEST(ServiceVersionsTest, RemembersTheVersionsOfEachService) {
  ServiceVersions Services;
  EXPECT_EQ(Services.find("models"), Versions());
  Services.record("models", "v1", StartMs);
  Services.record("models", "v2", StartMs);
  Services.record("tools", "v1", StartMs);
  EXPECT_EQ(Services.find("models"), (Versions{"v1", "v2"}));
  EXPECT_EQ(Services.find("tools"), Versions{"v1"});
  {
    SCOPED_TRACE("unknown is not a version");
    Services.record("tools", "", StartMs);
    EXPECT_EQ(Services.find("tools"), Versions{"v1"});
  }
}

TEST(ServiceVersionsTest, ALaterRecordNeverShortensAnEarlierOne) {
  ServiceVersions Services;
  Services.record("models", "v1", StartMs + RetentionMs);
  Services.record("models", "v1", StartMs);
  EXPECT_EQ(Services.expiresMs("models", "v1"), StartMs + RetentionMs);
  EXPECT_EQ(Services.expiresMs("models", "v2"), 0U);
  EXPECT_EQ(Services.expiresMs("tools", "v1"), 0U);
  Services.expire(StartMs + RetentionMs);
  EXPECT_EQ(Services.find("models"), Versions{"v1"});
  Services.expire(StartMs + RetentionMs + 1);
  EXPECT_EQ(Services.find("models"), Versions());
}

TEST(ServiceVersionsTest, AServiceWithTooManyVersionsKeepsSeveral) {
  ServiceVersions Services({.m_MaxPerService = 2});
  for (const char *Software : {"v1", "v2", "v3"})
    Services.record("models", Software, StartMs);
  EXPECT_EQ(Services.find("models").size(), 2U);
}

TEST(ServiceVersionsTest, TheLedgerKeepsThemInItsSnapshot) {
  TurnLedger Ledger;
  messages::fleet::HistoryCommand Command;
  auto &Recorded = *Command.mutable_service_version();
  Recorded.set_service("models");
  Recorded.set_retention_ms(RetentionMs);
  std::uint64_t Index = 0;
  for (const char *Software : {"v1", "v2"}) {
    Recorded.set_software(Software);
    Ledger.apply(++Index, Command, StartMs);
  }
  TurnLedger Restored;
  messages::fleet::HistoryCommand Other;
  Other.mutable_service_version()->set_service("tools");
  Other.mutable_service_version()->set_software("v9");
  Other.mutable_service_version()->set_retention_ms(RetentionMs);
  Restored.apply(1, Other, StartMs);
  Restored.restore(Ledger.snapshot());
  const ServiceVersions &Services = Restored.serviceVersions();
  EXPECT_EQ(Services.find("models"), (Versions{"v1", "v2"}));
  EXPECT_EQ(Services.expiresMs("models", "v2"), StartMs + RetentionMs);
  EXPECT_EQ(Services.find("tools"), Versions());
}

} // namespace
} // namespace psp::turns
