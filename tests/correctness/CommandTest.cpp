/// \file
/// pspctl's subcommands against a served process: what it is told, what is
/// printed, and the exit codes.

#include "ctl/Command.h"
#include "operators/OperatorServer.h"
#include "support/FakeOperatorHandler.h"
#include "support/SampleHistory.h"
#include "support/TemporaryFolder.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace psp::ctl {
namespace {

constexpr const char *Token = "a-token-of-enough-bytes";

class CommandTest : public ::testing::Test {
protected:
  CommandTest() {
    m_Server.start();
    std::ofstream(m_Folder.path() / "token") << Token << "\n";
    m_Options.m_Targets = {"127.0.0.1:" + std::to_string(m_Server.port())};
    m_Options.m_Operator = "ada";
    m_Options.m_TokenFile = (m_Folder.path() / "token").string();
    m_Options.m_RequestId = "r-7";
  }

  ExitCode run(const std::vector<std::string> &Arguments) {
    m_Out.str("");
    m_Error.str("");
    return runCommand(Arguments, m_Options, m_Out, m_Error);
  }
  bool printed(const std::string &Text) const {
    return m_Out.str().find(Text) != std::string::npos;
  }
  bool complained(const std::string &Text) const {
    return m_Error.str().find(Text) != std::string::npos;
  }

  tests::TemporaryFolder m_Folder;
  tests::FakeOperatorHandler m_Handler;
  operators::OperatorServer m_Server{
      {.m_Address = {.m_Ip = "127.0.0.1", .m_Port = 0}, .m_Token = Token},
      m_Handler};
  CommandOptions m_Options;
  std::ostringstream m_Out;
  std::ostringstream m_Error;
};

TEST_F(CommandTest, ApplyShowsTheDifferenceAndSubmitsOnce) {
  const std::string File =
      std::string(PSP_CONFIG_FOLDER) + "/guild/control.yaml";
  {
    SCOPED_TRACE("a dry run submits nothing");
    m_Options.m_DryRun = true;
    EXPECT_EQ(run({"apply", File}), ExitCode::Done);
    EXPECT_TRUE(printed("service slurry-order: added"));
    EXPECT_TRUE(m_Handler.m_Commands.empty());
  }
  {
    SCOPED_TRACE("then it is submitted under the operator's name");
    m_Options.m_DryRun = false;
    EXPECT_EQ(run({"apply", File}), ExitCode::Done) << m_Error.str();
    ASSERT_EQ(m_Handler.m_Commands.size(), 1U);
    EXPECT_EQ(m_Handler.m_Commands[0].operator_name(), "ada");
    EXPECT_EQ(m_Handler.m_Commands[0].request_id(), "r-7");
    EXPECT_EQ(m_Handler.m_Commands[0].put_configuration().services_size(), 7);
    EXPECT_TRUE(complained("--request_id=r-7"));
  }
  {
    SCOPED_TRACE("a conflict keeps its kind");
    m_Handler.m_Refusal = "version-conflict";
    EXPECT_EQ(run({"apply", File}), ExitCode::Refused);
    EXPECT_TRUE(complained("version-conflict: refused for the test"));
  }
  {
    SCOPED_TRACE("a schema version in force can't be dropped");
    m_Handler.m_Refusal.clear();
    auto *Schema = m_Handler.m_Configuration.add_schemas();
    Schema->set_name("turn");
    Schema->set_version(9);
    EXPECT_EQ(run({"apply", File}), ExitCode::Refused);
    EXPECT_TRUE(complained("invalid-configuration: schema turn version 9"));
  }
}

TEST_F(CommandTest, AGivenKeyIsTheSameWhenResent) {
  m_Options.m_KeyFile = (m_Folder.path() / "key").string();
  EXPECT_EQ(run({"key", "give", "north"}), ExitCode::Done) << m_Error.str();
  EXPECT_EQ(run({"key", "give", "north"}), ExitCode::Done);
  ASSERT_EQ(m_Handler.m_Commands.size(), 2U);
  EXPECT_EQ(m_Handler.m_Commands[0].SerializeAsString(),
            m_Handler.m_Commands[1].SerializeAsString());
  const messages::Key &Key = m_Handler.m_Commands[0].give_key().key();
  EXPECT_EQ(Key.organisation(), "north");
  EXPECT_EQ(Key.digest().size(), 32U);
  {
    SCOPED_TRACE("the key itself is neither printed nor sent");
    std::string Secret;
    std::ifstream(m_Options.m_KeyFile) >> Secret;
    EXPECT_GE(Secret.size(), 16U);
    EXPECT_FALSE(printed(Secret) || complained(Secret));
    EXPECT_EQ(m_Handler.m_Commands[0].DebugString().find(Secret),
              std::string::npos);
  }
  {
    SCOPED_TRACE("listing and withdrawing go by identifier");
    m_Handler.m_Keys = {Key};
    EXPECT_EQ(run({"key", "list"}), ExitCode::Done);
    EXPECT_TRUE(printed(Key.key_id()));
    EXPECT_EQ(run({"key", "withdraw", Key.key_id()}), ExitCode::Done);
    EXPECT_EQ(m_Handler.m_Withdrawn, std::vector<std::string>{Key.key_id()});
    EXPECT_EQ(m_Handler.m_Commands.back().withdraw_key().key_id(),
              Key.key_id());
  }
  {
    SCOPED_TRACE("what the control log doesn't hold yet is said");
    m_Handler.m_Refusal = "quorum-unavailable";
    EXPECT_EQ(run({"key", "withdraw", "k-2"}), ExitCode::Unreachable);
    EXPECT_TRUE(complained("quorum-unavailable"));
    EXPECT_EQ(m_Handler.m_Withdrawn.back(), "k-2");
  }
}

TEST_F(CommandTest, StatusTriesEveryTarget) {
  m_Options.m_Targets.insert(m_Options.m_Targets.begin(), "127.0.0.1:1");
  EXPECT_EQ(run({"status"}), ExitCode::Done);
  EXPECT_TRUE(printed("configuration_number"));
  EXPECT_TRUE(printed("false"));
  EXPECT_TRUE(printed("b-1"));
  EXPECT_FALSE(printed("a-2"));
  EXPECT_EQ(run({"key", "list"}), ExitCode::Done) << "the next target is tried";
  m_Options.m_Targets = {"127.0.0.1:1"};
  EXPECT_EQ(run({"status"}), ExitCode::Unreachable);
  EXPECT_EQ(run({"key", "list"}), ExitCode::Unreachable);
}

TEST_F(CommandTest, EndpointsAndUnknownOrders) {
  EXPECT_EQ(run({"endpoint", "drain", "e-1"}), ExitCode::Done);
  EXPECT_TRUE(m_Handler.m_Draining);
  EXPECT_EQ(run({"endpoint", "undrain", "e-1"}), ExitCode::Done);
  EXPECT_FALSE(m_Handler.m_Draining);
  EXPECT_EQ(run({"endpoint", "drain", "e-2"}), ExitCode::Refused);
  EXPECT_TRUE(complained("not-found: no such endpoint")) << m_Error.str();
  EXPECT_EQ(run({"endpoint", "order", "e-1", "load_model", "m", "3"}),
            ExitCode::Done);
  EXPECT_EQ(m_Handler.m_Order.m_Version, "3");
  m_Handler.m_Unknown = {{.m_Program = base::ProgramId("a.01"), .m_Turn = 2}};
  EXPECT_EQ(run({"order", "list"}), ExitCode::Done);
  EXPECT_TRUE(printed("a.01"));
  EXPECT_EQ(run({"order", "resolve", "a.01", "2", "not-done"}), ExitCode::Done);
  EXPECT_EQ(m_Handler.m_Resolution.m_Turn, 2U);
  EXPECT_EQ(m_Handler.m_Resolution.m_Finding, operators::OrderFinding::NotDone);
  EXPECT_EQ(run({"order", "resolve", "a.01", "2", "perhaps"}),
            ExitCode::Refused);
}

TEST_F(CommandTest, InspectShowsRecordsAndBrokenChains) {
  m_Handler.m_Histories = {tests::sampleHistory("a.01")};
  m_Options.m_From = "1970-01-01";
  EXPECT_EQ(run({"inspect", "order"}), ExitCode::Done) << m_Error.str();
  EXPECT_TRUE(printed("outcome-unknown"));
  EXPECT_FALSE(printed("advice"));
  EXPECT_TRUE(complained("3 records of 1 programs, all chains verified"));
  EXPECT_EQ(m_Handler.m_Filter.m_Kind, records::RecordKind::Order);
  m_Handler.m_Histories[0].m_Entries[1].set_wall_time_us(9);
  EXPECT_EQ(run({"inspect", "program"}), ExitCode::Refused);
  EXPECT_TRUE(complained("the chain of a.01 is broken"));
}

TEST_F(CommandTest, ReportIsOnePageWithoutOutsideParts) {
  m_Handler.m_Metrics = "psp_refusals_total{kind=\"rate-limited\","
                        "organisation=\"<north>\"} 4\n"
                        "psp_queue_seconds_bucket{le=\"0.1\","
                        "organisation=\"<north>\"} 3\n";
  m_Options.m_ReportFile = (m_Folder.path() / "report.html").string();
  EXPECT_EQ(run({"report"}), ExitCode::Done) << m_Error.str();
  std::stringstream Page;
  Page << std::ifstream(m_Options.m_ReportFile).rdbuf();
  EXPECT_NE(Page.str().find("rate-limited"), std::string::npos);
  EXPECT_NE(Page.str().find("&lt;north&gt; waits 0.1 s"), std::string::npos);
  EXPECT_EQ(Page.str().find("src="), std::string::npos);
  EXPECT_EQ(Page.str().find("<north>"), std::string::npos);
}

} // namespace
} // namespace psp::ctl
