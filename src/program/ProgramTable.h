/// \file
/// All programs that this entry instance owns. The calling code passes in
/// calls, messages and the time, and takes out events; see ProgramCalls.h.
///
/// The sequence of a call:
/// \code
///   submit -> CallReady -> (repeatable)      noteSent -> send -> finish
///                       -> (non-repeatable)  claim -> CallClaimed -> send
///                                            -> finish
///   finish -> CallDone, when the result is committed.
/// \endcode
/// CallDone can occur at any earlier point as a refusal; the call must then not
/// be sent. When CallDone occurs after the call was sent but before finish, the
/// ownership was lost or the ledgers are unreachable; the calling code may let
/// the endpoint continue or cancel it, and the call number is no longer valid
/// here.
///
/// In a data centre that is cut off, if local turns are accepted, a turn is
/// durable once a ledger of this data centre has it on disk, and its entries
/// and answers have the durability "local". Only programs that this table
/// already leads and new programs can continue this way. A program that would
/// have to be opened needs the majority, since the local ledger may lack its
/// last committed entries. A claim always needs the majority. Local turns stop
/// when the home lease expires (HomeLease.h): until then no other data centre
/// takes over the home.

#ifndef PSP_PROGRAM_PROGRAMTABLE_H
#define PSP_PROGRAM_PROGRAMTABLE_H

#include "base/ErrorKind.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "messages/Outbox.h"
#include "program/HomeLease.h"
#include "program/OwnedProgram.h"
#include "program/ProgramCalls.h"
#include "program/ProgramIds.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace psp::program {

class ProgramTable {
public:
  explicit ProgramTable(TableOptions Options);

  /// \p CutOff states that no majority of the ledgers can be reached, and
  /// \p AcceptLocalTurns that the configuration allows local turns. They are
  /// accepted while the home lease is held.
  void setCutOff(bool CutOff, bool AcceptLocalTurns);

  /// Creates \p Program, whose identifier must be new (makeProgramId). CallDone
  /// follows when it is committed. Calls may be submitted at once.
  void create(CallNumber Call, const base::ProgramId &Program,
              const base::OrganisationId &Organisation, const base::KeyId &Key,
              const ProgramLimits &Limits, base::Now Time,
              messages::Outbox &Out);

  void submit(const SubmittedCall &Call, base::Now Time, messages::Outbox &Out);

  /// Records which instance sends a non-repeatable call, before it is sent.
  void claim(CallNumber Call, const base::EndpointId &Endpoint,
             std::uint64_t FencingNumber, base::Now Time,
             messages::Outbox &Out);

  /// Notes that a repeatable call is about to be sent; the endpoint may hold
  /// memory for the program from now on. This is recorded with the next message
  /// or tick.
  void noteSent(CallNumber Call, const base::EndpointId &Endpoint);

  /// Records that the call ended with \p Outcome after it was sent. Its used
  /// tokens include those of failed attempts. An error kind whose run state is
  /// "no" means that the endpoint refused the call without executing it.
  void finish(CallNumber Call, const messages::CallOutcome &Outcome,
              const std::string &Answer, base::Now Time, messages::Outbox &Out);

  /// Cancels a call that the caller of this function has not sent.
  void abandon(CallNumber Call, base::ErrorKind Kind, base::Now Time,
               messages::Outbox &Out);

  /// Ends the program once its running call has finished.
  void end(const base::ProgramId &Program, const std::string &Reason,
           base::Now Time, messages::Outbox &Out);

  /// Records that the endpoints of a MemoryReleased event have freed the
  /// memory.
  void memoryFreed(const base::ProgramId &Program, base::Now Time,
                   messages::Outbox &Out);

  /// Records an operator's finding on an unknown outcome. CallDone follows:
  /// NotFound when the turn's outcome is not unknown.
  void resolve(CallNumber Call, const base::ProgramId &Program,
               std::uint64_t Turn, const std::string &Finding,
               const std::string &OperatorName, base::Now Time,
               messages::Outbox &Out);

  /// Opens a program without a call, for instance after its owner failed.
  void adopt(const base::ProgramId &Program, base::Now Time,
             messages::Outbox &Out);

  /// Requests from \p Ledger the programs of \p Home that need an owner;
  /// takeListed() returns them later. The calling code adopts those that it
  /// should own: at the start, after another instance failed, and after the
  /// takeover of a home.
  void list(const base::InstanceId &Ledger, const base::DataCentreId &Home,
            messages::Outbox &Out);
  std::vector<ListedProgram> takeListed();

  /// Releases the ownership of the program, for a planned stop or because
  /// another instance owns it now. Calls that were not sent are refused as not
  /// executed.
  void resign(const base::ProgramId &Program, base::Now Time);

  void onMessage(const base::InstanceId &From,
                 const messages::ProgramMessage &Message, base::Now Time,
                 messages::Outbox &Out);
  void onTick(base::Now Time, messages::Outbox &Out);

  /// Removes and returns the pending events, oldest first.
  std::vector<ProgramEvent> takeEvents();

  /// Whether this data centre holds its home lease.
  bool holdsHome(base::Now Time) const {
    return m_HomeLease.isHeld(Time.m_Monotonic);
  }

  std::vector<base::ProgramId> programs() const;
  std::size_t programCount() const { return m_Programs.size(); }

  /// The owned program, or null.
  const OwnedProgram *find(const base::ProgramId &Program) const;

  /// The unknown outcomes of all owned programs.
  std::vector<UnknownOutcome> unknownOutcomes() const;

private:
  StepContext step(base::Now Time, messages::Outbox &Out);
  OwnedProgram &ensure(const base::ProgramId &Program, StepContext &Step);
  OwnedProgram *findByCall(CallNumber Call);
  OwnedProgram *findOwned(const std::string &Program);
  void settle(OwnedProgram &Program, StepContext &Step);
  void onProbeReply(const base::InstanceId &From,
                    const messages::LedgerProbeReply &Reply, StepContext &Step);
  void probe(base::Now Time, messages::Outbox &Out);
  void expire(StepContext &Step);

  TableOptions m_Options;
  CutOffMode m_CutOff;
  HomeLease m_HomeLease;
  std::uint64_t m_ProbeSequence = 0;
  base::TimePoint m_ProbeSent;
  std::vector<ListedProgram> m_Listed;
  LedgerDisks m_Disks;
  std::unordered_map<base::ProgramId, std::unique_ptr<OwnedProgram>> m_Programs;
  std::unordered_map<CallNumber, base::ProgramId> m_ProgramOfCall;
  std::set<base::ProgramId> m_Busy; ///< Programs that need ticks.
  std::vector<ProgramEvent> m_Events;
  std::uint64_t m_NextNonce;
  base::TimePoint m_NextProbe;
  base::TimePoint m_NextExpiry;
};

} // namespace psp::program

#endif
