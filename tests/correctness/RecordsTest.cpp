/// \file
/// Each record must identify its organisation and program by itself, and must
/// be validated by the schema version that it was written under.

#include "records/Record.h"
#include "records/Schema.h"
#include "records/UnresolvedOrders.h"
#include "support/SampleHistory.h"

#include <gtest/gtest.h>

namespace psp::records {
namespace {

using tests::HistoryBuilder;
using tests::sampleHistory;

class RecordsTest : public ::testing::Test {
protected:
  RecordsTest() {
    auto *Order = m_Configuration.add_services();
    Order->set_name("slurry-order");
    Order->set_kind(messages::Service::ORDER);
    addSchema("turn", 1, {"organisation", "endpoint"});
    addSchema("turn", 2, {"organisation", "endpoint", "idempotency_key"});
  }

  void addSchema(const std::string &Name, std::uint32_t Version,
                 const std::vector<std::string> &Fields) {
    auto *Schema = m_Configuration.add_schemas();
    Schema->set_name(Name);
    Schema->set_version(Version);
    for (const std::string &Field : Fields)
      Schema->add_required_fields(Field);
  }

  messages::Configuration m_Configuration;
};

TEST_F(RecordsTest, EachRecordIdentifiesItsOrganisationAndProgram) {
  const auto Records = makeRecords(sampleHistory("a.01"), m_Configuration);
  ASSERT_EQ(Records.size(), 6U);
  for (const Record &Candidate : Records) {
    EXPECT_EQ(Candidate.m_Organisation.str(), "north");
    EXPECT_EQ(Candidate.m_Program.str(), "a.01");
    EXPECT_EQ(Candidate.m_Hash.size(), 64U);
  }
  {
    SCOPED_TRACE("the answered turn");
    EXPECT_EQ(Records[2].m_Kind, RecordKind::Program);
    EXPECT_EQ(Records[2].m_Outcome, "success");
    EXPECT_EQ(Records[2].m_Key.str(), "k-1");
    EXPECT_EQ(Records[2].m_Service, "advice");
    EXPECT_EQ(Records[2].m_Content, "answer 1");
  }
  {
    SCOPED_TRACE("the order");
    EXPECT_EQ(Records[3].m_Kind, RecordKind::Order);
    EXPECT_EQ(Records[4].m_Event, RecordEvent::CallClaimed);
    EXPECT_EQ(Records[5].m_Outcome, "outcome-unknown");
  }
}

TEST_F(RecordsTest, ClaimIdentifiesAnOrderOfARemovedService) {
  m_Configuration.clear_services();
  const auto Records = makeRecords(sampleHistory("a.01"), m_Configuration);
  EXPECT_EQ(Records[5].m_Kind, RecordKind::Order);
  EXPECT_EQ(Records[2].m_Kind, RecordKind::Program);
}

TEST_F(RecordsTest, AnUnknownOutcomeIsListedUntilItIsResolved) {
  ProgramHistory History = sampleHistory("a.01");
  const auto Orders = findUnresolvedOrders(History, m_Configuration);
  ASSERT_EQ(Orders.size(), 1U);
  EXPECT_EQ(Orders[0].m_Turn, 2U);
  EXPECT_EQ(Orders[0].m_Service, "slurry-order");
  EXPECT_EQ(Orders[0].m_Endpoint.str(), "orders-1");
  History.m_Entries.emplace_back().mutable_resolved()->set_turn(2);
  EXPECT_TRUE(findUnresolvedOrders(History, m_Configuration).empty());
}

TEST_F(RecordsTest, OldAndNewVersionsAreValidatedSideBySide) {
  const HistoryBuilder Builder = HistoryBuilder("a.01")
                                     .create("north")
                                     .start(1, "advice")
                                     .finish(1, "m-1");
  const auto Old = makeRecords(Builder.build(1), m_Configuration);
  const auto New = makeRecords(Builder.build(2), m_Configuration);
  EXPECT_TRUE(Old.back().m_MissingFields.empty());
  EXPECT_EQ(New.back().m_MissingFields,
            std::vector<std::string>{"idempotency_key"});
  EXPECT_EQ(latestSchemaVersion(m_Configuration, "turn"), 2U);
  {
    SCOPED_TRACE("a call that was not executed requires no endpoint");
    const auto Refused = makeRecords(HistoryBuilder("a.02")
                                         .create("north")
                                         .start(1, "advice")
                                         .finish(1, "", "deadline-exceeded")
                                         .build(1),
                                     m_Configuration);
    EXPECT_TRUE(Refused.back().m_MissingFields.empty());
  }
}

TEST_F(RecordsTest, SchemaVersionsAreNeitherRemovedNorChanged) {
  messages::Configuration Next = m_Configuration;
  Next.add_schemas()->set_name("order");
  EXPECT_TRUE(findBreakingSchemaChanges(m_Configuration, Next).empty());
  Next.mutable_schemas(0)->add_required_fields("content");
  EXPECT_EQ(findBreakingSchemaChanges(m_Configuration, Next).size(), 1U);
  Next.clear_schemas();
  EXPECT_EQ(findBreakingSchemaChanges(m_Configuration, Next).size(), 2U);
}

TEST_F(RecordsTest, FiltersByOrganisationTimeAndKind) {
  const auto Records = makeRecords(sampleHistory("a.01"), m_Configuration);
  const auto Count = [&](const RecordFilter &Filter) {
    return std::count_if(
        Records.begin(), Records.end(),
        [&](const Record &Candidate) { return matches(Candidate, Filter); });
  };
  EXPECT_EQ(Count({}), 6);
  EXPECT_EQ(Count({.m_Kind = RecordKind::Order}), 3);
  EXPECT_EQ(Count({.m_Kind = RecordKind::Notice}), 0);
  EXPECT_EQ(Count({.m_Organisation = base::OrganisationId("south")}), 0);
  EXPECT_EQ(Count({.m_From = 2000000, .m_Until = 4000000}), 3);
}

} // namespace
} // namespace psp::records
