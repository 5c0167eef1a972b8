/// \file
/// The calls of the programs that this instance owns: records each step on the
/// ledgers, queues the call, runs it at an endpoint and sends the answer to the
/// caller's instance.

#ifndef PSP_ENTRY_OWNEDCALLS_H
#define PSP_ENTRY_OWNEDCALLS_H

#include "base/ErrorKind.h"
#include "control/ControlState.h"
#include "entry/MemoryReleases.h"
#include "entry/OwnedCall.h"
#include "entry/OwnerDirectory.h"
#include "messages/EndpointMessages.h"
#include "messages/Outbox.h"
#include "program/ProgramTable.h"
#include "schedule/Scheduler.h"

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace psp::entry {

struct OwnedOptions {
  base::InstanceId m_Self;
  std::uint64_t m_FirstCall = 1;
};

/// Number of calls by how they ended.
struct OwnedCounters {
  std::uint64_t m_Accepted = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Retried = 0;
  std::uint64_t m_Succeeded = 0;
  std::uint64_t m_OutcomeUnknown = 0;
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_RecomputedTokens = 0;

  bool operator==(const OwnedCounters &) const = default;
};

class OwnedCalls {
public:
  OwnedCalls(OwnedOptions Options, const OwnerDirectory &Owners,
             const control::ControlState &Control,
             program::ProgramTable &Programs, schedule::Scheduler &Queue);

  /// Commands.
  void onForwardCall(const base::InstanceId &From,
                     const messages::ForwardCall &Message, base::Now Time,
                     messages::Outbox &Out);
  void onForwardCancel(const base::InstanceId &From, std::uint64_t SourceCall,
                       base::Now Time, messages::Outbox &Out);
  void onEndpoint(const messages::EndpointEvent &Event, base::Now Time,
                  messages::Outbox &Out);

  /// Applies the decisions of the program table and the queue until none is
  /// left. Called after every other command.
  void advance(base::Now Time, messages::Outbox &Out);
  void onTick(base::Now Time, messages::Outbox &Out);

  /// Allocates a call number for an operation that an operator starts.
  std::uint64_t nextNumber() { return m_NextCall++; }
  messages::ExchangeNumber &exchangeNumbers() { return m_NextExchange; }

  /// Refuses further calls; calls in progress are finished.
  void drain() { m_Draining = true; }

  std::vector<messages::EndpointCommand> takeCommands();

  /// Queries.
  std::size_t count() const { return m_Calls.size(); }
  const OwnedCounters &counters() const { return m_Counters; }
  const std::map<std::uint64_t, OwnedCall> &calls() const { return m_Calls; }

private:
  using SourceKey = std::pair<base::InstanceId, std::uint64_t>;

  void accept(OwnedCall Call, base::Now Time, messages::Outbox &Out);
  void submit(const OwnedCall &Call, base::Now Time, messages::Outbox &Out);
  void acknowledge(const OwnedCall &Call, std::uint64_t Offset,
                   messages::Outbox &Out) const;

  void onProgramEvent(const program::ProgramEvent &Event, base::Now Time,
                      messages::Outbox &Out);
  void onReady(const program::CallReady &Event, base::Now Time,
               messages::Outbox &Out);
  void onClaimed(const program::CallClaimed &Event, base::Now Time,
                 messages::Outbox &Out);
  void onDone(const program::CallDone &Event, base::Now Time,
              messages::Outbox &Out);
  void detach(OwnedCall &Call, base::Now Time);
  void tryEndProgram(OwnedCall &Call, base::Now Time, messages::Outbox &Out);
  void refuseAndRemove(OwnedCall &Call, base::ErrorKind Kind,
                       messages::Outbox &Out);
  std::vector<base::EndpointId>
  endpointsToFree(const program::MemoryReleased &Event, base::Now Time) const;
  void onReleased(const program::MemoryReleased &Event, base::Now Time);
  void onDispatch(const schedule::Dispatch &Dispatch, base::Now Time,
                  messages::Outbox &Out);
  void onRefusal(const schedule::Refusal &Refusal, base::Now Time,
                 messages::Outbox &Out);
  void send(OwnedCall &Call);
  std::uint64_t fencingNumber(const OwnedCall &Call) const;

  void onHead(OwnedCall &Call, const messages::ExchangeHead &Head);
  void onData(OwnedCall &Call, const messages::ExchangeData &Data,
              base::Now Time, messages::Outbox &Out);
  void onComplete(OwnedCall &Call, base::Now Time, messages::Outbox &Out);
  void onFailed(OwnedCall &Call, const messages::ExchangeFailed &Failure,
                base::Now Time, messages::Outbox &Out);
  void onOutcome(OwnedCall &Call, base::Now Time, messages::Outbox &Out);
  void succeed(OwnedCall &Call, base::Now Time, messages::Outbox &Out);
  void settleNotExecuted(OwnedCall &Call, const std::string &Detail,
                         base::Now Time, messages::Outbox &Out);
  void settleFailed(OwnedCall &Call, schedule::CallResult Result,
                    const std::string &Detail, base::Now Time,
                    messages::Outbox &Out);
  bool retryElsewhere(OwnedCall &Call, base::Now Time);
  void queryOutcome(OwnedCall &Call);
  void expire(OwnedCall &Call, base::Now Time, messages::Outbox &Out);
  void stopExchange(OwnedCall &Call);
  void freeSlot(OwnedCall &Call, schedule::CallResult Result, base::Now Time);
  void finish(OwnedCall &Call, const messages::CallOutcome &Outcome,
              base::Now Time, messages::Outbox &Out);
  void abandon(OwnedCall &Call, base::ErrorKind Kind, base::Duration RetryAfter,
               base::Now Time, messages::Outbox &Out);

  void sendAnswer(OwnedCall &Call, messages::Outbox &Out);
  void endAtSource(const OwnedCall &Call, const messages::CallOutcome &Outcome,
                   base::Duration RetryAfter, messages::Outbox &Out) const;
  void refuse(const OwnedCall &Call, base::ErrorKind Kind,
              const std::string &Detail, messages::Outbox &Out);
  void removeCall(std::uint64_t Number);
  OwnedCall *findExchange(messages::ExchangeNumber Exchange);

  OwnedOptions m_Options;
  const OwnerDirectory &m_Owners;
  const control::ControlState &m_Control;
  program::ProgramTable &m_Programs;
  schedule::Scheduler &m_Queue;
  std::uint64_t m_NextCall;
  messages::ExchangeNumber m_NextExchange = 1;
  bool m_Draining = false;
  std::map<std::uint64_t, OwnedCall> m_Calls;
  std::map<SourceKey, std::uint64_t> m_BySource;
  std::unordered_map<messages::ExchangeNumber, std::uint64_t> m_ByExchange;
  MemoryReleases m_Releases;
  std::vector<messages::EndpointCommand> m_Commands;
  OwnedCounters m_Counters;
};

} // namespace psp::entry

#endif
