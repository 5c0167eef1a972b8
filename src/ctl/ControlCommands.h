/// \file
/// Subcommands that change or show the control state.

#ifndef PSP_CTL_CONTROLCOMMANDS_H
#define PSP_CTL_CONTROLCOMMANDS_H

#include "ctl/Command.h"
#include "ctl/Session.h"

#include <string>

namespace psp::ctl {

/// Shows the difference to what is in force, then submits \p File.
ExitCode applyDocument(const Session &Run, const std::string &File);
/// One row for each target. Unreachable only when no target answers.
ExitCode showStatus(const Session &Run);
ExitCode showDump(const Session &Run);
ExitCode showConfiguration(const Session &Run);
ExitCode listOrganisations(const Session &Run);

/// Gives the key in --key_file, which is created when it doesn't exist. The
/// key's identifier follows from its digest, so that a resend is the same.
ExitCode giveKey(const Session &Run, const std::string &Organisation);
ExitCode withdrawKey(const Session &Run, const std::string &KeyId);
ExitCode listKeys(const Session &Run);
ExitCode fenceDataCentre(const Session &Run, const std::string &DataCentre,
                         const std::string &ServedBy);

} // namespace psp::ctl

#endif
