#include "entry/Announcements.h"

#include "base/Error.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace psp::entry {
namespace {

using nlohmann::json;

constexpr std::size_t MaxNameBytes = 200;
constexpr std::size_t MaxServices = 100;

[[noreturn]] void refuse(const std::string &Message) {
  throw base::UserError(base::ErrorKind::BadRequest, Message);
}

json parseObject(const std::string &Body) {
  json Object = json::parse(Body, nullptr, false);
  if (!Object.is_object())
    refuse("body: expected a JSON object");
  return Object;
}

std::string text(const json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_string())
    refuse(std::string(Name) + ": expected a string");
  std::string Value = Found->get<std::string>();
  if (Value.empty() || Value.size() > MaxNameBytes)
    refuse(std::string(Name) + ": expected 1 to 200 characters");
  return Value;
}

std::uint64_t number(const json &Object, const char *Name,
                     std::uint64_t Otherwise) {
  const auto Found = Object.find(Name);
  if (Found == Object.end())
    return Otherwise;
  if (!Found->is_number_unsigned())
    refuse(std::string(Name) + ": expected a number of 0 or more");
  return Found->get<std::uint64_t>();
}

bool flag(const json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  if (Found == Object.end())
    return false;
  if (!Found->is_boolean())
    refuse(std::string(Name) + ": expected true or false");
  return Found->get<bool>();
}

void readServices(const json &Object, messages::EndpointState &State) {
  const auto Services = Object.find("services");
  if (Services == Object.end() || !Services->is_array() || Services->empty() ||
      Services->size() > MaxServices)
    refuse("services: expected an array of 1 to 100 names");
  for (const json &Service : *Services) {
    if (!Service.is_string())
      refuse("services: expected an array of names");
    State.add_services(Service.get<std::string>());
  }
}

messages::EndpointState readIdentity(const json &Object) {
  messages::EndpointState State;
  State.set_endpoint(text(Object, "endpoint"));
  State.set_incarnation(number(Object, "incarnation", 0));
  State.set_sequence(number(Object, "sequence", 0));
  return State;
}

} // namespace

messages::EndpointState parseAnnouncement(const std::string &Body,
                                          base::Duration LongestLease) {
  const json Object = parseObject(Body);
  messages::EndpointState State = readIdentity(Object);
  State.set_data_centre(text(Object, "data_centre"));
  State.set_address(text(Object, "address"));
  readServices(Object, State);
  const auto Longest = base::wholeMilliseconds(LongestLease);
  const std::uint64_t Lease = number(Object, "lease_ms", Longest);
  State.set_remaining_ms(std::min(Lease, Longest));
  State.set_checks_fencing(flag(Object, "checks_fencing"));
  State.set_slots(static_cast<std::uint32_t>(number(Object, "slots", 1)));
  State.set_running(static_cast<std::uint32_t>(number(Object, "running", 0)));
  State.set_waiting(static_cast<std::uint32_t>(number(Object, "waiting", 0)));
  return State;
}

messages::EndpointState parseLeave(const std::string &Body) {
  messages::EndpointState State = readIdentity(parseObject(Body));
  State.set_leaving(true);
  return State;
}

} // namespace psp::entry
