#include "program/OwnedProgram.h"

#include "base/Error.h"
#include "program/Outcome.h"

#include <algorithm>
#include <utility>

namespace psp::program {
namespace {

/// How long a program whose memory is freed stays in the table, so that ledgers
/// that lag behind can still receive its entries.
constexpr base::Duration RetentionAfterFreed = base::seconds(30);

bool isEnoughToCreate(const StepContext &Step, const TableOptions &Options) {
  if (Step.m_Disks.size() > Options.m_Ledgers.size() / 2)
    return true;
  return Step.m_CutOff.m_CutOff && Step.m_CutOff.m_AcceptLocalTurns &&
         std::any_of(Options.m_LocalLedgers.begin(),
                     Options.m_LocalLedgers.end(),
                     [&](const base::InstanceId &Ledger) {
                       return Step.m_Disks.contains(Ledger);
                     });
}

} // namespace

OwnedProgram::OwnedProgram(const TableOptions &Options, base::ProgramId Program,
                           std::uint64_t Nonce)
    : m_Options(Options), m_Program(Program),
      m_Owner(std::move(Program),
              {.m_Self = Options.m_Self,
               .m_Ledgers = Options.m_Ledgers,
               .m_RetransmitInterval = Options.m_RetransmitInterval,
               .m_Nonce = Nonce}) {}

void OwnedProgram::create(CallNumber Call,
                          const messages::ProgramCreated &Created,
                          StepContext &Step) {
  m_PendingCreation = Created;
  m_Calls[Call] = {.m_Call = {.m_Call = Call},
                   .m_Stage = CallStage::Creating,
                   .m_WaitSince = Step.m_Now.m_Monotonic};
  tryCreate(Step);
}

void OwnedProgram::tryCreate(StepContext &Step) {
  if (!m_PendingCreation || !isEnoughToCreate(Step, m_Options))
    return;
  messages::ProgramEntry First;
  *First.mutable_created() = *m_PendingCreation;
  First.set_durability(
      Step.m_CutOff.m_AcceptLocalTurns && Step.m_CutOff.m_CutOff ? "local"
                                                                 : "quorum");
  m_PendingCreation.reset();
  m_TookOver = true;
  m_AgeSince = Step.m_Now.m_Monotonic;
  m_Owner.create(std::move(First), Step.m_Disks, Step.m_Now, Step.m_Out);
  applyLog();
  for (auto &[Number, Call] : m_Calls) {
    if (Call.m_Stage == CallStage::Creating)
      Call.m_AwaitedIndex = 1;
  }
}

void OwnedProgram::open(StepContext &Step) {
  m_OpenSince = Step.m_Now.m_Monotonic;
  m_Owner.open(Step.m_Disks, Step.m_Now, Step.m_Out);
}

void OwnedProgram::noteSent(CallNumber Call, const base::EndpointId &Endpoint) {
  const auto It = m_Calls.find(Call);
  if (It == m_Calls.end() || m_Active != Call)
    return;
  TrackedCall &Tracked = It->second;
  base::checkInvariant(Tracked.m_Call.m_Repeatable,
                       "a non-repeatable call is sent without a claim");
  Tracked.m_Stage = CallStage::Sent;
  Tracked.m_Endpoint = Endpoint;
  messages::CallSent Sent;
  Sent.set_turn(Tracked.m_Call.m_Request.turn());
  Sent.set_endpoint(Endpoint.str());
  m_UnrecordedSends.push_back(std::move(Sent));
}

void OwnedProgram::recordSends(StepContext &Step) {
  for (messages::CallSent &Sent : std::exchange(m_UnrecordedSends, {})) {
    messages::ProgramEntry Entry;
    *Entry.mutable_call_sent() = std::move(Sent);
    append(std::move(Entry), Step);
  }
}

void OwnedProgram::end(const std::string &Reason, base::ErrorKind Kind) {
  if (m_EndReason)
    return;
  m_EndReason = Reason;
  m_EndKind = Kind;
}

void OwnedProgram::memoryFreed(StepContext &Step) {
  if (!m_MemoryReleased || m_FreedIndex > 0)
    return;
  messages::ProgramEntry Entry;
  Entry.mutable_memory_freed();
  m_FreedIndex = append(std::move(Entry), Step);
  m_FreedSince = Step.m_Now.m_Monotonic;
}

void OwnedProgram::resign(StepContext &Step) { releaseOwnership(Step); }

void OwnedProgram::onMessage(const base::InstanceId &From,
                             const messages::ProgramMessage &Message,
                             StepContext &Step) {
  if (Message.has_open_reply())
    m_Owner.onOpenReply(From, Message.open_reply(), Step.m_Now, Step.m_Out);
  else if (Message.has_append_reply())
    m_Owner.onAppendReply(From, Message.append_reply(), Step.m_Now, Step.m_Out);
}

void OwnedProgram::onTick(StepContext &Step) {
  const OwnerPhase Before = m_Owner.phase();
  if (!m_PendingCreation)
    m_Owner.onTick(Step.m_Disks, Step.m_Now, Step.m_Out);
  if (Before == OwnerPhase::Leading && m_Owner.phase() == OwnerPhase::Opening)
    m_OpenSince = Step.m_Now.m_Monotonic;
  settle(Step);
  if (!m_Removable)
    expireWaits(Step);
}

void OwnedProgram::noteDisk(const base::InstanceId &Ledger,
                            const std::string &Generation) {
  if (m_Owner.phase() == OwnerPhase::Leading)
    m_Owner.noteDisk(Ledger, Generation);
}

void OwnedProgram::settle(StepContext &Step) {
  if (m_Removable)
    return;
  tryCreate(Step);
  if (m_Owner.phase() == OwnerPhase::Fenced) {
    releaseOwnership(Step);
    return;
  }
  if (m_Owner.phase() == OwnerPhase::Missing) {
    refuseAll(base::ErrorKind::NotFound, "there is no such program", Step);
    return;
  }
  if (m_Owner.phase() == OwnerPhase::Evicted) {
    refuseAll(base::ErrorKind::OutcomeUnknown,
              "the program has ended and its entries are no longer in memory; "
              "see its record",
              Step);
    return;
  }
  if (!m_Owner.hasLog())
    return;
  if (m_Owner.phase() == OwnerPhase::Leading && !m_TookOver)
    takeOver(Step);
  recordSends(Step);
  advanceCalls(Step);
  admitCalls(Step);
  advanceEnd(Step);
}

std::uint64_t OwnedProgram::append(messages::ProgramEntry Entry,
                                   StepContext &Step) {
  const bool IsLocal =
      Step.m_CutOff.m_CutOff && Step.m_CutOff.m_AcceptLocalTurns;
  Entry.set_durability(IsLocal ? "local" : "quorum");
  Entry.set_elapsed_ms(base::wholeMilliseconds(elapsed(Step.m_Now)));
  const std::uint64_t Index =
      m_Owner.append(std::move(Entry), Step.m_Now, Step.m_Out);
  applyLog();
  return Index;
}

void OwnedProgram::applyLog() {
  while (m_AppliedIndex < m_Owner.lastIndex())
    m_State.apply(m_Owner.entry(++m_AppliedIndex));
}

void OwnedProgram::takeOver(StepContext &Step) {
  m_TookOver = true;
  applyLog();
  m_AgeBefore =
      base::milliseconds(m_Owner.entry(m_Owner.lastIndex()).elapsed_ms());
  m_AgeSince = Step.m_Now.m_Monotonic;
  if (m_State.openTurn() && m_State.openTurn()->m_Claimed)
    finishTurn(failedOutcome(base::ErrorKind::OutcomeUnknown,
                             "the instance that sent the call is gone"),
               "", Step);
  if (m_State.isMemoryFreed()) {
    m_FreedIndex = m_Owner.lastIndex();
    m_FreedSince = Step.m_Now.m_Monotonic;
  } else if (m_State.hasEnded()) {
    m_EndIndex = m_Owner.lastIndex();
  }
}

std::uint64_t OwnedProgram::durableIndex(const StepContext &Step) const {
  std::uint64_t Index = m_Owner.commitIndex();
  if (Step.m_CutOff.m_CutOff && Step.m_CutOff.m_AcceptLocalTurns &&
      m_Owner.phase() == OwnerPhase::Leading)
    Index = std::max(Index, m_Owner.syncedAtAny(m_Options.m_LocalLedgers));
  return Index;
}

void OwnedProgram::advanceEnd(StepContext &Step) {
  if (m_EndReason && !m_State.hasEnded())
    finishForEnd(Step);
  const std::uint64_t Durable = durableIndex(Step);
  if (m_EndIndex > 0 && Durable >= m_EndIndex && !m_MemoryReleased)
    releaseMemory(Step);
  const bool IsOver =
      m_Owner.isIdle() ||
      Step.m_Now.m_Monotonic - m_FreedSince > RetentionAfterFreed;
  if (m_FreedIndex > 0 && m_Owner.commitIndex() >= m_FreedIndex && IsOver &&
      m_Calls.empty())
    m_Removable = true;
}

void OwnedProgram::finishForEnd(StepContext &Step) {
  if (m_State.openTurn()) {
    if (m_Active && m_Calls.at(*m_Active).m_Stage == CallStage::Sent)
      return;
    const bool MayHaveRun = !m_Active && m_State.openTurn()->m_Repeatable;
    finishTurn(MayHaveRun ? failedOutcome(base::ErrorKind::AnswerInterrupted,
                                          "the program ended")
                          : failedOutcome(m_EndKind, "the program ended"),
               "", Step);
  }
  messages::ProgramEntry Entry;
  Entry.mutable_ended()->set_reason(*m_EndReason);
  m_EndIndex = append(std::move(Entry), Step);
}

void OwnedProgram::releaseMemory(StepContext &Step) {
  m_MemoryReleased = true;
  Step.m_Events.emplace_back(MemoryReleased{
      .m_Program = m_Program,
      .m_Endpoints = {m_State.endpoints().begin(), m_State.endpoints().end()},
      .m_MayBeElsewhere = m_State.mayHaveRunElsewhere()});
}

bool OwnedProgram::needsTick() const {
  if (m_Removable)
    return false;
  const bool Waits =
      std::any_of(m_Calls.begin(), m_Calls.end(), [](const auto &Item) {
        const CallStage Stage = Item.second.m_Stage;
        return Stage != CallStage::Ready && Stage != CallStage::Sent;
      });
  return Waits || m_PendingCreation || !m_Owner.isIdle() ||
         !m_UnrecordedSends.empty() || (m_EndReason && !m_MemoryReleased) ||
         m_FreedIndex > 0;
}

bool OwnedProgram::isExpired(base::Now Time) const {
  const base::Duration Lifetime = m_State.limits().m_MaxLifetime;
  return m_TookOver && Lifetime.count() > 0 && elapsed(Time) >= Lifetime &&
         !m_EndReason && !m_State.hasEnded();
}

base::Duration OwnedProgram::elapsed(base::Now Time) const {
  return m_AgeBefore + (Time.m_Monotonic - m_AgeSince);
}

} // namespace psp::program
