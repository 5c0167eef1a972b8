/// \file
/// The inputs and outputs of ProgramTable: calls and events.

#ifndef PSP_PROGRAM_PROGRAMCALLS_H
#define PSP_PROGRAM_PROGRAMCALLS_H

#include "base/Ids.h"
#include "base/Time.h"
#include "generated/program.pb.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace psp::program {

/// Chosen by the code that calls ProgramTable; unique within the process.
using CallNumber = std::uint64_t;

/// The limits of one program. They are recorded at its creation. Zero turns,
/// history tokens or lifetime mean no limit; a budget of zero allows no tokens.
struct ProgramLimits {
  std::uint64_t m_BudgetTokens = 0;
  std::uint32_t m_MaxTurns = 0;
  std::uint64_t m_MaxHistoryTokens = 0;
  base::Duration m_MaxLifetime{};

  bool operator==(const ProgramLimits &) const = default;
};

/// A call as received by the owner.
struct SubmittedCall {
  CallNumber m_Call = 0;
  base::OrganisationId m_Organisation{};
  base::KeyId m_Key{};
  messages::CallRequest m_Request{};
  bool m_Repeatable = true;
  bool m_CarriesHistory = false; ///< True for model calls.
  ProgramLimits m_Limits{};
};

/// The start of the turn is committed: the call may be queued for dispatch.
struct CallReady {
  CallNumber m_Call = 0;
  std::string m_Body{}; ///< Request body, with the conversation so far.
  std::uint64_t m_PromptTokens = 0; ///< Estimated from m_Body.
};

/// The claim is committed: the call may be sent now, once.
struct CallClaimed {
  CallNumber m_Call = 0;
};

/// The call has ended. A refusal can arrive at any time before the call is
/// sent; the call must then not be sent.
struct CallDone {
  CallNumber m_Call = 0;
  messages::CallOutcome m_Outcome{};
  std::string m_Answer{};
  bool m_FromRecord = false; ///< The committed result of another attempt.
};

/// The program has ended: its endpoints must free the memory that they hold for
/// it. Emitted again after each takeover until memoryFreed() is recorded.
struct MemoryReleased {
  base::ProgramId m_Program{};
  std::vector<base::EndpointId>
      m_Endpoints{}; ///< Known to have executed calls.
  /// A call may also have been executed at another endpoint: an owner failed
  /// before it could record the endpoint.
  bool m_MayBeElsewhere = false;
};

using ProgramEvent =
    std::variant<CallReady, CallClaimed, CallDone, MemoryReleased>;

/// A non-repeatable call that may have been sent and whose outcome is unknown.
struct UnknownOutcome {
  base::ProgramId m_Program{};
  base::OrganisationId m_Organisation{};
  std::uint64_t m_Turn = 0;
  std::string m_Service{};
  base::EndpointId m_Endpoint{};
  std::string m_IdempotencyKey{};

  bool operator==(const UnknownOutcome &) const = default;
};

/// A program on a ledger's list, and the instance that last led it.
struct ListedProgram {
  base::ProgramId m_Program{};
  base::InstanceId m_Owner{};

  auto operator<=>(const ListedProgram &) const = default;
};

} // namespace psp::program

#endif
