#include "base/Placement.h"

#include "base/Hash.h"

#include <algorithm>

namespace psp::base {

std::vector<InstanceId> rankInstances(std::string_view Key,
                                      std::vector<InstanceId> Candidates) {
  const auto Score = [Key](const InstanceId &Candidate) {
    return stableHash(std::string(Key) + '\n' + Candidate.str());
  };
  std::sort(Candidates.begin(), Candidates.end(),
            [&](const InstanceId &Left, const InstanceId &Right) {
              return Score(Left) > Score(Right);
            });
  return Candidates;
}

} // namespace psp::base
