/// \file
/// Subcommands of inspectors: records with their chains verified, online and
/// from a data folder.

#ifndef PSP_CTL_INSPECTCOMMANDS_H
#define PSP_CTL_INSPECTCOMMANDS_H

#include "ctl/Command.h"
#include "ctl/Session.h"

#include <cstdint>
#include <ostream>
#include <string>

namespace psp::ctl {

/// \p Kind is program, order or notice. Refused when a chain is broken.
ExitCode inspectRecords(const Session &Run, const std::string &Kind);

/// Checks every byte of \p Folder without changing it. Refused when anything
/// is damaged.
ExitCode verifyDataFolder(const CommandOptions &Options, std::ostream &Out,
                          const std::string &Folder);

/// Microseconds since 1970 of `2026-12-04` or `2026-12-04T02:50:00Z`. Throws
/// UsageError.
std::uint64_t parseWallTime(const std::string &Text);

} // namespace psp::ctl

#endif
