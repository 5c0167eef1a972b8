/// \file
/// Admission of a call at the owner of its program: decides from the program's
/// state alone whether the call starts, waits, joins another call, is answered
/// from the record or is refused.

#ifndef PSP_PROGRAM_ADMISSION_H
#define PSP_PROGRAM_ADMISSION_H

#include "base/ErrorKind.h"
#include "program/ProgramState.h"

#include <cstdint>
#include <string>

namespace psp::program {

enum class Admission {
  Start,      ///< The program's next turn starts with this call.
  Wait,       ///< The preceding turn has not finished.
  Join,       ///< The same call is already running; wait for its result.
  FromRecord, ///< The same call has finished: answer from the record.
  Refuse,
};

struct AdmissionResult {
  Admission m_Decision = Admission::Refuse;
  base::ErrorKind m_Kind = base::ErrorKind::Internal; ///< When refused.
  std::string m_Detail{};                             ///< When refused.
  std::uint64_t m_RecordTurn = 0;                     ///< When from the record.
  std::string m_Body{};             ///< Request body, when the call starts.
  std::uint64_t m_PromptTokens = 0; ///< Estimate, when the call starts.
  std::uint64_t m_ReservedTokens = 0;
};

/// The inputs of an admission decision.
struct AdmissionView {
  const ProgramState &m_State;
  bool m_OpenTurnRuns = false; ///< A call at this owner executes the open turn.
  bool m_NextTurnWaits = false; ///< A call for the next turn is waiting here.
  bool m_IsCutOff = false;
  base::Duration m_Elapsed{}; ///< Since the program's creation.
};

AdmissionResult admit(const AdmissionView &View, const SubmittedCall &Call);

} // namespace psp::program

#endif
