/// \file
/// Values of the operators' interface as JSON, in both directions. Names are
/// stable: scripts read them.

#ifndef PSP_OPERATORS_JSONVALUES_H
#define PSP_OPERATORS_JSONVALUES_H

#include "operators/OperatorHandler.h"
#include "records/Record.h"

#include <json/value.h>

#include <string>
#include <string_view>
#include <vector>

namespace psp::operators {

/// Parses \p Text. Throws base::UserError(BadRequest) when it isn't JSON.
Json::Value parseJson(std::string_view Text);
std::string writeJson(const Json::Value &Value);
std::string writeIndentedJson(const Json::Value &Value);

Json::Value toJson(const google::protobuf::Message &Message);
/// Throws base::UserError(BadRequest) that names an unknown or wrong field.
void fromJson(const Json::Value &Value, google::protobuf::Message &Message);

Json::Value keysToJson(const std::vector<messages::Key> &Keys);
Json::Value unknownOrdersToJson(const std::vector<UnknownOrder> &Orders);
Json::Value toJson(const EndpointOrderResult &Result);
/// The content goes along only when \p WithContent is set.
Json::Value toJson(const records::Record &Record, bool WithContent);

EndpointOrder endpointOrderFromJson(const Json::Value &Value);
OrderResolution resolutionFromJson(const Json::Value &Value);
records::RecordFilter filterFromJson(const Json::Value &Value);

/// A member that must be a string, or base::UserError(BadRequest).
std::string requireString(const Json::Value &Value, const char *Name);
std::uint64_t requireNumber(const Json::Value &Value, const char *Name);

} // namespace psp::operators

#endif
