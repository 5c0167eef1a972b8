#include "program/ProgramIds.h"

#include "base/Error.h"
#include "base/Hash.h"

namespace psp::program {

base::ProgramId makeProgramId(const base::DataCentreId &Home,
                              std::string_view RandomBytes) {
  base::checkInvariant(RandomBytes.size() == ProgramIdBytes,
                       "expected 16 random bytes for a program identifier");
  return base::ProgramId(Home.str() + "." + base::toHex(RandomBytes));
}

base::DataCentreId homeOf(const base::ProgramId &Program) {
  const std::string &Text = Program.str();
  const std::size_t Dot = Text.rfind('.');
  if (Dot == std::string::npos || Text.size() - Dot - 1 != 2 * ProgramIdBytes)
    return {};
  const bool IsHex =
      Text.find_first_not_of("0123456789abcdef", Dot + 1) == std::string::npos;
  return IsHex ? base::DataCentreId(Text.substr(0, Dot)) : base::DataCentreId();
}

} // namespace psp::program
