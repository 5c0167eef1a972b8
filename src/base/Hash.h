/// \file
/// SHA-256 and HMAC-SHA-256 through OpenSSL, and hexadecimal text. Keys of
/// callers are kept by digest only.

#ifndef PSP_BASE_HASH_H
#define PSP_BASE_HASH_H

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace psp::base {

using Digest = std::array<std::uint8_t, 32>;

Digest sha256(std::string_view Data);
Digest hmacSha256(std::string_view Key, std::string_view Data);

/// Compares in constant time.
bool equalDigests(const Digest &Left, const Digest &Right);

std::string toHex(std::string_view Data);
std::string toHex(const Digest &Value);

/// The digest as raw bytes.
std::string toBytes(const Digest &Value);

/// A 64-bit hash that is the same on every machine, for placement.
std::uint64_t stableHash(std::string_view Data);

/// \p Count bytes from the system's random generator.
std::string randomBytes(std::size_t Count);

} // namespace psp::base

#endif
