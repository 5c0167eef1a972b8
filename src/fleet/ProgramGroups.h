/// \file
/// Maps programs and services to history groups.

#ifndef PSP_FLEET_PROGRAMGROUPS_H
#define PSP_FLEET_PROGRAMGROUPS_H

#include <cstddef>
#include <cstdint>
#include <string>

namespace psp::fleet {

/// The group of \p Program. It is permanent, since the number of groups,
/// \p Groups, never changes.
std::uint32_t groupOfProgram(const std::string &Organisation,
                             const std::string &Program, std::size_t Groups);

/// The group whose leader allocates slots on the engines of \p Service.
std::uint32_t dispatchingGroup(const std::string &Service, std::size_t Groups);

} // namespace psp::fleet

#endif
