#include "ctl/Command.h"

#include "base/Error.h"
#include "ctl/ControlCommands.h"
#include "ctl/EndpointCommands.h"
#include "ctl/InspectCommands.h"
#include "ctl/Report.h"
#include "ctl/RpcClient.h"
#include "ctl/Session.h"

#include <functional>

namespace psp::ctl {
namespace {

using Words = std::vector<std::string>;

/// One line of the help and what it runs. Words of the pattern in capitals
/// stand for values; one in brackets may be left out.
struct Subcommand {
  std::string m_Pattern;
  std::string m_Help;
  std::function<ExitCode(const Session &, const Words &)> m_Run;
};

bool isValue(const std::string &Word) {
  return Word.front() >= 'A' && Word.front() <= 'Z';
}

Words splitWords(const std::string &Text) {
  Words Result;
  std::size_t Start = 0;
  while (Start < Text.size()) {
    const std::size_t End = std::min(Text.find(' ', Start), Text.size());
    Result.push_back(Text.substr(Start, End - Start));
    Start = End + 1;
  }
  return Result;
}

const std::vector<Subcommand> &subcommands() {
  static const std::vector<Subcommand> All = {
      {"apply FILE",
       "Show the difference and submit a control document (--dry_run).",
       [](const Session &Run, const Words &Values) {
         return applyDocument(Run, Values[0]);
       }},
      {"status", "Show every target: configuration, role, leases, peers.",
       [](const Session &Run, const Words &) { return showStatus(Run); }},
      {"configuration", "Show the configuration in force, as JSON.",
       [](const Session &Run, const Words &) {
         return showConfiguration(Run);
       }},
      {"organisation list", "List organisations with rates and limits.",
       [](const Session &Run, const Words &) {
         return listOrganisations(Run);
       }},
      {"key give ORGANISATION",
       "Give the key in --key_file, which is made if it doesn't exist.",
       [](const Session &Run, const Words &Values) {
         return giveKey(Run, Values[0]);
       }},
      {"key withdraw KEY_ID", "Withdraw a key, also while cut off.",
       [](const Session &Run, const Words &Values) {
         return withdrawKey(Run, Values[0]);
       }},
      {"key list", "List keys by identifier.",
       [](const Session &Run, const Words &) { return listKeys(Run); }},
      {"endpoint list", "List endpoints that are announced.",
       [](const Session &Run, const Words &) { return listEndpoints(Run); }},
      {"endpoint drain ENDPOINT", "Give an endpoint no new work.",
       [](const Session &Run, const Words &Values) {
         return drainEndpoint(Run, Values[0], true);
       }},
      {"endpoint undrain ENDPOINT", "Give an endpoint work again.",
       [](const Session &Run, const Words &Values) {
         return drainEndpoint(Run, Values[0], false);
       }},
      {"endpoint order ENDPOINT ACTION NAME [VERSION]",
       "ACTION: load_model, load_adapter or change_role.",
       [](const Session &Run, const Words &Values) {
         return orderEndpoint(Run, Values);
       }},
      {"order list", "List orders whose outcome is unknown (--unknown).",
       [](const Session &Run, const Words &) {
         return listUnknownOrders(Run);
       }},
      {"order resolve PROGRAM TURN FINDING",
       "Record what became of an order: done or not-done.",
       [](const Session &Run, const Words &Values) {
         return resolveOrder(Run, Values[0], Values[1], Values[2]);
       }},
      {"datacentre fence DATA_CENTRE SERVED_BY",
       "Move the programs of a silent data centre before its lease ends.",
       [](const Session &Run, const Words &Values) {
         return fenceDataCentre(Run, Values[0], Values[1]);
       }},
      {"dump", "Show the whole state of the first target that answers.",
       [](const Session &Run, const Words &) { return showDump(Run); }},
      {"inspect program",
       "Records of programs, chains verified (--organisation, --program, "
       "--from, --until, --content, --max_records).",
       [](const Session &Run, const Words &) {
         return inspectRecords(Run, "program");
       }},
      {"inspect order", "The same for orders only.",
       [](const Session &Run, const Words &) {
         return inspectRecords(Run, "order");
       }},
      {"inspect notice", "The same for notices only.",
       [](const Session &Run, const Words &) {
         return inspectRecords(Run, "notice");
       }},
      {"report",
       "Write one HTML page on latency, refusals, fairness and cache waste "
       "(--report_file).",
       [](const Session &Run, const Words &) { return writeReport(Run); }},
  };
  return All;
}

/// The values of \p Arguments when they fit \p Pattern.
bool fits(const Words &Arguments, const Words &Pattern, Words &Values) {
  Values.clear();
  for (std::size_t I = 0; I < Pattern.size(); ++I) {
    const bool MayBeMissing = Pattern[I].front() == '[';
    if (I >= Arguments.size())
      return MayBeMissing;
    if (MayBeMissing || isValue(Pattern[I]))
      Values.push_back(Arguments[I]);
    else if (Arguments[I] != Pattern[I])
      return false;
  }
  return Arguments.size() <= Pattern.size();
}

ExitCode dispatch(const Words &Arguments, const CommandOptions &Options,
                  std::ostream &Out, std::ostream &Error) {
  if (Arguments.size() == 3 && Arguments[0] == "inspect" &&
      Arguments[1] == "verify")
    return verifyDataFolder(Options, Out, Arguments[2]);
  Words Values;
  for (const Subcommand &Each : subcommands()) {
    if (fits(Arguments, splitWords(Each.m_Pattern), Values))
      return Each.m_Run(Session(Options, Out, Error), Values);
  }
  std::string Given;
  for (const std::string &Word : Arguments)
    Given.append(" ").append(Word);
  throw UsageError("there is no subcommand" + Given +
                   "; pspctl --help lists them");
}

} // namespace

ExitCode runCommand(const Words &Arguments, const CommandOptions &Options,
                    std::ostream &Out, std::ostream &Error) {
  try {
    return dispatch(Arguments, Options, Out, Error);
  } catch (const UsageError &Problem) {
    Error << "pspctl: " << Problem.what() << "\n";
    return ExitCode::Usage;
  } catch (const RpcUnreachable &Problem) {
    Error << "pspctl: " << Problem.what() << "\n";
    return ExitCode::Unreachable;
  } catch (const RpcRefused &Problem) {
    Error << "pspctl: " << Problem.kind() << ": " << Problem.what() << "\n";
  } catch (const base::UserError &Problem) {
    Error << "pspctl: " << base::errorAnswer(Problem.kind()).m_Name << ": "
          << Problem.what() << "\n";
  }
  return ExitCode::Refused;
}

std::string usageText() {
  constexpr std::size_t HelpColumn = 48;
  std::string Text = "usage: pspctl SUBCOMMAND [FLAGS]\n\n";
  const auto AddLine = [&](std::string Line, const std::string &Help) {
    Line.insert(0, "  ");
    Line.append(std::max(HelpColumn, Line.size() + 1) - Line.size(), ' ');
    Text.append(Line).append(Help).append("\n");
  };
  for (const Subcommand &Each : subcommands())
    AddLine(Each.m_Pattern, Each.m_Help);
  AddLine("inspect verify FOLDER",
          "Check a data folder offline, without changing it.");
  Text += "\nflags:\n";
  AddLine("--target=IP:PORT,...", "Operators' addresses; the next is tried.");
  AddLine("--operator=NAME", "Who you are; it goes into the records.");
  AddLine("--token_file=FILE", "File with the operator token.");
  AddLine("--output=table|json", "How results are shown.");
  AddLine("--request_id=ID", "Resend under the identifier printed before.");
  AddLine("--timeout_ms=N", "How long one target may take.");
  Text += "\nexit codes: 0 done, 1 refused or damaged, 2 usage, 3 no target "
          "answered\n";
  return Text;
}

} // namespace psp::ctl
