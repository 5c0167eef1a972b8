/// \file
/// Recognises repetitions of a request.

#ifndef PSP_FLEET_REQUESTFINGERPRINT_H
#define PSP_FLEET_REQUESTFINGERPRINT_H

#include <string>
#include <string_view>

namespace psp::fleet {

/// A digest of 16 bytes that is the same for each repetition of a request: by
/// the same organisation, with the same path and body.
std::string requestFingerprint(std::string_view Organisation,
                               std::string_view Path, std::string_view Body);

/// The part of \p Fingerprint that requests of the same organisation and path
/// have in common.
std::string pathFingerprint(const std::string &Fingerprint);

} // namespace psp::fleet

#endif
