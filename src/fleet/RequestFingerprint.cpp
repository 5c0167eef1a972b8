#include "fleet/RequestFingerprint.h"

#include "base/Hash.h"

namespace psp::fleet {

namespace {

constexpr std::size_t FingerprintBytes = 16;

} // namespace

std::string requestFingerprint(std::string_view Organisation,
                               std::string_view Path, std::string_view Body) {
  // Digests of the parts have a fixed length, so no two lists of parts join to
  // the same text.
  const std::string Parts = base::toBytes(base::sha256(Organisation)) +
                            base::toBytes(base::sha256(Path)) +
                            base::toBytes(base::sha256(Body));
  return base::toBytes(base::sha256(Parts)).substr(0, FingerprintBytes);
}

} // namespace psp::fleet
