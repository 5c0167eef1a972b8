#include "node/MemoryUse.h"

#include <malloc.h>
#include <unistd.h>

#include <fstream>

namespace psp::node {

namespace {

constexpr int LargeBlockBytes = 256 << 10;
/// Free bytes at the end of the heap that the allocator retains.
constexpr int MaxFreeBytes = 2 << 20;

} // namespace

std::uint64_t residentBytes() {
  std::ifstream In("/proc/self/statm");
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  if (!(In >> Total >> Resident))
    return 0;
  return Resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

void releaseFreeMemory() { ::malloc_trim(0); }

void releaseLargeBlocksWhenFreed() {
  ::mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, MaxFreeBytes);
}

} // namespace psp::node
