/// \file
/// Decides what becomes of a call that arrives at its program's owner, from
/// the program's state alone.

#ifndef PSP_PROGRAM_ADMISSION_H
#define PSP_PROGRAM_ADMISSION_H

#include "base/ErrorKind.h"
#include "program/ProgramState.h"

#include <cstdint>
#include <string>

namespace psp::program {

enum class Admission {
  Start,      ///< The program's next turn starts with this call.
  Wait,       ///< The turn before it has not finished.
  Join,       ///< The same call runs already: wait for its result.
  FromRecord, ///< The same call has finished: answer from the record.
  Refuse,
};

struct AdmissionResult {
  Admission m_Decision = Admission::Refuse;
  base::ErrorKind m_Kind = base::ErrorKind::Internal; ///< When refused.
  std::string m_Detail{};                             ///< When refused.
  std::uint64_t m_RecordTurn = 0;                     ///< When from the record.
  std::string m_Body{};             ///< To be sent, when it starts.
  std::uint64_t m_PromptTokens = 0; ///< When it starts.
  std::uint64_t m_ReservedTokens = 0;
};

/// The program as the owner sees it now.
struct AdmissionView {
  const ProgramState &m_State;
  bool m_OpenTurnRuns = false;  ///< A call of this owner runs the open turn.
  bool m_NextTurnWaits = false; ///< A call for the next turn is here, too.
  bool m_IsCutOff = false;
  base::Duration m_Elapsed{}; ///< Since the program's creation.
};

AdmissionResult admit(const AdmissionView &View, const SubmittedCall &Call);

} // namespace psp::program

#endif
