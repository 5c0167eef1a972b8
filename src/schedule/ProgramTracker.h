/// \file
/// The scheduler's state of each active program: its attained work, and which
/// endpoints hold memory for it.

#ifndef PSP_SCHEDULE_PROGRAMTRACKER_H
#define PSP_SCHEDULE_PROGRAMTRACKER_H

#include "schedule/Calls.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace psp::schedule {

/// The endpoint that is expected to have the prefix of a program's next prompt
/// cached.
struct CachedPrefix {
  base::EndpointId m_Endpoint;
  double m_Tokens = 0.0;
};

class ProgramTracker {
public:
  /// A call of the program arrived. The program's first one sets its start
  /// time. Each call must be followed by noteCallEnded().
  void noteCallArrived(const base::ProgramId &Id, base::TimePoint Time);

  /// When the program's first call arrived.
  base::TimePoint startTime(const base::ProgramId &Id) const;

  Work attainedWork(const base::ProgramId &Id) const;

  /// Null when no endpoint is expected to have a prefix of the program cached.
  const CachedPrefix *cachedPrefix(const base::ProgramId &Id) const;

  void noteCallSent(const base::ProgramId &Id,
                    const base::EndpointId &Endpoint);

  /// A sent call has ended and took \p FinishedWork.
  void addWork(const base::ProgramId &Id, Work FinishedWork);

  /// A call that arrived has ended, whether it was sent or not.
  void noteCallEnded(const base::ProgramId &Id);

  /// The endpoint now has the first \p Tokens tokens of the next prompt cached.
  void notePrefixCached(const base::ProgramId &Id,
                        const base::EndpointId &Endpoint, double Tokens);

  /// The program has ended. The memory that endpoints hold for it is released
  /// after its last call has ended.
  void endProgram(const base::ProgramId &Id);

  struct ProgramEndpoint {
    base::ProgramId m_Program;
    base::EndpointId m_Endpoint;
  };

  /// Removes and returns the pending releases.
  std::vector<ProgramEndpoint> takeReleases();

  std::size_t size() const { return m_Programs.size(); }

private:
  struct Program {
    base::TimePoint m_StartTime;
    Work m_AttainedWork = 0.0;
    CachedPrefix m_CachedPrefix;
    std::vector<base::EndpointId> m_Endpoints;
    std::size_t m_Calls = 0; ///< Calls that wait or were sent.
    bool m_Ended = false;
  };

  void releaseIfEnded(const base::ProgramId &Id);

  std::unordered_map<base::ProgramId, Program> m_Programs;
  std::vector<ProgramEndpoint> m_Releases;
};

} // namespace psp::schedule

#endif
