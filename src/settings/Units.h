/// \file
/// Parses values of settings files that have a unit or a format: durations,
/// sizes in bytes and IP addresses with a port.

#ifndef PSP_SETTINGS_UNITS_H
#define PSP_SETTINGS_UNITS_H

#include "base/Time.h"
#include "settings/Settings.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace psp::settings {

/// A whole number followed by `us`, `ms`, `s`, `min` or `h`.
///
/// Example: `parseDuration("200ms")`; "200" has no unit and is rejected.
std::optional<base::Duration> parseDuration(std::string_view Text);

/// A whole number followed by `B`, `KiB`, `MiB` or `GiB`.
std::optional<std::size_t> parseBytes(std::string_view Text);

/// An IPv4 address and a port, such as `127.0.0.1:7101`, or an IPv6 address in
/// brackets. Host names are rejected.
std::optional<Address> parseAddress(std::string_view Text);

} // namespace psp::settings

#endif
