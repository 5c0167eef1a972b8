/// \file
/// The common part of the programs' main functions.

#ifndef PSP_NODE_PROGRAMMAIN_H
#define PSP_NODE_PROGRAMMAIN_H

#include <functional>
#include <string_view>

namespace psp::node {

/// Runs \p Serve and returns the exit code. Prints the message of an exception
/// to standard error, with the program's \p Name.
int runProgram(std::string_view Name, const std::function<void()> &Serve);

} // namespace psp::node

#endif
