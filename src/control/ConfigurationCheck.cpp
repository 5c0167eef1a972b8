#include "control/ConfigurationCheck.h"

#include "base/Error.h"

#include <cmath>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace psp::control {

namespace {

using base::ErrorKind;
using base::UserError;

[[noreturn]] void refuse(const std::string &Field, const std::string &Expected,
                         const std::string &Found) {
  throw UserError(ErrorKind::InvalidConfiguration,
                  Field + ": expected " + Expected + ", found " + Found);
}

void requireName(const std::string &Field, const std::string &Name,
                 std::set<std::string> &Seen) {
  if (Name.empty())
    refuse(Field, "a name", "an empty text");
  if (!Seen.insert(Name).second)
    refuse(Field, "each name once", "\"" + Name + "\" twice");
}

void requirePositive(const std::string &Field, double Value) {
  if (!std::isfinite(Value) || Value <= 0)
    refuse(Field, "a number above 0", std::to_string(Value));
}

void checkOrganisations(const messages::Configuration &Next) {
  std::set<std::string> Seen;
  for (const messages::Organisation &Each : Next.organisations()) {
    requireName("organisations.name", Each.name(), Seen);
    std::string Prefix = "organisations[" + Each.name() + "].";
    requirePositive(Prefix + "rate_per_second", Each.rate_per_second());
    requirePositive(Prefix + "burst", Each.burst());
    // A burst below one admission would refuse every request.
    if (Each.burst() < 1)
      refuse(Prefix + "burst", "at least 1", std::to_string(Each.burst()));
  }
}

void checkServices(const messages::Configuration &Next) {
  std::set<std::string> Seen;
  for (const messages::Service &Each : Next.services()) {
    requireName("services.name", Each.name(), Seen);
    std::string Prefix = "services[" + Each.name() + "].";
    if (!messages::Service::Kind_IsValid(Each.kind()))
      refuse(Prefix + "kind", "a known kind", std::to_string(Each.kind()));
    if (Each.kind() == messages::Service::ORDER && Each.repeatable())
      refuse(Prefix + "repeatable", "false for an order service", "true");
  }
}

using SchemaKey = std::pair<std::string, std::uint32_t>;

std::string schemaField(const SchemaKey &Key) {
  return "schemas[" + Key.first + " version " + std::to_string(Key.second) +
         "]";
}

std::vector<std::string> fieldsOf(const messages::RecordSchema &Schema) {
  return {Schema.required_fields().begin(), Schema.required_fields().end()};
}

void checkSchemas(const messages::Configuration &Next,
                  const messages::Configuration &InForce) {
  std::map<SchemaKey, std::vector<std::string>> Schemas;
  for (const messages::RecordSchema &Each : Next.schemas()) {
    SchemaKey Key(Each.name(), Each.version());
    if (Each.name().empty())
      refuse("schemas.name", "a name", "an empty text");
    if (Each.version() == 0)
      refuse(schemaField(Key) + ".version", "a version above 0", "0");
    if (!Schemas.emplace(Key, fieldsOf(Each)).second)
      refuse(schemaField(Key), "each version once", "it twice");
    std::set<std::string> Seen;
    for (const std::string &Field : Each.required_fields())
      requireName(schemaField(Key) + ".required_fields", Field, Seen);
  }
  for (const messages::RecordSchema &Old : InForce.schemas()) {
    SchemaKey Key(Old.name(), Old.version());
    auto Found = Schemas.find(Key);
    if (Found == Schemas.end())
      refuse(schemaField(Key), "every version in force to stay", "it missing");
    if (Found->second != fieldsOf(Old))
      refuse(schemaField(Key) + ".required_fields",
             "a version in force unchanged", "other fields");
  }
}

} // namespace

void refuseUnknownFields(const google::protobuf::Message &Message) {
  const google::protobuf::Reflection &Reflection = *Message.GetReflection();
  const auto &Unknown = Reflection.GetUnknownFields(Message);
  if (!Unknown.empty())
    throw UserError(ErrorKind::BadRequest,
                    Message.GetDescriptor()->name() +
                        ": expected known fields, found field number " +
                        std::to_string(Unknown.field(0).number()));
  std::vector<const google::protobuf::FieldDescriptor *> Fields;
  Reflection.ListFields(Message, &Fields);
  for (const google::protobuf::FieldDescriptor *Field : Fields) {
    if (Field->cpp_type() != google::protobuf::FieldDescriptor::CPPTYPE_MESSAGE)
      continue;
    if (!Field->is_repeated()) {
      refuseUnknownFields(Reflection.GetMessage(Message, Field));
      continue;
    }
    for (int I = 0; I < Reflection.FieldSize(Message, Field); ++I)
      refuseUnknownFields(Reflection.GetRepeatedMessage(Message, Field, I));
  }
}

void checkConfiguration(const messages::Configuration &Next,
                        const messages::Configuration &InForce) {
  try {
    refuseUnknownFields(Next);
  } catch (const UserError &Error) {
    throw UserError(ErrorKind::InvalidConfiguration, Error.what());
  }
  if (Next.number() == 0)
    refuse("number", "a number above 0", "0");
  checkOrganisations(Next);
  checkServices(Next);
  checkSchemas(Next, InForce);
}

} // namespace psp::control
