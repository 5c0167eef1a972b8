/// \file
/// pspctl's subcommands, without the parsing of flags, so that tests can run
/// them in one process.

#ifndef PSP_CTL_COMMAND_H
#define PSP_CTL_COMMAND_H

#include <ostream>
#include <stdexcept>
#include <string>
#include <vector>

namespace psp::ctl {

enum class OutputFormat { Table, Json };

/// What the flags say.
struct CommandOptions {
  std::vector<std::string> m_Targets; ///< IP numbers with ports, in order.
  std::string m_Operator;
  std::string m_TokenFile;
  std::string m_RequestId; ///< Empty: one is generated and printed.
  OutputFormat m_Output = OutputFormat::Table;
  bool m_DryRun = false;
  bool m_Unknown = true;
  bool m_WithContent = false;
  std::string m_KeyFile;
  std::string m_Organisation;
  std::string m_Program;
  std::string m_From;
  std::string m_Until;
  std::string m_ReportFile;
  unsigned m_MaxRecords = 1000;
  long m_TimeoutMilliseconds = 10000;
};

/// Exit codes of pspctl.
enum class ExitCode : int {
  Done = 0,
  Refused = 1, ///< The process, or a check before it, said no.
  Usage = 2,
  Unreachable = 3, ///< No target answered; a command may have been done.
};

/// The command line doesn't make sense; the message says what was expected.
class UsageError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Runs the subcommand in \p Arguments. Results go to \p Out, all else to
/// \p Error.
ExitCode runCommand(const std::vector<std::string> &Arguments,
                    const CommandOptions &Options, std::ostream &Out,
                    std::ostream &Error);

/// Help for all subcommands.
std::string usageText();

} // namespace psp::ctl

#endif
