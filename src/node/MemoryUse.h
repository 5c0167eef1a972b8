/// \file
/// Memory usage of this process.

#ifndef PSP_NODE_MEMORYUSE_H
#define PSP_NODE_MEMORYUSE_H

#include <cstdint>

namespace psp::node {

/// Resident bytes of this process, or zero if the system doesn't report them.
std::uint64_t residentBytes();
/// Returns freed memory to the system. Otherwise the allocator retains it.
void releaseFreeMemory();
/// From now on large blocks return to the system as soon as they are freed.
/// Otherwise the allocator comes to retain them among others in use.
void releaseLargeBlocksWhenFreed();

} // namespace psp::node

#endif
