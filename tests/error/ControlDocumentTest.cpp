/// \file
/// Control documents: the samples are accepted, faults are reported with line
/// and field, and the difference of two documents is listed field by field.

#include "settings/ControlDocument.h"

#include <gtest/gtest.h>

namespace psp::settings {
namespace {

const std::string Sample = std::string(PSP_CONFIG_FOLDER);

class ControlDocumentTest : public ::testing::Test {
protected:
  static std::string document(const std::string &Services) {
    return "number: 3\n"
           "organisations:\n"
           "  - name: north\n"
           "    rate_per_second: 2.5\n"
           "    burst: 4\n"
           "    program_budget_tokens: 1000\n"
           "    max_turns: 5\n"
           "    max_history_tokens: 900\n"
           "    max_program_time: 2min\n"
           "services:\n" +
           Services;
  }
  static void expectFault(const std::string &Text, int Line,
                          const std::string &Field) {
    try {
      parseControlDocument(Text, "doc.yaml");
      ADD_FAILURE() << "accepted: " << Text;
    } catch (const SettingsError &Error) {
      ASSERT_EQ(Error.faults().size(), 1U) << Error.what();
      EXPECT_EQ(Error.faults()[0].m_Line, Line) << Error.what();
      EXPECT_EQ(Error.faults()[0].m_Field, Field) << Error.what();
    }
  }
};

TEST_F(ControlDocumentTest, SamplesAreAccepted) {
  for (const std::string Name : {"guild", "songhan"}) {
    SCOPED_TRACE(Name);
    std::string File = Sample;
    File.append("/").append(Name).append("/control.yaml");
    const auto Parsed = loadControlDocument(File);
    EXPECT_EQ(Parsed.organisations_size(), 8);
    EXPECT_EQ(Parsed.schemas_size(), 3);
    EXPECT_EQ(Parsed.home_lease_ms(), 60000U);
    int Orders = 0;
    for (const auto &Each : Parsed.services()) {
      if (Each.kind() != messages::Service::ORDER)
        continue;
      EXPECT_FALSE(Each.repeatable());
      ++Orders;
    }
    EXPECT_EQ(Orders, 2);
  }
}

TEST_F(ControlDocumentTest, FaultsAreNamedByLineAndField) {
  const std::string Model = "  - {name: m, kind: model}\n";
  EXPECT_EQ(parseControlDocument(document(Model), "d").number(), 3U);
  expectFault(document("  - {name: o, kind: order, repeatable: true}\n"), 11,
              "services[0].repeatable");
  expectFault(document("  - {name: o, kind: order, open: true}\n"), 11,
              "services[0].open");
  expectFault(document("  - {name: m, kind: engine}\n"), 11,
              "services[0].kind");
  expectFault(document(Model + Model), 12, "services[1].name");
  expectFault(document(Model) + "schemas:\n  - {name: turn, version: 1, "
                                "required_fields: [colour]}\n",
              13, "schemas[0].required_fields");
  expectFault(document(Model) + "home_lease: 60\n", 12, "home_lease");
}

TEST_F(ControlDocumentTest, DifferenceNamesEveryChangedField) {
  const auto Old =
      parseControlDocument(document("  - {name: m, kind: model}\n"), "d");
  auto New = Old;
  EXPECT_TRUE(describeDifference(Old, New).empty());
  New.set_number(4);
  New.mutable_organisations(0)->set_burst(6);
  New.mutable_services(0)->set_name("n");
  const std::vector<std::string> Expected = {
      "number: 3 -> 4", "organisation north: burst: 4 -> 6", "service n: added",
      "service m: removed"};
  EXPECT_EQ(describeDifference(Old, New), Expected);
}

} // namespace
} // namespace psp::settings
