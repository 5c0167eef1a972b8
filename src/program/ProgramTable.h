/// \file
/// All programs that this entry instance owns. The shell hands calls,
/// messages and time in, and takes events out; see ProgramCalls.h.
///
/// The way of a call:
/// \code
///   submit -> CallReady -> (repeatable)      noteSent -> send -> finish
///                       -> (non-repeatable)  claim -> CallClaimed -> send
///                                            -> finish
///   finish -> CallDone, when the result is committed.
/// \endcode
/// CallDone can come at any earlier point as a refusal, and then nothing may
/// be sent any more for the call. When CallDone comes after the call was sent,
/// ownership was lost or the ledgers are out of reach; the shell may let the
/// endpoint go on or cancel it, and the call number is no longer known here.
///
/// A data centre that is cut off: with local turns accepted, a turn counts
/// once a ledger of this data centre has it on disk, and its entries and
/// answers say "local". Only programs that this table already led, and new
/// ones, go on so; a program that would have to be opened needs the majority,
/// since the local ledger may lack its last committed entries. A claim always
/// needs the majority. Local turns stop when the home lease has run out
/// (HomeLease.h): until then no other data centre takes the home over.

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

  /// \p CutOff: no majority of the ledgers can be reached. \p AcceptLocalTurns:
  /// the configuration allows local turns. They are accepted while the home
  /// lease is held.
  void setCutOff(bool CutOff, bool AcceptLocalTurns);

  /// Creates \p Program, whose identifier must be new (makeProgramId). CallDone
  /// follows when it is committed. Calls may be submitted at once.
  void create(CallNumber Call, const base::ProgramId &Program,
              const base::OrganisationId &Organisation, const base::KeyId &Key,
              const ProgramLimits &Limits, base::Now Time,
              messages::Outbox &Out);

  void submit(const SubmittedCall &Call, base::Now Time, messages::Outbox &Out);

  /// Records who sends a non-repeatable call, before it is sent.
  void claim(CallNumber Call, const base::EndpointId &Endpoint,
             std::uint64_t FencingNumber, base::Now Time,
             messages::Outbox &Out);

  /// A repeatable call is about to be sent; the endpoint may hold memory for
  /// the program from now on. Recorded with the next message or tick.
  void noteSent(CallNumber Call, const base::EndpointId &Endpoint);

  /// The call ended with \p Outcome after it was sent. Its used tokens include
  /// those of failed attempts. An error kind whose run state is "no" says that
  /// the endpoint refused it before it ran.
  void finish(CallNumber Call, const messages::CallOutcome &Outcome,
              const std::string &Answer, base::Now Time, messages::Outbox &Out);

  /// The call is given up and was not sent.
  void abandon(CallNumber Call, base::ErrorKind Kind, base::Now Time,
               messages::Outbox &Out);

  /// Ends the program once its running call has finished.
  void end(const base::ProgramId &Program, const std::string &Reason,
           base::Now Time, messages::Outbox &Out);

  /// The endpoints of a MemoryReleased event have freed the memory.
  void memoryFreed(const base::ProgramId &Program, base::Now Time,
                   messages::Outbox &Out);

  /// Records an operator's finding on an unknown outcome. CallDone follows:
  /// NotFound when the turn's outcome is not unknown.
  void resolve(CallNumber Call, const base::ProgramId &Program,
               std::uint64_t Turn, const std::string &Finding,
               const std::string &OperatorName, base::Now Time,
               messages::Outbox &Out);

  /// Opens a program without a call, for instance after its owner died.
  void adopt(const base::ProgramId &Program, base::Now Time,
             messages::Outbox &Out);

  /// Asks \p Ledger for the programs of this data centre that need an owner;
  /// takeListed() has them later. The shell adopts those that it should own:
  /// at the start, after another instance died, and after a takeover of a home.
  void list(const base::InstanceId &Ledger, const base::DataCentreId &Home,
            messages::Outbox &Out);
  std::vector<ListedProgram> takeListed();

  /// Gives the program up: a planned stop, or another instance owns it now.
  /// Calls that were not sent are refused as not run.
  void resign(const base::ProgramId &Program, base::Now Time);

  void onMessage(const base::InstanceId &From,
                 const messages::ProgramMessage &Message, base::Now Time,
                 messages::Outbox &Out);
  void onTick(base::Now Time, messages::Outbox &Out);

  /// Takes the events out, oldest first.
  std::vector<ProgramEvent> takeEvents();

  /// Whether this data centre holds its home lease.
  bool holdsHome(base::Now Time) const {
    return m_HomeLease.isHeld(Time.m_Monotonic);
  }

  std::vector<base::ProgramId> programs() const;
  std::size_t programCount() const { return m_Programs.size(); }

  /// The owned program, or null.
  const OwnedProgram *find(const base::ProgramId &Program) const;

  /// Of all owned programs.
  std::vector<UnknownOutcome> unknownOutcomes() const;

private:
  StepContext step(base::Now Time, messages::Outbox &Out);
  OwnedProgram &ensure(const base::ProgramId &Program, StepContext &Step);
  OwnedProgram *ofCall(CallNumber Call);
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
