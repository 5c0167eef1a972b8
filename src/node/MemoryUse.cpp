#include "node/MemoryUse.h"

#include <malloc.h>
#include <unistd.h>

#include <fstream>

namespace psp::node {

std::uint64_t residentBytes() {
  std::ifstream In("/proc/self/statm");
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  if (!(In >> Total >> Resident))
    return 0;
  return Resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

void releaseFreeMemory() { ::malloc_trim(0); }

} // namespace psp::node
