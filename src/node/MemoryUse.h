/// \file
/// How much memory this process uses.

#ifndef PSP_NODE_MEMORYUSE_H
#define PSP_NODE_MEMORYUSE_H

#include <cstdint>

namespace psp::node {

/// Resident bytes of this process, zero where the system doesn't tell.
std::uint64_t residentBytes();

} // namespace psp::node

#endif
