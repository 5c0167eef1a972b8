/// \file
/// How a call ended, as a message, and what that says about its run.

#ifndef PSP_PROGRAM_OUTCOME_H
#define PSP_PROGRAM_OUTCOME_H

#include "base/ErrorKind.h"
#include "generated/program.pb.h"

#include <string>

namespace psp::program {

/// An outcome with the kind's name and \p Detail.
messages::CallOutcome failedOutcome(base::ErrorKind Kind,
                                    const std::string &Detail);

/// Whether a call with this outcome ran. Success is Yes.
base::RunState runStateOf(const messages::CallOutcome &Outcome);

/// Shorthand for runStateOf() being No.
bool didNotRun(const messages::CallOutcome &Outcome);

} // namespace psp::program

#endif
