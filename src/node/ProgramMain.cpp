#include "node/ProgramMain.h"

#include <cstdlib>
#include <exception>
#include <iostream>

namespace psp::node {

int runProgram(std::string_view Name, const std::function<void()> &Serve) {
  try {
    Serve();
    return EXIT_SUCCESS;
  } catch (const std::exception &Fault) {
    std::cerr << Name << ": " << Fault.what() << '\n';
    return EXIT_FAILURE;
  }
}

} // namespace psp::node
