/// \file
/// pspctl, the operators' and inspectors' command line.

#include "ctl/Command.h"
#include "logging/Logging.h"

#include <gflags/gflags.h>

#include <iostream>
#include <string>
#include <vector>

// Results go to standard output; see pspctl --help for each flag.
DEFINE_string(target, "", "operators' addresses, IP:PORT,...");
DEFINE_string(operator, "", "who you are");
DEFINE_string(token_file, "", "file with the operator token");
DEFINE_string(output, "table", "table or json");
DEFINE_string(request_id, "", "identifier of the request, for a resend");
DEFINE_bool(dry_run, false, "apply: show the difference only");
DEFINE_bool(unknown, true, "order list: orders with an unknown outcome");
DEFINE_bool(content, false, "inspect: with requests and answers");
DEFINE_string(key_file, "", "key give: file of the key");
DEFINE_string(organisation, "", "inspect: only this organisation");
DEFINE_string(program, "", "inspect: only this program");
DEFINE_string(from, "", "inspect: not before this time (UTC)");
DEFINE_string(until, "", "inspect: not after this time (UTC)");
DEFINE_string(report_file, "", "report: the HTML file to write");
DEFINE_uint32(max_records, 1000, "inspect: at most this many records");
DEFINE_int32(timeout_ms, 10000, "how long one target may take");

// gflags ends the process through this pointer after a faulty flag.
namespace google {
// NOLINTNEXTLINE(readability-identifier-naming)
extern void (*gflags_exitfunc)(int);
} // namespace google

namespace {

using psp::ctl::CommandOptions;
using psp::ctl::ExitCode;
using psp::ctl::OutputFormat;

[[noreturn]] void exitWithUsage(int /*Code*/) {
  std::exit(static_cast<int>(ExitCode::Usage));
}

std::vector<std::string> splitTargets(const std::string &Text) {
  std::vector<std::string> Targets;
  std::size_t Start = 0;
  while (Start < Text.size()) {
    const std::size_t End = std::min(Text.find(',', Start), Text.size());
    if (End > Start)
      Targets.push_back(Text.substr(Start, End - Start));
    Start = End + 1;
  }
  return Targets;
}

CommandOptions optionsFromFlags() {
  return {.m_Targets = splitTargets(FLAGS_target),
          .m_Operator = FLAGS_operator,
          .m_TokenFile = FLAGS_token_file,
          .m_RequestId = FLAGS_request_id,
          .m_Output =
              FLAGS_output == "json" ? OutputFormat::Json : OutputFormat::Table,
          .m_DryRun = FLAGS_dry_run,
          .m_Unknown = FLAGS_unknown,
          .m_WithContent = FLAGS_content,
          .m_KeyFile = FLAGS_key_file,
          .m_Organisation = FLAGS_organisation,
          .m_Program = FLAGS_program,
          .m_From = FLAGS_from,
          .m_Until = FLAGS_until,
          .m_ReportFile = FLAGS_report_file,
          .m_MaxRecords = FLAGS_max_records,
          .m_TimeoutMilliseconds = FLAGS_timeout_ms};
}

bool wantsHelp(const std::vector<std::string> &Arguments) {
  for (const std::string &Each : Arguments) {
    if (Each == "--help" || Each == "-help" || Each == "-h" || Each == "help")
      return true;
  }
  return Arguments.empty();
}

} // namespace

int main(int Count, char **Values) {
  const std::vector<std::string> Given(Values + 1, Values + Count);
  if (wantsHelp(Given)) {
    (Given.empty() ? std::cerr : std::cout) << psp::ctl::usageText();
    return static_cast<int>(Given.empty() ? ExitCode::Usage : ExitCode::Done);
  }
  google::gflags_exitfunc = exitWithUsage;
  google::ParseCommandLineFlags(&Count, &Values, true);
  if (FLAGS_output != "table" && FLAGS_output != "json") {
    std::cerr << "pspctl: --output: expected table or json, found '"
              << FLAGS_output << "'\n";
    return static_cast<int>(ExitCode::Usage);
  }
  psp::logging::initLogging("pspctl", "");
  const std::vector<std::string> Arguments(Values + 1, Values + Count);
  return static_cast<int>(psp::ctl::runCommand(Arguments, optionsFromFlags(),
                                               std::cout, std::cerr));
}
