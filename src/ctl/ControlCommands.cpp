#include "ctl/ControlCommands.h"

#include "base/Hash.h"
#include "ctl/RpcClient.h"
#include "ctl/Table.h"
#include "operators/JsonValues.h"
#include "settings/ControlDocument.h"

#include <fcntl.h>
#include <unistd.h>

#include <fstream>
#include <set>

namespace psp::ctl {
namespace {

constexpr std::size_t KeyBytes = 24;
constexpr std::size_t KeyIdDigits = 16;
constexpr std::size_t MinKeyLength = 16;
constexpr int OwnerOnly = 0600;

void createKeyFile(const std::string &File) {
  const int Descriptor =
      open(File.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, OwnerOnly);
  if (Descriptor < 0)
    throw UsageError("--key_file: " + File + " can't be created");
  const std::string Line =
      "psp-" + base::toHex(base::randomBytes(KeyBytes)) + "\n";
  const bool WasWritten = write(Descriptor, Line.data(), Line.size()) ==
                          static_cast<ssize_t>(Line.size());
  close(Descriptor);
  if (!WasWritten)
    throw UsageError("--key_file: " + File + " can't be written");
}

std::string readOrCreateKey(const std::string &File) {
  if (File.empty())
    throw UsageError("key give needs --key_file=FILE; the key is read from it, "
                     "or made and written to it");
  if (access(File.c_str(), F_OK) != 0)
    createKeyFile(File);
  std::ifstream Input(File);
  std::string Key;
  if (!(Input >> Key) || Key.size() < MinKeyLength)
    throw UsageError("--key_file: expected a key of at least 16 bytes in " +
                     File);
  return Key;
}

/// The peers that an instance can't reach, by name.
Json::Value unreachablePeers(const Json::Value &Status) {
  Json::Value Names(Json::arrayValue);
  for (const Json::Value &Peer : Status["peers"]) {
    if (!Peer["reachable"].asBool())
      Names.append(Peer["instance"]);
  }
  return Names;
}

} // namespace

ExitCode applyDocument(const Session &Run, const std::string &File) {
  const messages::Configuration Next = settings::loadControlDocument(File);
  messages::Configuration Current;
  operators::fromJson(Run.call("configuration"), Current);
  const auto Lines = settings::describeDifference(Current, Next);
  Json::Value Result;
  Result["difference"] = Json::Value(Json::arrayValue);
  std::string Text;
  for (const std::string &Line : Lines) {
    Result["difference"].append(Line);
    Text.append(Line).append("\n");
  }
  if (Lines.empty())
    Text = "no difference to the configuration in force\n";
  Result["dry_run"] = Run.options().m_DryRun;
  if (Run.options().m_DryRun) {
    Run.showLine(Result, Text + "dry run: nothing was submitted");
    return ExitCode::Done;
  }
  Result["result"] = Run.submit("put_configuration", operators::toJson(Next));
  Run.showLine(Result, Text + "configuration " + std::to_string(Next.number()) +
                           " accepted");
  return ExitCode::Done;
}

ExitCode showStatus(const Session &Run) {
  Json::Value Result;
  Result["instances"] = Json::Value(Json::arrayValue);
  std::set<std::string> Members;
  bool AnyAnswered = false;
  for (const std::string &Target : Run.options().m_Targets) {
    Json::Value Row;
    try {
      Row = Run.callTarget(Target, "status", Json::objectValue);
      Row["reachable"] = true;
      Row["unreachable_peers"] = unreachablePeers(Row);
      AnyAnswered = true;
    } catch (const RpcUnreachable &Error) {
      Row["reachable"] = false;
    }
    Row["target"] = Target;
    for (const std::string &Member : Row.getMemberNames()) {
      if (!Row[Member].isObject() && !Row[Member].isArray())
        Members.insert(Member);
    }
    Result["instances"].append(Row);
  }
  std::vector<std::string> Columns = {"target", "instance", "reachable",
                                      "unreachable_peers"};
  for (const std::string &Column : Columns)
    Members.erase(Column);
  Columns.insert(Columns.end(), Members.begin(), Members.end());
  Run.show(Result, "instances", Columns);
  return AnyAnswered ? ExitCode::Done : ExitCode::Unreachable;
}

ExitCode showDump(const Session &Run) {
  Run.out() << operators::writeIndentedJson(Run.call("dump"));
  return ExitCode::Done;
}

ExitCode showConfiguration(const Session &Run) {
  Run.out() << operators::writeIndentedJson(Run.call("configuration"));
  return ExitCode::Done;
}

ExitCode listOrganisations(const Session &Run) {
  Run.show(Run.call("configuration"), "organisations",
           {"name", "rate_per_second", "burst", "program_budget_tokens",
            "max_turns", "max_history_tokens", "max_program_seconds"});
  return ExitCode::Done;
}

ExitCode giveKey(const Session &Run, const std::string &Organisation) {
  const std::string Secret = readOrCreateKey(Run.options().m_KeyFile);
  const base::Digest Digest = base::sha256(Secret);
  messages::Key Key;
  Key.set_digest(base::toBytes(Digest));
  Key.set_key_id(
      "k-" +
      base::toHex(base::sha256(base::toBytes(Digest))).substr(0, KeyIdDigits));
  Key.set_organisation(Organisation);
  Json::Value Change;
  Change["key"] = operators::toJson(Key);
  Json::Value Result = Run.submit("give_key", Change);
  Result["key_id"] = Key.key_id();
  Run.showLine(Result, "key " + Key.key_id() + " given to " + Organisation +
                           "; the key is in " + Run.options().m_KeyFile);
  return ExitCode::Done;
}

ExitCode withdrawKey(const Session &Run, const std::string &KeyId) {
  Json::Value Parameters;
  Parameters["key_id"] = KeyId;
  const Json::Value Result = Run.call("withdraw_key", Parameters);
  Run.showLine(Result, "key " + KeyId + " withdrawn");
  if (Result["recorded"].asBool())
    return ExitCode::Done;
  Run.error() << "pspctl: the control log doesn't hold the withdrawal yet ("
              << Result["detail"].asString()
              << "); withdraw the key again once a quorum can be reached\n";
  return ExitCode::Unreachable;
}

ExitCode listKeys(const Session &Run) {
  Run.show(Run.call("key_list"), "keys",
           {"key_id", "organisation", "withdrawn"});
  return ExitCode::Done;
}

ExitCode fenceDataCentre(const Session &Run, const std::string &DataCentre,
                         const std::string &ServedBy) {
  Json::Value Change;
  Change["data_centre"] = DataCentre;
  Change["served_by"] = ServedBy;
  Run.showLine(Run.submit("fence_data_centre", Change),
               "programs of " + DataCentre + " are served by " + ServedBy);
  return ExitCode::Done;
}

} // namespace psp::ctl
