#include "program/Outcome.h"

namespace psp::program {

messages::CallOutcome failedOutcome(base::ErrorKind Kind,
                                    const std::string &Detail) {
  messages::CallOutcome Outcome;
  Outcome.set_error_kind(std::string(base::errorAnswer(Kind).m_Name));
  Outcome.set_detail(Detail);
  return Outcome;
}

base::RunState runStateOf(const messages::CallOutcome &Outcome) {
  if (Outcome.error_kind().empty())
    return base::RunState::Yes;
  const auto Kind = base::errorKindFromName(Outcome.error_kind());
  return Kind ? base::errorAnswer(*Kind).m_Run : base::RunState::Unknown;
}

bool didNotRun(const messages::CallOutcome &Outcome) {
  return runStateOf(Outcome) == base::RunState::No;
}

} // namespace psp::program
