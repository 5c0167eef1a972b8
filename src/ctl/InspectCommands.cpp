#include "ctl/InspectCommands.h"

#include "ctl/Table.h"
#include "operators/JsonValues.h"
#include "records/VerifyFolder.h"

#include <ctime>

namespace psp::ctl {
namespace {

constexpr std::uint64_t SecondMicros = 1000000;
constexpr std::uint64_t DaySeconds = 86400;

bool parseWith(const std::string &Text, const char *Format,
               std::uint64_t &Seconds) {
  std::tm Parts{};
  const char *Rest = strptime(Text.c_str(), Format, &Parts);
  if (Rest == nullptr || *Rest != '\0')
    return false;
  Seconds = static_cast<std::uint64_t>(timegm(&Parts));
  return true;
}

Json::Value toJson(const records::FolderReport &Report) {
  Json::Value Result;
  Result["intact"] = Report.isIntact();
  Result["journals"] = Json::UInt64(Report.m_Journals);
  Result["records"] = Json::UInt64(Report.m_Records);
  Result["programs"] = Json::Value(Json::arrayValue);
  for (const records::ProgramReport &Each : Report.m_Programs) {
    Json::Value Item;
    Item["program"] = Each.m_Program.str();
    Item["entries"] = Json::UInt64(Each.m_Entries);
    Item["head_hash"] = Each.m_HeadHash;
    Item["fault"] = Each.m_Fault;
    Result["programs"].append(Item);
  }
  Result["faults"] = Json::Value(Json::arrayValue);
  for (const std::string &Fault : Report.m_Faults)
    Result["faults"].append(Fault);
  return Result;
}

} // namespace

std::uint64_t parseWallTime(const std::string &Text) {
  std::uint64_t Seconds = 0;
  if (!parseWith(Text, "%Y-%m-%dT%H:%M:%SZ", Seconds) &&
      !parseWith(Text, "%Y-%m-%d", Seconds))
    throw UsageError("expected a time such as 2026-12-04 or "
                     "2026-12-04T02:50:00Z, found '" +
                     Text + "'");
  return Seconds * SecondMicros;
}

ExitCode inspectRecords(const Session &Run, const std::string &Kind) {
  const CommandOptions &Options = Run.options();
  Json::Value Parameters;
  Parameters["kind"] = Kind;
  Parameters["content"] = Options.m_WithContent;
  Parameters["max_records"] = Options.m_MaxRecords;
  if (!Options.m_Organisation.empty())
    Parameters["organisation"] = Options.m_Organisation;
  if (!Options.m_Program.empty())
    Parameters["program"] = Options.m_Program;
  if (!Options.m_From.empty())
    Parameters["from_us"] = Json::UInt64(parseWallTime(Options.m_From));
  if (!Options.m_Until.empty()) {
    std::uint64_t Until = parseWallTime(Options.m_Until);
    if (Options.m_Until.find('T') == std::string::npos)
      Until += DaySeconds * SecondMicros - 1; // The whole of that day.
    Parameters["until_us"] = Json::UInt64(Until);
  }
  const Json::Value Result = Run.call("inspect", Parameters);
  Run.show(Result, "records",
           {"program", "index", "wall_time_us", "organisation", "kind", "event",
            "turn", "service", "endpoint", "key_id", "outcome", "durability",
            "schema_version", "missing_fields"});
  bool AllVerified = true;
  for (const Json::Value &Chain : Result["chains"]) {
    if (Chain["verified"].asBool())
      continue;
    AllVerified = false;
    Run.error() << "pspctl: the chain of " << Chain["program"].asString()
                << " is broken: " << Chain["fault"].asString() << "\n";
  }
  if (AllVerified)
    Run.error() << "pspctl: " << Result["records"].size() << " records of "
                << Result["chains"].size()
                << " programs, all chains verified\n";
  if (Result["truncated"].asBool())
    Run.error() << "pspctl: there are more records; narrow the filter or raise "
                   "--max_records\n";
  return AllVerified ? ExitCode::Done : ExitCode::Refused;
}

ExitCode verifyDataFolder(const CommandOptions &Options, std::ostream &Out,
                          const std::string &Folder) {
  const records::FolderReport Report = records::verifyFolder(Folder);
  const Json::Value Result = toJson(Report);
  if (Options.m_Output == OutputFormat::Json) {
    Out << operators::writeIndentedJson(Result);
  } else {
    Out << makeTable(Result["programs"],
                     {"program", "entries", "head_hash", "fault"});
    for (const std::string &Fault : Report.m_Faults)
      Out << "fault: " << Fault << "\n";
    Out << Report.m_Journals << " journals, " << Report.m_Records
        << " records, " << Report.m_Programs.size()
        << " programs: " << (Report.isIntact() ? "intact" : "DAMAGED") << "\n";
  }
  return Report.isIntact() ? ExitCode::Done : ExitCode::Refused;
}

} // namespace psp::ctl
