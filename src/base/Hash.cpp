#include "base/Hash.h"

#include "base/Error.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace psp::base {

Digest sha256(std::string_view Data) {
  Digest Result{};
  unsigned Length = 0;
  const int Done = EVP_Digest(Data.data(), Data.size(), Result.data(), &Length,
                              EVP_sha256(), nullptr);
  checkInvariant(Done == 1, "SHA-256 failed");
  return Result;
}

Digest hmacSha256(std::string_view Key, std::string_view Data) {
  Digest Result{};
  unsigned Length = 0;
  const auto *Input = reinterpret_cast<const unsigned char *>(Data.data());
  const unsigned char *Done =
      HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()), Input,
           Data.size(), Result.data(), &Length);
  checkInvariant(Done != nullptr, "HMAC-SHA-256 failed");
  return Result;
}

bool equalDigests(const Digest &Left, const Digest &Right) {
  return CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string toHex(std::string_view Data) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(Data.size() * 2);
  for (const char Byte : Data) {
    const auto Value = static_cast<unsigned char>(Byte);
    Text.push_back(Digits[Value >> 4]);
    Text.push_back(Digits[Value & 15]);
  }
  return Text;
}

std::string toHex(const Digest &Value) { return toHex(toBytes(Value)); }

std::string toBytes(const Digest &Value) {
  return {reinterpret_cast<const char *>(Value.data()), Value.size()};
}

std::uint64_t stableHash(std::string_view Data) {
  constexpr std::uint64_t OffsetBasis = 14695981039346656037ULL;
  constexpr std::uint64_t Prime = 1099511628211ULL;
  std::uint64_t Hash = OffsetBasis;
  for (const char Byte : Data) {
    Hash ^= static_cast<unsigned char>(Byte);
    Hash *= Prime;
  }
  // A final mix spreads short inputs over all bits.
  Hash ^= Hash >> 33;
  Hash *= 0xff51afd7ed558ccdULL;
  Hash ^= Hash >> 33;
  return Hash;
}

std::string randomBytes(std::size_t Count) {
  std::string Bytes(Count, '\0');
  const int Done = RAND_bytes(reinterpret_cast<unsigned char *>(Bytes.data()),
                              static_cast<int>(Count));
  checkInvariant(Done == 1, "the random generator failed");
  return Bytes;
}

} // namespace psp::base
