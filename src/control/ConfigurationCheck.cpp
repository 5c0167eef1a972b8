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

// The texts of these errors stand in ControlResult::detail and so enter the
// state digest: a changed text makes the digests of two versions differ.
[[noreturn]] void throwInvalid(const std::string &Field,
                               const std::string &Expected,
                               const std::string &Found) {
  throw UserError(ErrorKind::InvalidConfiguration,
                  Field + ": expected " + Expected + ", found " + Found);
}

void requireName(const std::string &Field, const std::string &Name,
                 std::set<std::string> &Seen) {
  if (Name.empty())
    throwInvalid(Field, "a name", "an empty text");
  if (!Seen.insert(Name).second)
    throwInvalid(Field, "each name once", "\"" + Name + "\" twice");
}

void requirePositive(const std::string &Field, double Value) {
  if (!std::isfinite(Value) || Value <= 0)
    throwInvalid(Field, "a number above 0", std::to_string(Value));
}

void checkOrganisations(const messages::Configuration &Next) {
  std::set<std::string> Seen;
  for (const messages::Organisation &Organisation : Next.organisations()) {
    requireName("organisations.name", Organisation.name(), Seen);
    std::string Prefix = "organisations[" + Organisation.name() + "].";
    requirePositive(Prefix + "rate_per_second", Organisation.rate_per_second());
    requirePositive(Prefix + "burst", Organisation.burst());
    // With a burst below 1 the rate limiter would reject every request.
    if (Organisation.burst() < 1)
      throwInvalid(Prefix + "burst", "at least 1",
                   std::to_string(Organisation.burst()));
  }
}

void checkServices(const messages::Configuration &Next) {
  std::set<std::string> Seen;
  for (const messages::Service &Service : Next.services()) {
    requireName("services.name", Service.name(), Seen);
    std::string Prefix = "services[" + Service.name() + "].";
    if (!messages::Service::Kind_IsValid(Service.kind()))
      throwInvalid(Prefix + "kind", "a known kind",
                   std::to_string(Service.kind()));
    if (Service.kind() == messages::Service::ORDER && Service.repeatable())
      throwInvalid(Prefix + "repeatable", "false for an order service", "true");
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
  for (const messages::RecordSchema &Schema : Next.schemas()) {
    SchemaKey Key(Schema.name(), Schema.version());
    if (Schema.name().empty())
      throwInvalid("schemas.name", "a name", "an empty text");
    if (Schema.version() == 0)
      throwInvalid(schemaField(Key) + ".version", "a version above 0", "0");
    if (!Schemas.emplace(Key, fieldsOf(Schema)).second)
      throwInvalid(schemaField(Key), "each version once", "it twice");
    std::set<std::string> Seen;
    for (const std::string &Field : Schema.required_fields())
      requireName(schemaField(Key) + ".required_fields", Field, Seen);
  }
  for (const messages::RecordSchema &Existing : InForce.schemas()) {
    SchemaKey Key(Existing.name(), Existing.version());
    auto Found = Schemas.find(Key);
    if (Found == Schemas.end())
      throwInvalid(schemaField(Key), "every version in force to stay",
                   "it missing");
    if (Found->second != fieldsOf(Existing))
      throwInvalid(schemaField(Key) + ".required_fields",
                   "a version in force unchanged", "other fields");
  }
}

} // namespace

void rejectUnknownFields(const google::protobuf::Message &Message) {
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
      rejectUnknownFields(Reflection.GetMessage(Message, Field));
      continue;
    }
    for (int I = 0; I < Reflection.FieldSize(Message, Field); ++I)
      rejectUnknownFields(Reflection.GetRepeatedMessage(Message, Field, I));
  }
}

void checkConfiguration(const messages::Configuration &Next,
                        const messages::Configuration &InForce) {
  try {
    rejectUnknownFields(Next);
  } catch (const UserError &Error) {
    throw UserError(ErrorKind::InvalidConfiguration, Error.what());
  }
  if (Next.number() == 0)
    throwInvalid("number", "a number above 0", "0");
  checkOrganisations(Next);
  checkServices(Next);
  checkSchemas(Next, InForce);
}

} // namespace psp::control
