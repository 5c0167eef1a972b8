/// \file
/// Loads the settings of a process from its YAML file. The whole
/// file is checked, and all faults are reported together, with file and line.

#ifndef PSP_SETTINGS_LOAD_H
#define PSP_SETTINGS_LOAD_H

#include "settings/Settings.h"
#include "settings/SettingsError.h"

#include <string>

namespace psp::settings {

/// The settings of psp-entry in \p File. Paths in the file are relative to
/// the file's folder. Throws SettingsError with all faults.
EntrySettings loadEntrySettings(const std::string &File);

/// The settings of psp-ledger in \p File, read in the same way.
LedgerSettings loadLedgerSettings(const std::string &File);

} // namespace psp::settings

#endif
