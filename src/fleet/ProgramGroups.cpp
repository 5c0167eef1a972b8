#include "fleet/ProgramGroups.h"

#include "base/Hash.h"

namespace psp::fleet {

std::uint32_t groupOfProgram(const std::string &Organisation,
                             const std::string &Program, std::size_t Groups) {
  std::string Name = Organisation;
  Name += '\0';
  Name += Program;
  return static_cast<std::uint32_t>(base::stableHash(Name) % Groups);
}

std::uint32_t dispatchingGroup(const std::string &Service, std::size_t Groups) {
  return static_cast<std::uint32_t>(base::stableHash("service/" + Service) %
                                    Groups);
}

} // namespace psp::fleet
