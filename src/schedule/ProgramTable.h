/// \file
/// What the scheduler remembers of each program under way: the work that it
/// has got, and which endpoints hold memory for it.

#ifndef PSP_SCHEDULE_PROGRAMTABLE_H
#define PSP_SCHEDULE_PROGRAMTABLE_H

#include "schedule/Calls.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace psp::schedule {

/// Where the prefix of a program's next call is expected.
struct HeldPrefix {
  base::EndpointId m_Endpoint;
  double m_Tokens = 0.0;
};

class ProgramTable {
public:
  /// A call of the program came; its first one marks the program's start.
  /// noteGone() ends what this begins.
  void noteArrival(const base::ProgramId &Id, base::TimePoint Time);

  /// When the program's first call came.
  base::TimePoint start(const base::ProgramId &Id) const;

  Work attained(const base::ProgramId &Id) const;

  /// Null when no endpoint holds anything for it.
  const HeldPrefix *heldPrefix(const base::ProgramId &Id) const;

  void noteSent(const base::ProgramId &Id, const base::EndpointId &Endpoint);

  /// A call that was sent has ended and has cost \p Done.
  void addWork(const base::ProgramId &Id, Work Done);

  /// A call that came is over, whether it was sent or not.
  void noteGone(const base::ProgramId &Id);

  /// The endpoint now holds the first \p Tokens tokens of the next prompt.
  void noteHeld(const base::ProgramId &Id, const base::EndpointId &Endpoint,
                double Tokens);

  /// The program is gone. What endpoints hold for it is released when its
  /// last call has ended.
  void end(const base::ProgramId &Id);

  struct ProgramEndpoint {
    base::ProgramId m_Program;
    base::EndpointId m_Endpoint;
  };

  /// Takes out what is to be released.
  std::vector<ProgramEndpoint> takeReleases();

  std::size_t size() const { return m_Programs.size(); }

private:
  struct Program {
    base::TimePoint m_Start;
    Work m_Attained = 0.0;
    HeldPrefix m_Held;
    std::vector<base::EndpointId> m_Endpoints;
    std::size_t m_Calls = 0; ///< Waiting or sent.
    bool m_Ended = false;
  };

  void releaseIfDone(const base::ProgramId &Id);

  std::unordered_map<base::ProgramId, Program> m_Programs;
  std::vector<ProgramEndpoint> m_Releases;
};

} // namespace psp::schedule

#endif
