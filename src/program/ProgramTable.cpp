#include "program/ProgramTable.h"

#include "base/Error.h"
#include "program/Outcome.h"

#include <algorithm>
#include <utility>

namespace psp::program {
namespace {

constexpr base::Duration ProbeInterval = base::seconds(1);

/// Used until all disk generations are known: while too few are known, no
/// program can be created, so the ledgers are probed more often.
constexpr base::Duration FirstProbeInterval = base::milliseconds(100);

constexpr base::Duration ExpiryInterval = base::seconds(1);

messages::ProgramCreated makeCreated(const base::OrganisationId &Organisation,
                                     const base::KeyId &Key,
                                     const ProgramLimits &Limits) {
  messages::ProgramCreated Created;
  Created.set_organisation(Organisation.str());
  Created.set_key_id(Key.str());
  Created.set_budget_tokens(Limits.m_BudgetTokens);
  Created.set_max_turns(Limits.m_MaxTurns);
  Created.set_max_history_tokens(Limits.m_MaxHistoryTokens);
  Created.set_max_lifetime_ms(base::wholeMilliseconds(Limits.m_MaxLifetime));
  return Created;
}

} // namespace

ProgramTable::ProgramTable(TableOptions Options)
    : m_Options(std::move(Options)),
      m_HomeLease({.m_Ledgers = m_Options.m_Ledgers,
                   .m_Length = m_Options.m_HomeLease}),
      m_NextNonce(m_Options.m_Seed) {}

void ProgramTable::setCutOff(bool CutOff, bool AcceptLocalTurns) {
  m_CutOff = {.m_CutOff = CutOff, .m_AcceptLocalTurns = AcceptLocalTurns};
}

StepContext ProgramTable::step(base::Now Time, messages::Outbox &Out) {
  const bool AcceptsLocal = m_CutOff.m_AcceptLocalTurns && holdsHome(Time);
  return {.m_Now = Time,
          .m_Out = Out,
          .m_Disks = m_Disks,
          .m_CutOff = {.m_CutOff = m_CutOff.m_CutOff,
                       .m_AcceptLocalTurns = AcceptsLocal},
          .m_Events = m_Events};
}

OwnedProgram &ProgramTable::ensure(const base::ProgramId &Program,
                                   StepContext &Step) {
  auto &Owned = m_Programs[Program];
  if (!Owned) {
    Owned = std::make_unique<OwnedProgram>(m_Options, Program, m_NextNonce++);
    Owned->open(Step);
  }
  return *Owned;
}

OwnedProgram *ProgramTable::findOwned(const std::string &Program) {
  const auto It = m_Programs.find(base::ProgramId(Program));
  return It == m_Programs.end() ? nullptr : It->second.get();
}

OwnedProgram *ProgramTable::findByCall(CallNumber Call) {
  const auto It = m_ProgramOfCall.find(Call);
  return It == m_ProgramOfCall.end() ? nullptr : findOwned(It->second.str());
}

void ProgramTable::settle(OwnedProgram &Program, StepContext &Step) {
  Program.settle(Step);
  const base::ProgramId Id = Program.id();
  if (Program.isRemovable()) {
    m_Busy.erase(Id);
    m_Programs.erase(Id);
  } else if (Program.needsTick()) {
    m_Busy.insert(Id);
  } else {
    m_Busy.erase(Id);
  }
}

void ProgramTable::create(CallNumber Call, const base::ProgramId &Program,
                          const base::OrganisationId &Organisation,
                          const base::KeyId &Key, const ProgramLimits &Limits,
                          base::Now Time, messages::Outbox &Out) {
  auto &Owned = m_Programs[Program];
  base::checkInvariant(!Owned, "a program is created twice");
  StepContext Step = step(Time, Out);
  Owned = std::make_unique<OwnedProgram>(m_Options, Program, m_NextNonce++);
  m_ProgramOfCall[Call] = Program;
  Owned->create(Call, makeCreated(Organisation, Key, Limits), Step);
  settle(*Owned, Step);
}

void ProgramTable::submit(const SubmittedCall &Call, base::Now Time,
                          messages::Outbox &Out) {
  const base::ProgramId Program(Call.m_Request.program());
  if (homeOf(Program).empty()) {
    m_Events.emplace_back(
        CallDone{.m_Call = Call.m_Call,
                 .m_Outcome = failedOutcome(base::ErrorKind::NotFound,
                                            "there is no such program")});
    return;
  }
  StepContext Step = step(Time, Out);
  OwnedProgram &Owned = ensure(Program, Step);
  m_ProgramOfCall[Call.m_Call] = Program;
  Owned.submit(Call, Step);
  settle(Owned, Step);
}

void ProgramTable::claim(CallNumber Call, const base::EndpointId &Endpoint,
                         std::uint64_t FencingNumber, base::Now Time,
                         messages::Outbox &Out) {
  OwnedProgram *Owned = findByCall(Call);
  if (Owned == nullptr)
    return;
  StepContext Step = step(Time, Out);
  Owned->claim(Call, Endpoint, FencingNumber, Step);
  settle(*Owned, Step);
}

void ProgramTable::noteSent(CallNumber Call, const base::EndpointId &Endpoint) {
  OwnedProgram *Owned = findByCall(Call);
  if (Owned == nullptr)
    return;
  Owned->noteSent(Call, Endpoint);
  m_Busy.insert(Owned->id());
}

void ProgramTable::finish(CallNumber Call, const messages::CallOutcome &Outcome,
                          const std::string &Answer, base::Now Time,
                          messages::Outbox &Out) {
  OwnedProgram *Owned = findByCall(Call);
  if (Owned == nullptr)
    return;
  StepContext Step = step(Time, Out);
  Owned->finish(Call, Outcome, Answer, Step);
  settle(*Owned, Step);
}

void ProgramTable::abandon(CallNumber Call, base::ErrorKind Kind,
                           base::Now Time, messages::Outbox &Out) {
  OwnedProgram *Owned = findByCall(Call);
  if (Owned == nullptr)
    return;
  StepContext Step = step(Time, Out);
  Owned->abandon(Call, Kind, Step);
  settle(*Owned, Step);
}

void ProgramTable::end(const base::ProgramId &Program,
                       const std::string &Reason, base::Now Time,
                       messages::Outbox &Out) {
  if (homeOf(Program).empty())
    return;
  StepContext Step = step(Time, Out);
  OwnedProgram &Owned = ensure(Program, Step);
  Owned.end(Reason, base::ErrorKind::ProgramEnded);
  settle(Owned, Step);
}

void ProgramTable::memoryFreed(const base::ProgramId &Program, base::Now Time,
                               messages::Outbox &Out) {
  OwnedProgram *Owned = findOwned(Program.str());
  if (Owned == nullptr)
    return;
  StepContext Step = step(Time, Out);
  Owned->memoryFreed(Step);
  settle(*Owned, Step);
}

void ProgramTable::resolve(CallNumber Call, const base::ProgramId &Program,
                           std::uint64_t Turn, const std::string &Finding,
                           const std::string &OperatorName, base::Now Time,
                           messages::Outbox &Out) {
  messages::OutcomeResolved Resolved;
  Resolved.set_turn(Turn);
  Resolved.set_finding(Finding);
  Resolved.set_operator_name(OperatorName);
  StepContext Step = step(Time, Out);
  OwnedProgram &Owned = ensure(Program, Step);
  m_ProgramOfCall[Call] = Program;
  Owned.resolve(Call, Resolved, Step);
  settle(Owned, Step);
}

void ProgramTable::adopt(const base::ProgramId &Program, base::Now Time,
                         messages::Outbox &Out) {
  StepContext Step = step(Time, Out);
  settle(ensure(Program, Step), Step);
}

void ProgramTable::list(const base::InstanceId &Ledger,
                        const base::DataCentreId &Home, messages::Outbox &Out) {
  Out.add(Ledger).mutable_program()->mutable_list()->set_home(Home.str());
}

std::vector<ListedProgram> ProgramTable::takeListed() {
  return std::exchange(m_Listed, {});
}

void ProgramTable::resign(const base::ProgramId &Program, base::Now Time) {
  OwnedProgram *Owned = findOwned(Program.str());
  if (Owned == nullptr)
    return;
  messages::Outbox Discarded;
  StepContext Step = step(Time, Discarded);
  Owned->resign(Step);
  settle(*Owned, Step);
}

void ProgramTable::onMessage(const base::InstanceId &From,
                             const messages::ProgramMessage &Message,
                             base::Now Time, messages::Outbox &Out) {
  StepContext Step = step(Time, Out);
  if (Message.has_probe_reply()) {
    onProbeReply(From, Message.probe_reply(), Step);
    return;
  }
  if (Message.has_list_reply()) {
    const messages::ProgramListReply &Reply = Message.list_reply();
    const int Count = std::min(Reply.programs_size(), Reply.owners_size());
    for (int I = 0; I < Count; ++I) {
      m_Listed.push_back({.m_Program = base::ProgramId(Reply.programs(I)),
                          .m_Owner = base::InstanceId(Reply.owners(I))});
    }
    if (Reply.more() && Reply.programs_size() > 0) {
      auto &Next = *Out.add(From).mutable_program()->mutable_list();
      Next.set_home(Reply.home());
      Next.set_after(Reply.programs(Reply.programs_size() - 1));
    }
    return;
  }
  OwnedProgram *Owned = nullptr;
  if (Message.has_open_reply())
    Owned = findOwned(Message.open_reply().program());
  else if (Message.has_append_reply())
    Owned = findOwned(Message.append_reply().program());
  if (Owned == nullptr)
    return;
  Owned->onMessage(From, Message, Step);
  settle(*Owned, Step);
}

void ProgramTable::onProbeReply(const base::InstanceId &From,
                                const messages::LedgerProbeReply &Reply,
                                StepContext &Step) {
  if (Reply.sequence() == m_ProbeSequence)
    m_HomeLease.noteContact(From, m_ProbeSent);
  std::string &KnownGeneration = m_Disks[From];
  if (KnownGeneration == Reply.generation())
    return;
  const bool IsFirst = KnownGeneration.empty();
  KnownGeneration = Reply.generation();
  for (const base::ProgramId &Id : programs()) {
    OwnedProgram &Owned = *m_Programs.at(Id);
    if (!IsFirst)
      Owned.noteDisk(From, KnownGeneration);
    settle(Owned, Step);
  }
}

void ProgramTable::probe(base::Now Time, messages::Outbox &Out) {
  if (Time.m_Monotonic < m_NextProbe)
    return;
  const bool AllDisksKnown = m_Disks.size() == m_Options.m_Ledgers.size();
  m_NextProbe =
      Time.m_Monotonic + (AllDisksKnown ? ProbeInterval : FirstProbeInterval);
  ++m_ProbeSequence;
  m_ProbeSent = Time.m_Monotonic;
  for (const base::InstanceId &Ledger : m_Options.m_Ledgers) {
    auto &Probe = *Out.add(Ledger).mutable_program()->mutable_probe();
    Probe.set_sequence(m_ProbeSequence);
    Probe.set_data_centre(m_Options.m_DataCentre.str());
  }
}

void ProgramTable::expire(StepContext &Step) {
  if (Step.m_Now.m_Monotonic < m_NextExpiry)
    return;
  m_NextExpiry = Step.m_Now.m_Monotonic + ExpiryInterval;
  for (const base::ProgramId &Id : programs()) {
    OwnedProgram &Owned = *m_Programs.at(Id);
    if (!Owned.isExpired(Step.m_Now))
      continue;
    Owned.end("the program's lifetime is over", base::ErrorKind::TimeLimit);
    settle(Owned, Step);
  }
}

void ProgramTable::onTick(base::Now Time, messages::Outbox &Out) {
  StepContext Step = step(Time, Out);
  probe(Time, Out);
  const std::vector<base::ProgramId> Busy(m_Busy.begin(), m_Busy.end());
  for (const base::ProgramId &Id : Busy) {
    OwnedProgram &Owned = *m_Programs.at(Id);
    Owned.onTick(Step);
    settle(Owned, Step);
  }
  expire(Step);
}

std::vector<ProgramEvent> ProgramTable::takeEvents() {
  for (const ProgramEvent &Event : m_Events) {
    if (const auto *Done = std::get_if<CallDone>(&Event))
      m_ProgramOfCall.erase(Done->m_Call);
  }
  return std::exchange(m_Events, {});
}

std::vector<base::ProgramId> ProgramTable::programs() const {
  std::vector<base::ProgramId> Result;
  Result.reserve(m_Programs.size());
  for (const auto &[Id, Owned] : m_Programs)
    Result.push_back(Id);
  return Result;
}

const OwnedProgram *ProgramTable::find(const base::ProgramId &Program) const {
  const auto It = m_Programs.find(Program);
  return It == m_Programs.end() ? nullptr : It->second.get();
}

std::vector<UnknownOutcome> ProgramTable::unknownOutcomes() const {
  std::vector<UnknownOutcome> Result;
  for (const auto &[Id, Owned] : m_Programs) {
    for (UnknownOutcome &Unknown : Owned->state().unknownOutcomes(Id))
      Result.push_back(std::move(Unknown));
  }
  return Result;
}

} // namespace psp::program
