#include "fleet/AnnouncementCheck.h"

#include "base/Error.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <string_view>
#include <system_error>

namespace psp::fleet {

namespace {

constexpr std::size_t MaxNameBytes = 256;
constexpr std::uint32_t MaxSlots = 65536;
/// Difference between the wall clocks of two machines that is allowed for.
constexpr std::uint64_t MaxClockDifferenceMs = 300'000;
constexpr std::uint64_t NanosecondsPerMs = 1'000'000;
constexpr std::size_t Ipv4Parts = 4;

[[noreturn]] void reject(const std::string &Message) {
  throw base::UserError(base::ErrorKind::BadRequest,
                        "announcement: " + Message);
}

void checkName(const char *Field, std::string_view Name) {
  if (Name.empty() || Name.size() > MaxNameBytes)
    reject(std::string("expected 1 to ") + std::to_string(MaxNameBytes) +
           " bytes as " + Field + ", found " + std::to_string(Name.size()));
}

/// Takes a decimal number of at most \p Max from the beginning of \p Text.
bool takeNumber(std::string_view &Text, unsigned Max, unsigned &Value) {
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Value > Max)
    return false;
  Text.remove_prefix(static_cast<std::size_t>(Parsed.ptr - Text.data()));
  return true;
}

bool takeCharacter(std::string_view &Text, char Expected) {
  if (!Text.starts_with(Expected))
    return false;
  Text.remove_prefix(1);
  return true;
}

/// Whether \p Address is IPV4:PORT and can be connected to.
bool isConnectable(std::string_view Address) {
  std::array<unsigned, Ipv4Parts> Parts{};
  for (std::size_t I = 0; I < Parts.size(); ++I)
    if ((I > 0 && !takeCharacter(Address, '.')) ||
        !takeNumber(Address, 255, Parts[I]))
      return false;
  unsigned Port = 0;
  return takeCharacter(Address, ':') && takeNumber(Address, 65535, Port) &&
         Address.empty() && Port > 0 && Parts[0] > 0;
}

/// Endpoint ids are sent in HTTP headers.
bool isPrintableAscii(std::string_view Text) {
  return std::ranges::all_of(
      Text, [](char Each) { return Each > ' ' && Each <= '~'; });
}

} // namespace

void checkAnnouncement(const messages::fleet::EndpointState &Announced,
                       std::uint64_t NowMs) {
  checkName("id", Announced.id());
  if (!isPrintableAscii(Announced.id()))
    reject("expected printable ASCII characters as id, found others");
  checkName("service", Announced.service());
  checkName("zone", Announced.data_centre());
  checkName("version", Announced.software());
  checkName("address", Announced.address());
  if (!isConnectable(Announced.address()))
    reject("expected IPV4:PORT with a port of 1 to 65535 as address, found " +
           Announced.address());
  if (Announced.slots() > MaxSlots)
    reject("expected at most " + std::to_string(MaxSlots) + " slots, found " +
           std::to_string(Announced.slots()));
  const std::uint64_t LatestMs = NowMs + MaxClockDifferenceMs;
  if (Announced.born() > LatestMs)
    reject("expected a start in the past as born, found " +
           std::to_string(Announced.born()));
  // Some endpoints number their announcements by the wall time.
  const std::uint64_t MaxSequence = LatestMs * NanosecondsPerMs;
  if (Announced.sequence() > MaxSequence)
    reject("expected at most " + std::to_string(MaxSequence) +
           " as seq, found " + std::to_string(Announced.sequence()));
}

} // namespace psp::fleet
