/// \file
/// What the mains of this deployment's programs have in common.

#ifndef PSP_NODE_PROGRAMMAIN_H
#define PSP_NODE_PROGRAMMAIN_H

#include <functional>
#include <string_view>

namespace psp::node {

/// Runs \p Serve. An exception goes to standard error under the program's
/// \p Name. Returns the exit code.
int runProgram(std::string_view Name, const std::function<void()> &Serve);

} // namespace psp::node

#endif
