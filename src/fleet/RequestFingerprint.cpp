#include "fleet/RequestFingerprint.h"

#include "base/Hash.h"

namespace psp::fleet {

namespace {

constexpr std::size_t PathBytes = 8;
constexpr std::size_t BodyBytes = 8;

} // namespace

std::string requestFingerprint(std::string_view Organisation,
                               std::string_view Path, std::string_view Body) {
  // Digests of the parts have a fixed length, so no two lists of parts join to
  // the same text.
  const std::string Place = base::toBytes(base::sha256(Organisation)) +
                            base::toBytes(base::sha256(Path));
  return base::toBytes(base::sha256(Place)).substr(0, PathBytes) +
         base::toBytes(base::sha256(Body)).substr(0, BodyBytes);
}

std::string pathFingerprint(const std::string &Fingerprint) {
  return Fingerprint.substr(0, PathBytes);
}

} // namespace psp::fleet
