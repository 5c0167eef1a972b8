#include "logging/Logging.h"

#include "base/Error.h"

#include <glog/logging.h>

#include <algorithm>
#include <filesystem>

namespace psp::logging {
namespace {

constexpr std::size_t MaxValueLength = 256;
constexpr int MaxLogFileMegabytes = 100;

std::string_view fieldName(Field::Name Name) {
  switch (Name) {
  case Field::Name::Program:
    return "program";
  case Field::Name::Turn:
    return "turn";
  case Field::Name::Organisation:
    return "organisation";
  case Field::Name::Instance:
    return "instance";
  case Field::Name::DataCentre:
    return "data_centre";
  case Field::Name::Endpoint:
    return "endpoint";
  case Field::Name::KeyId:
    return "key_id";
  case Field::Name::Operator:
    return "operator";
  case Field::Name::RequestId:
    return "request_id";
  case Field::Name::Kind:
    return "kind";
  case Field::Name::Number:
    return "number";
  case Field::Name::Method:
    return "method";
  case Field::Name::Subject:
    return "subject";
  }
  return "unknown";
}

bool isPlain(char Character) {
  const auto Value = static_cast<unsigned char>(Character);
  return Value > 0x20 && Value < 0x7f && Character != '"' && Character != '=';
}

void appendValue(std::string &Text, const std::string &Value) {
  if (!Value.empty() && Value.size() <= MaxValueLength &&
      std::all_of(Value.begin(), Value.end(), isPlain)) {
    Text += Value;
    return;
  }
  Text += '"';
  for (const char Character : Value.substr(0, MaxValueLength))
    Text += isPlain(Character) || Character == ' ' ? Character : '?';
  Text += '"';
}

} // namespace

std::string_view partName(Part Value) {
  switch (Value) {
  case Part::Callers:
    return "callers";
  case Part::Peers:
    return "peers";
  case Part::Endpoints:
    return "endpoints";
  case Part::Control:
    return "control";
  case Part::Programs:
    return "programs";
  case Part::Limits:
    return "limits";
  case Part::Schedule:
    return "schedule";
  case Part::Disk:
    return "disk";
  case Part::Operators:
    return "operators";
  case Part::Process:
    break;
  }
  return "process";
}

Field::Field(Name Which, std::string Value)
    : m_Name(Which), m_Value(std::move(Value)) {}

Field::Field(Name Which, std::uint64_t Value)
    : m_Name(Which), m_Value(std::to_string(Value)) {}

std::string logLine(Part From, std::string_view Sentence,
                    const std::vector<Field> &Fields) {
  std::string Text(partName(From));
  Text.append(": ").append(Sentence).append(".");
  for (const Field &Each : Fields) {
    Text.append(" ").append(fieldName(Each.m_Name)).append("=");
    appendValue(Text, Each.m_Value);
  }
  return Text;
}

void initLogging(const std::string &Program, const std::string &Folder) {
  FLAGS_logtostderr = Folder.empty();
  FLAGS_stderrthreshold = google::GLOG_WARNING;
  FLAGS_max_log_size = MaxLogFileMegabytes;
  FLAGS_stop_logging_if_full_disk = true;
  if (!Folder.empty()) {
    std::error_code Error;
    std::filesystem::create_directories(Folder, Error);
    if (Error)
      throw base::UserError(base::ErrorKind::InvalidConfiguration,
                            "log_folder: " + Folder +
                                " can't be created: " + Error.message());
    FLAGS_log_dir = Folder;
  }
  // glog keeps the pointer, so the name must outlive this call.
  static const std::string Name = Program;
  google::InitGoogleLogging(Name.c_str());
}

} // namespace psp::logging
