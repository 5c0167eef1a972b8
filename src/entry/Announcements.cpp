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

std::string requiredString(const json &Object, const char *Name) {
  const auto It = Object.find(Name);
  if (It == Object.end() || !It->is_string())
    refuse(std::string(Name) + ": expected a string");
  std::string Value = It->get<std::string>();
  if (Value.empty() || Value.size() > MaxNameBytes)
    refuse(std::string(Name) + ": expected 1 to 200 characters");
  return Value;
}

std::uint64_t optionalNumber(const json &Object, const char *Name,
                             std::uint64_t Default) {
  const auto It = Object.find(Name);
  if (It == Object.end())
    return Default;
  if (!It->is_number_unsigned())
    refuse(std::string(Name) + ": expected a number of 0 or more");
  return It->get<std::uint64_t>();
}

bool optionalFlag(const json &Object, const char *Name) {
  const auto It = Object.find(Name);
  if (It == Object.end())
    return false;
  if (!It->is_boolean())
    refuse(std::string(Name) + ": expected true or false");
  return It->get<bool>();
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
  State.set_endpoint(requiredString(Object, "endpoint"));
  State.set_incarnation(optionalNumber(Object, "incarnation", 0));
  State.set_sequence(optionalNumber(Object, "sequence", 0));
  return State;
}

} // namespace

messages::EndpointState parseAnnouncement(const std::string &Body,
                                          base::Duration MaxLease) {
  const json Object = parseObject(Body);
  messages::EndpointState State = readIdentity(Object);
  State.set_data_centre(requiredString(Object, "data_centre"));
  State.set_address(requiredString(Object, "address"));
  readServices(Object, State);
  const auto MaxLeaseMs = base::wholeMilliseconds(MaxLease);
  const std::uint64_t Lease = optionalNumber(Object, "lease_ms", MaxLeaseMs);
  State.set_remaining_ms(std::min(Lease, MaxLeaseMs));
  State.set_checks_fencing(optionalFlag(Object, "checks_fencing"));
  State.set_slots(
      static_cast<std::uint32_t>(optionalNumber(Object, "slots", 1)));
  State.set_running(
      static_cast<std::uint32_t>(optionalNumber(Object, "running", 0)));
  State.set_waiting(
      static_cast<std::uint32_t>(optionalNumber(Object, "waiting", 0)));
  return State;
}

messages::EndpointState parseLeave(const std::string &Body) {
  messages::EndpointState State = readIdentity(parseObject(Body));
  State.set_leaving(true);
  return State;
}

} // namespace psp::entry
