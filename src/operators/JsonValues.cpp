#include "operators/JsonValues.h"

#include "base/Error.h"
#include "base/Hash.h"

#include <google/protobuf/util/json_util.h>
#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace psp::operators {
namespace {

[[noreturn]] void refuse(const std::string &Message) {
  throw base::UserError(base::ErrorKind::BadRequest, Message);
}

std::string optionalString(const Json::Value &Value, const char *Name) {
  return Value.isMember(Name) ? requireString(Value, Name) : "";
}

std::string write(const Json::Value &Value, const char *Indentation) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = Indentation;
  Builder["emitUTF8"] = true;
  return Json::writeString(Builder, Value);
}

/// Bytes that are no UTF-8 can't stand in JSON; they are shown as digits.
bool isText(const std::string &Bytes) {
  for (std::size_t I = 0; I < Bytes.size();) {
    const auto Lead = static_cast<unsigned char>(Bytes[I]);
    std::size_t Length = 1;
    if (Lead >= 0xc2 && Lead < 0xe0)
      Length = 2;
    else if (Lead >= 0xe0 && Lead < 0xf0)
      Length = 3;
    else if (Lead >= 0xf0 && Lead < 0xf5)
      Length = 4;
    else if (Lead >= 0x80)
      return false;
    if (I + Length > Bytes.size())
      return false;
    for (std::size_t J = I + 1; J < I + Length; ++J) {
      if ((static_cast<unsigned char>(Bytes[J]) & 0xc0U) != 0x80U)
        return false;
    }
    I += Length;
  }
  return true;
}

} // namespace

Json::Value parseJson(std::string_view Text) {
  Json::CharReaderBuilder Builder;
  Builder["collectComments"] = false;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Value;
  std::string Errors;
  try {
    if (Reader->parse(Text.data(), Text.data() + Text.size(), &Value, &Errors))
      return Value;
  } catch (const Json::Exception &Error) {
    Errors = Error.what(); // Nested too deeply.
  }
  refuse("expected JSON: " + Errors);
}

std::string writeJson(const Json::Value &Value) { return write(Value, ""); }

std::string writeIndentedJson(const Json::Value &Value) {
  return write(Value, "  ") + "\n";
}

Json::Value toJson(const google::protobuf::Message &Message) {
  google::protobuf::util::JsonPrintOptions Options;
  Options.preserve_proto_field_names = true;
  Options.always_print_primitive_fields = true;
  std::string Text;
  const auto Status =
      google::protobuf::util::MessageToJsonString(Message, &Text, Options);
  base::checkInvariant(Status.ok(), "a message can't be printed as JSON");
  return parseJson(Text);
}

void fromJson(const Json::Value &Value, google::protobuf::Message &Message) {
  const auto Status =
      google::protobuf::util::JsonStringToMessage(writeJson(Value), &Message);
  if (!Status.ok())
    refuse("expected a " + Message.GetDescriptor()->name() + ": " +
           Status.ToString());
}

Json::Value keysToJson(const std::vector<messages::Key> &Keys) {
  Json::Value List(Json::arrayValue);
  for (const messages::Key &Key : Keys) {
    Json::Value Item;
    Item["key_id"] = Key.key_id();
    Item["organisation"] = Key.organisation();
    Item["withdrawn"] = Key.withdrawn();
    List.append(Item);
  }
  return List;
}

Json::Value unknownOrdersToJson(const std::vector<UnknownOrder> &Orders) {
  Json::Value List(Json::arrayValue);
  for (const UnknownOrder &Order : Orders) {
    Json::Value Item;
    Item["organisation"] = Order.m_Organisation.str();
    Item["program"] = Order.m_Program.str();
    Item["turn"] = Json::UInt64(Order.m_Turn);
    Item["service"] = Order.m_Service;
    Item["endpoint"] = Order.m_Endpoint.str();
    Item["idempotency_key"] = Order.m_IdempotencyKey;
    Item["sent_us"] = Json::UInt64(Order.m_Sent);
    List.append(Item);
  }
  return List;
}

Json::Value toJson(const EndpointOrderResult &Result) {
  Json::Value Value;
  Value["done"] = Result.m_Done;
  Value["fencing_number"] = Json::UInt64(Result.m_FencingNumber);
  Value["detail"] = Result.m_Detail;
  return Value;
}

Json::Value toJson(const records::Record &Record, bool WithContent) {
  Json::Value Value;
  Value["kind"] = std::string(records::recordKindName(Record.m_Kind));
  Value["event"] = std::string(records::recordEventName(Record.m_Event));
  Value["organisation"] = Record.m_Organisation.str();
  Value["program"] = Record.m_Program.str();
  Value["index"] = Json::UInt64(Record.m_Index);
  Value["turn"] = Json::UInt64(Record.m_Turn);
  Value["key_id"] = Record.m_Key.str();
  Value["service"] = Record.m_Service;
  Value["idempotency_key"] = Record.m_IdempotencyKey;
  Value["endpoint"] = Record.m_Endpoint.str();
  Value["wall_time_us"] = Json::UInt64(Record.m_Time);
  Value["outcome"] = Record.m_Outcome;
  Value["durability"] = Record.m_Durability;
  Value["schema_version"] = Record.m_SchemaVersion;
  Value["hash"] = Record.m_Hash;
  Value["missing_fields"] = Json::Value(Json::arrayValue);
  for (const std::string &Field : Record.m_MissingFields)
    Value["missing_fields"].append(Field);
  if (!WithContent)
    return Value;
  Value["content_type"] = Record.m_ContentType;
  if (isText(Record.m_Content))
    Value["content"] = Record.m_Content;
  else
    Value["content_hex"] = base::toHex(Record.m_Content);
  return Value;
}

EndpointOrder endpointOrderFromJson(const Json::Value &Value) {
  EndpointOrder Order;
  Order.m_Endpoint = base::EndpointId(requireString(Value, "endpoint"));
  Order.m_Name = requireString(Value, "name");
  Order.m_Version = optionalString(Value, "version");
  const std::string Action = requireString(Value, "action");
  if (Action == "load_model")
    Order.m_Action = EndpointAction::LoadModel;
  else if (Action == "load_adapter")
    Order.m_Action = EndpointAction::LoadAdapter;
  else if (Action == "change_role")
    Order.m_Action = EndpointAction::ChangeRole;
  else
    refuse("action: expected load_model, load_adapter or change_role, found '" +
           Action + "'");
  return Order;
}

OrderResolution resolutionFromJson(const Json::Value &Value) {
  OrderResolution Resolution;
  Resolution.m_Program = base::ProgramId(requireString(Value, "program"));
  Resolution.m_Turn = requireNumber(Value, "turn");
  const std::string Finding = requireString(Value, "finding");
  if (Finding != "done" && Finding != "not-done")
    refuse("finding: expected done or not-done, found '" + Finding + "'");
  Resolution.m_Finding =
      Finding == "done" ? OrderFinding::Done : OrderFinding::NotDone;
  return Resolution;
}

records::RecordFilter filterFromJson(const Json::Value &Value) {
  records::RecordFilter Filter;
  const std::string Kind = requireString(Value, "kind");
  if (Kind == "order")
    Filter.m_Kind = records::RecordKind::Order;
  else if (Kind == "notice")
    Filter.m_Kind = records::RecordKind::Notice;
  else if (Kind != "program")
    refuse("kind: expected program, order or notice, found '" + Kind + "'");
  Filter.m_Organisation =
      base::OrganisationId(optionalString(Value, "organisation"));
  Filter.m_Program = base::ProgramId(optionalString(Value, "program"));
  if (Value.isMember("from_us"))
    Filter.m_From = requireNumber(Value, "from_us");
  if (Value.isMember("until_us"))
    Filter.m_Until = requireNumber(Value, "until_us");
  if (Value.isMember("max_records"))
    Filter.m_MaxRecords = requireNumber(Value, "max_records");
  return Filter;
}

std::string requireString(const Json::Value &Value, const char *Name) {
  if (!Value.isObject() || !Value[Name].isString())
    refuse(std::string(Name) + ": expected a string");
  return Value[Name].asString();
}

std::uint64_t requireNumber(const Json::Value &Value, const char *Name) {
  if (!Value.isObject() || !Value[Name].isUInt64())
    refuse(std::string(Name) + ": expected a whole number");
  return Value[Name].asUInt64();
}

} // namespace psp::operators
