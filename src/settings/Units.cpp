#include "settings/Units.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <limits>
#include <string>

namespace psp::settings {
namespace {

struct Unit {
  std::string_view m_Name;
  std::uint64_t m_Factor;
};

constexpr std::array DurationUnits = {Unit{"us", 1}, Unit{"ms", 1000},
                                      Unit{"s", 1000000}, Unit{"min", 60000000},
                                      Unit{"h", 3600000000}};

constexpr std::array ByteUnits = {Unit{"B", 1}, Unit{"KiB", 1U << 10U},
                                  Unit{"MiB", 1U << 20U},
                                  Unit{"GiB", 1U << 30U}};

template <std::size_t Count>
std::optional<std::uint64_t>
parseWithUnit(std::string_view Text, const std::array<Unit, Count> &Units) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Number);
  if (Error != std::errc())
    return std::nullopt;
  const std::string_view Name(Rest, static_cast<std::size_t>(End - Rest));
  constexpr auto Max =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  for (const Unit &Candidate : Units) {
    if (Candidate.m_Name == Name && Number <= Max / Candidate.m_Factor)
      return Number * Candidate.m_Factor;
  }
  return std::nullopt;
}

bool isIpNumber(const std::string &Text) {
  std::array<unsigned char, sizeof(in6_addr)> Buffer{};
  return inet_pton(AF_INET, Text.c_str(), Buffer.data()) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), Buffer.data()) == 1;
}

} // namespace

std::optional<base::Duration> parseDuration(std::string_view Text) {
  const auto Value = parseWithUnit(Text, DurationUnits);
  if (!Value)
    return std::nullopt;
  return base::Duration(static_cast<std::int64_t>(*Value));
}

std::optional<std::size_t> parseBytes(std::string_view Text) {
  return parseWithUnit(Text, ByteUnits);
}

std::optional<Address> parseAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string Ip(Text.substr(0, Colon));
  const bool Bracketed = Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']';
  if (Bracketed)
    Ip = Ip.substr(1, Ip.size() - 2);
  else if (Ip.find(':') != std::string::npos)
    return std::nullopt;
  if (!isIpNumber(Ip))
    return std::nullopt;
  const std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const char *End = PortText.data() + PortText.size();
  const auto [Rest, Error] = std::from_chars(PortText.data(), End, Port);
  if (Error != std::errc() || Rest != End || Port == 0)
    return std::nullopt;
  return Address{.m_Ip = Ip, .m_Port = Port};
}

} // namespace psp::settings
