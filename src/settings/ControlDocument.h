/// \file
/// The configuration that operators submit, as a YAML document: organisations,
/// services, record schemas and the fleet's policies under one number.

#ifndef PSP_SETTINGS_CONTROLDOCUMENT_H
#define PSP_SETTINGS_CONTROLDOCUMENT_H

#include "generated/control.pb.h"
#include "settings/SettingsError.h"

#include <string>
#include <vector>

namespace psp::settings {

/// Parses \p Text. \p File only serves to name the document in faults. Throws
/// SettingsError with all faults.
messages::Configuration parseControlDocument(const std::string &Text,
                                             const std::string &File);

/// Reads and parses \p File.
messages::Configuration loadControlDocument(const std::string &File);

/// The changes from \p Old to \p New, one line for each field, such as
/// `organisation harbour-north: rate_per_second: 20 -> 30`.
std::vector<std::string> describeDifference(const messages::Configuration &Old,
                                            const messages::Configuration &New);

} // namespace psp::settings

#endif
