/// \file
/// The outcome of a call as a message, and whether the outcome implies that the
/// call was executed.

#ifndef PSP_PROGRAM_OUTCOME_H
#define PSP_PROGRAM_OUTCOME_H

#include "base/ErrorKind.h"
#include "generated/program.pb.h"

#include <string>

namespace psp::program {

/// Makes an outcome with the name of \p Kind and \p Detail.
messages::CallOutcome failedOutcome(base::ErrorKind Kind,
                                    const std::string &Detail);

/// Whether a call with this outcome was executed. Yes for a success.
base::RunState runStateOf(const messages::CallOutcome &Outcome);

/// Shorthand for runStateOf() being No.
bool didNotRun(const messages::CallOutcome &Outcome);

} // namespace psp::program

#endif
