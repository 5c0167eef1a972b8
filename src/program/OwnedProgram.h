/// \file
/// One program at its owner. Executes its calls one at a time in turn order,
/// based on the replicated entries (ProgramOwner) and on the state that results
/// from them (ProgramState).

#ifndef PSP_PROGRAM_OWNEDPROGRAM_H
#define PSP_PROGRAM_OWNEDPROGRAM_H

#include "base/ErrorKind.h"
#include "program/Admission.h"
#include "program/ProgramCalls.h"
#include "program/ProgramOwner.h"
#include "program/ProgramState.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace psp::program {

struct TableOptions {
  base::InstanceId m_Self{};
  base::DataCentreId m_DataCentre{};
  std::vector<base::InstanceId> m_Ledgers{};
  std::vector<base::InstanceId> m_LocalLedgers{}; ///< In the same data centre.
  base::Duration m_RetransmitInterval = base::milliseconds(50);
  /// How long a call waits for the ledgers before it is refused.
  base::Duration m_QuorumTimeout = base::seconds(3);
  base::Duration m_HomeLease = base::seconds(30);
  /// Random, and different at each start of the process, so that a restarted
  /// instance never reuses a ballot.
  std::uint64_t m_Seed = 0;
};

struct CutOffMode {
  bool m_CutOff = false;
  bool m_AcceptLocalTurns = false;
};

/// Inputs and outputs of one decision step.
struct StepContext {
  base::Now m_Now{};
  messages::Outbox &m_Out;
  const LedgerDisks &m_Disks;
  CutOffMode m_CutOff;
  std::vector<ProgramEvent> &m_Events;
};

/// The progress of a call.
enum class CallStage {
  Creating,  ///< Awaits the commit of the program's creation.
  Waiting,   ///< Awaits the program's opening or the preceding turn.
  Starting,  ///< Awaits the commit of its start.
  Ready,     ///< May be dispatched.
  Claiming,  ///< Awaits the commit of its claim.
  Sent,      ///< Claimed or noted as sent: an endpoint may have received it.
  Joined,    ///< Awaits the result of the call that executes the same turn.
  Finishing, ///< Awaits the commit of its result.
};

class OwnedProgram {
public:
  OwnedProgram(const TableOptions &Options, base::ProgramId Program,
               std::uint64_t Nonce);

  void create(CallNumber Call, const messages::ProgramCreated &Created,
              StepContext &Step);
  void open(StepContext &Step);
  void submit(const SubmittedCall &Call, StepContext &Step);
  void claim(CallNumber Call, const base::EndpointId &Endpoint,
             std::uint64_t FencingNumber, StepContext &Step);
  void noteSent(CallNumber Call, const base::EndpointId &Endpoint);
  void finish(CallNumber Call, const messages::CallOutcome &Outcome,
              const std::string &Answer, StepContext &Step);
  void abandon(CallNumber Call, base::ErrorKind Kind, StepContext &Step);
  /// Ends the program; later calls are refused with \p Kind.
  void end(const std::string &Reason, base::ErrorKind Kind);
  void memoryFreed(StepContext &Step);
  void resolve(CallNumber Call, const messages::OutcomeResolved &Resolved,
               StepContext &Step);
  void resign(StepContext &Step);
  void onMessage(const base::InstanceId &From,
                 const messages::ProgramMessage &Message, StepContext &Step);
  void onTick(StepContext &Step);
  void noteDisk(const base::InstanceId &Ledger, const std::string &Generation);

  /// Performs every step that has become possible. Called after each event.
  void settle(StepContext &Step);

  const base::ProgramId &id() const { return m_Program; }
  const ProgramState &state() const { return m_State; }
  const ProgramOwner &owner() const { return m_Owner; }
  /// Whether this object has no work left and can be removed from the table.
  bool isRemovable() const { return m_Removable; }
  bool needsTick() const;
  bool isExpired(base::Now Time) const;

private:
  struct TrackedCall {
    SubmittedCall m_Call{};
    CallStage m_Stage = CallStage::Waiting;
    std::uint64_t m_AwaitedIndex = 0;
    base::TimePoint m_WaitSince{};
    std::string m_Body{};
    std::uint64_t m_PromptTokens = 0;
    base::EndpointId m_Endpoint{};
    messages::CallOutcome m_Outcome{}; ///< When finishing.
    std::string m_Answer{};
    bool m_FromRecord = false;
    bool m_RepeatsRecord = false; ///< The result was recorded earlier.
    std::optional<messages::OutcomeResolved> m_Finding{}; ///< By an operator.
  };
  using Calls = std::map<CallNumber, TrackedCall>;

  std::uint64_t append(messages::ProgramEntry Entry, StepContext &Step);
  void applyLog();
  void takeOver(StepContext &Step);
  void tryCreate(StepContext &Step);
  std::uint64_t durableIndex(const StepContext &Step) const;
  bool isDurable(const TrackedCall &Call, const StepContext &Step) const;

  void advanceCalls(StepContext &Step);
  void makeReady(CallNumber Number, TrackedCall &Call, StepContext &Step);
  void admitCalls(StepContext &Step);
  AdmissionResult decide(const TrackedCall &Call, const StepContext &Step);
  void start(CallNumber Number, TrackedCall &Call,
             const AdmissionResult &Admitted, StepContext &Step);
  void recordFinding(TrackedCall &Call, StepContext &Step);
  void answerFromRecord(TrackedCall &Call, std::uint64_t Turn,
                        StepContext &Step);
  void finishTurn(const messages::CallOutcome &Outcome,
                  const std::string &Answer, StepContext &Step);
  void recordSends(StepContext &Step);
  void advanceEnd(StepContext &Step);
  void finishForEnd(StepContext &Step);
  void releaseMemory(StepContext &Step);

  void releaseOwnership(StepContext &Step);
  void refuseAll(base::ErrorKind Kind, const std::string &Detail,
                 StepContext &Step);
  void removeWhenUnused(base::Now Time);
  void expireWaits(StepContext &Step);
  bool hasWaitedTooLong(const TrackedCall &Call, base::Now Time) const;
  bool mayBeRunning(const TrackedCall &Call) const;
  messages::CallOutcome interruption(const TrackedCall &Call) const;
  Calls::iterator emitDone(Calls::iterator Call, messages::CallOutcome Outcome,
                           std::string Answer, StepContext &Step);
  base::Duration elapsed(base::Now Time) const;

  const TableOptions &m_Options;
  base::ProgramId m_Program;
  ProgramOwner m_Owner;
  ProgramState m_State; ///< Of the full log, including uncommitted entries.
  std::uint64_t m_AppliedIndex = 0;
  Calls m_Calls;
  std::optional<CallNumber> m_Active; ///< The call that executes the open turn.
  std::optional<messages::ProgramCreated> m_PendingCreation;
  std::vector<messages::CallSent> m_UnrecordedSends;
  std::optional<std::string> m_EndReason;
  base::ErrorKind m_EndKind = base::ErrorKind::ProgramEnded;
  std::uint64_t m_EndIndex =
      0; ///< The memory is released when this is durable.
  std::uint64_t m_FreedIndex = 0;
  bool m_MemoryReleased = false;
  base::TimePoint m_FreedSince;
  bool m_TookOver = false;
  bool m_Removable = false;
  base::TimePoint m_OpenSince;
  base::TimePoint m_AgeSince; ///< The age at this time is m_AgeBefore.
  base::Duration m_AgeBefore{};
};

} // namespace psp::program

#endif
