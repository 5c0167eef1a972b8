#include "settings/ControlDocument.h"

#include "records/RecordFields.h"
#include "settings/MappingReader.h"

#include <google/protobuf/text_format.h>

#include <algorithm>
#include <limits>
#include <set>

namespace psp::settings {
namespace {

using messages::Configuration;
using messages::Organisation;
using messages::RecordSchema;
using messages::Service;

constexpr Range<std::uint64_t> NumberRange = {
    1, std::numeric_limits<std::uint64_t>::max()};
constexpr Range<double> RatePerSecondRange = {0.001, 1e6};
constexpr Range<double> BurstRange = {1, 1e6};
constexpr Range<std::uint64_t> BudgetTokensRange = {1, 1000000000000};
constexpr Range<std::uint64_t> TurnCountRange = {1, 1000000};
constexpr Range<std::uint64_t> HistoryTokensRange = {1, 100000000};
constexpr Range<std::uint64_t> VersionRange = {1, 1000000};
constexpr Range<base::Duration> ProgramTimeRange = {base::seconds(1),
                                                    base::seconds(31536000)};
constexpr Range<base::Duration> HomeLeaseRange = {base::seconds(1),
                                                  base::seconds(86400)};
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
constexpr std::int64_t MicrosecondsPerSecond = 1000000;

void readOrganisation(MappingReader &Reader, Organisation &Out) {
  Reader.readName("name", *Out.mutable_name(), Presence::Required);
  double Number = 0;
  if (Reader.readNumber("rate_per_second", Number, RatePerSecondRange,
                        Presence::Required))
    Out.set_rate_per_second(Number);
  if (Reader.readNumber("burst", Number, BurstRange, Presence::Required))
    Out.set_burst(Number);
  std::uint64_t Integer = 0;
  if (Reader.readInteger("program_budget_tokens", Integer, BudgetTokensRange,
                         Presence::Required))
    Out.set_program_budget_tokens(Integer);
  if (Reader.readInteger("max_turns", Integer, TurnCountRange,
                         Presence::Required))
    Out.set_max_turns(static_cast<std::uint32_t>(Integer));
  if (Reader.readInteger("max_history_tokens", Integer, HistoryTokensRange,
                         Presence::Required))
    Out.set_max_history_tokens(Integer);
  base::Duration Time{};
  if (Reader.readDuration("max_program_time", Time, ProgramTimeRange,
                          Presence::Required))
    Out.set_max_program_seconds(
        static_cast<std::uint64_t>(Time.count() / MicrosecondsPerSecond));
  Reader.finish();
}

void readServiceKind(MappingReader &Reader, Service &Out) {
  std::string Kind;
  if (!Reader.readString("kind", Kind, Presence::Required))
    return;
  if (Kind == "model")
    Out.set_kind(Service::MODEL);
  else if (Kind == "plain")
    Out.set_kind(Service::PLAIN);
  else if (Kind == "order")
    Out.set_kind(Service::ORDER);
  else if (Kind == "notice")
    Out.set_kind(Service::NOTICE);
  else
    Reader.addFault("kind", "expected model, plain, order or notice, found '" +
                                Kind + "'");
}

void readService(MappingReader &Reader, Service &Out) {
  Reader.readName("name", *Out.mutable_name(), Presence::Required);
  readServiceKind(Reader, Out);
  bool Repeatable = Out.kind() != Service::ORDER;
  Reader.readBool("repeatable", Repeatable);
  Out.set_repeatable(Repeatable);
  if (Out.kind() == Service::ORDER && Repeatable)
    Reader.addFault("repeatable",
                    "an order is executed at most once; expected false");
  if (Out.kind() == Service::MODEL && !Repeatable)
    Reader.addFault("repeatable", "expected true for a model");
  bool Open = false;
  Reader.readBool("open", Open);
  Out.set_open(Open);
  if (Open && !Repeatable)
    Reader.addFault("open",
                    "a service whose calls may not be repeated requires a key");
  Reader.finish();
}

template <std::size_t Count>
bool isOneOf(const std::string &Name,
             const std::array<std::string_view, Count> &Names) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

void readSchema(MappingReader &Reader, RecordSchema &Out) {
  Reader.readName("name", *Out.mutable_name(), Presence::Required);
  if (!Out.name().empty() && !isOneOf(Out.name(), records::SchemaNames))
    Reader.addFault("name", "expected turn, order or notice, found '" +
                                Out.name() + "'");
  std::uint64_t Version = 0;
  if (Reader.readInteger("version", Version, VersionRange, Presence::Required))
    Out.set_version(static_cast<std::uint32_t>(Version));
  for (const std::string &Field : Reader.readNames("required_fields")) {
    if (!isOneOf(Field, records::RecordFieldNames))
      Reader.addFault("required_fields",
                      "records have no field '" + Field + "'");
    Out.add_required_fields(Field);
  }
  Reader.finish();
}

/// Reads a list whose items are identified by \p Name; duplicates are faults.
template <typename Message, typename ReadOne, typename NameOf>
void readList(MappingReader &Reader, const std::string &Key, Presence Need,
              google::protobuf::RepeatedPtrField<Message> &Out, ReadOne Read,
              NameOf Name) {
  std::set<std::string> Names;
  for (MappingReader &Entry : Reader.readMappings(Key, Need)) {
    Message &Next = *Out.Add();
    Read(Entry, Next);
    if (!Next.name().empty() && !Names.insert(Name(Next)).second)
      Entry.addFault("name", "'" + Name(Next) + "' is listed more than once");
  }
}

std::string schemaTitle(const RecordSchema &Schema) {
  return Schema.name() + " version " + std::to_string(Schema.version());
}

template <typename Message> std::string nameOf(const Message &Value) {
  return Value.name();
}

// The difference of two configurations is computed field by field through
// reflection, so that it includes every field that is added later.

std::string fieldText(const google::protobuf::Message &Value,
                      const google::protobuf::FieldDescriptor &Field) {
  if (Field.is_repeated()) {
    std::string Text = "[";
    const int Count = Value.GetReflection()->FieldSize(Value, &Field);
    for (int I = 0; I < Count; ++I)
      Text += (I == 0 ? "" : ", ") +
              Value.GetReflection()->GetRepeatedString(Value, &Field, I);
    return Text + "]";
  }
  std::string Text;
  google::protobuf::TextFormat::PrintFieldValueToString(Value, &Field, -1,
                                                        &Text);
  return Text;
}

void describeFields(const std::string &Title,
                    const google::protobuf::Message &Old,
                    const google::protobuf::Message &New,
                    std::vector<std::string> &Lines) {
  const auto *Type = New.GetDescriptor();
  for (int I = 0; I < Type->field_count(); ++I) {
    const auto &Field = *Type->field(I);
    if (Field.is_repeated() &&
        Field.cpp_type() == google::protobuf::FieldDescriptor::CPPTYPE_MESSAGE)
      continue;
    const std::string Before = fieldText(Old, Field);
    const std::string After = fieldText(New, Field);
    if (Before == After)
      continue;
    std::string Line = Title;
    Line.append(Field.name()).append(": ");
    Line.append(Before).append(" -> ").append(After);
    Lines.push_back(Line);
  }
}

template <typename Message, typename NameOf>
void describeList(const std::string &Type,
                  const google::protobuf::RepeatedPtrField<Message> &Old,
                  const google::protobuf::RepeatedPtrField<Message> &New,
                  NameOf Name, std::vector<std::string> &Lines) {
  const auto Find = [&](const auto &List, const std::string &Wanted) {
    return std::find_if(List.begin(), List.end(), [&](const Message &Entry) {
      return Name(Entry) == Wanted;
    });
  };
  for (const Message &After : New) {
    const auto Before = Find(Old, Name(After));
    const std::string Title = Type + " " + Name(After) + ": ";
    if (Before == Old.end())
      Lines.push_back(Title + "added");
    else
      describeFields(Title, *Before, After, Lines);
  }
  for (const Message &Before : Old) {
    if (Find(New, Name(Before)) == New.end())
      Lines.push_back(Type + " " + Name(Before) + ": removed");
  }
}

} // namespace

messages::Configuration parseControlDocument(const std::string &Text,
                                             const std::string &File) {
  std::vector<Fault> Faults;
  MappingReader Reader(parseDocument(Text, File), File, "", Faults);
  Configuration Result;
  std::uint64_t Number = 0;
  Reader.readInteger("number", Number, NumberRange, Presence::Required);
  Result.set_number(Number);
  base::Duration HomeLease = base::seconds(60);
  Reader.readDuration("home_lease", HomeLease, HomeLeaseRange);
  Result.set_home_lease_ms(static_cast<std::uint64_t>(
      HomeLease.count() / MicrosecondsPerMillisecond));
  bool AcceptLocalTurns = false;
  Reader.readBool("accept_local_turns", AcceptLocalTurns);
  Result.set_accept_local_turns(AcceptLocalTurns);
  readList(Reader, "organisations", Presence::Required,
           *Result.mutable_organisations(), readOrganisation,
           nameOf<Organisation>);
  readList(Reader, "services", Presence::Required, *Result.mutable_services(),
           readService, nameOf<Service>);
  readList(Reader, "schemas", Presence::Optional, *Result.mutable_schemas(),
           readSchema, schemaTitle);
  Reader.finish();
  throwFaults(std::move(Faults));
  return Result;
}

messages::Configuration loadControlDocument(const std::string &File) {
  return parseControlDocument(readFile(File), File);
}

std::vector<std::string>
describeDifference(const messages::Configuration &Old,
                   const messages::Configuration &New) {
  std::vector<std::string> Lines;
  describeFields("", Old, New, Lines);
  describeList("organisation", Old.organisations(), New.organisations(),
               nameOf<Organisation>, Lines);
  describeList("service", Old.services(), New.services(), nameOf<Service>,
               Lines);
  describeList("schema", Old.schemas(), New.schemas(), schemaTitle, Lines);
  return Lines;
}

} // namespace psp::settings
