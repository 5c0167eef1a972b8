#include "programs/load/LoadOptions.h"

#include "base/Error.h"

#include <fstream>
#include <sstream>

namespace psp::load {

std::vector<Organisation> readOrganisations(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw base::UserError(base::ErrorKind::BadRequest,
                          "expected an organisations file, found no " + Path);
  std::vector<Organisation> Result;
  std::string Line;
  for (unsigned Number = 1; std::getline(File, Line); ++Number) {
    if (Line.empty() || Line.front() == '#')
      continue;
    std::istringstream Words(Line);
    Organisation Next;
    if (!(Words >> Next.m_Name >> Next.m_Key))
      throw base::UserError(base::ErrorKind::BadRequest,
                            Path + ":" + std::to_string(Number) +
                                ": expected NAME KEY [WEIGHT]");
    if (!(Words >> Next.m_Weight))
      Next.m_Weight = 1.0;
    Result.push_back(Next);
  }
  if (Result.empty())
    throw base::UserError(base::ErrorKind::BadRequest,
                          "expected an organisation, found none in " + Path);
  return Result;
}

} // namespace psp::load
