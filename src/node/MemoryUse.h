/// \file
/// How much memory this process uses.

#ifndef PSP_NODE_MEMORYUSE_H
#define PSP_NODE_MEMORYUSE_H

#include <cstdint>

namespace psp::node {

/// Resident bytes of this process, zero where the system doesn't tell.
std::uint64_t residentBytes();
/// Gives memory that the process has freed back to the system, which the
/// allocator keeps otherwise.
void releaseFreeMemory();

} // namespace psp::node

#endif
