/// \file
/// The decisions of an entry instance, as one state machine over events and
/// time. It owns no socket, clock or thread: the surrounding process passes
/// events in and executes the output.

#ifndef PSP_ENTRY_ENTRYCORE_H
#define PSP_ENTRY_ENTRYCORE_H

#include "control/Learner.h"
#include "entry/Adoption.h"
#include "entry/EdgeCalls.h"
#include "entry/EndpointOrders.h"
#include "entry/OwnedCalls.h"
#include "entry/OwnerDirectory.h"
#include "entry/Route.h"
#include "entry/Submissions.h"
#include "entry/WithdrawnKeys.h"
#include "limits/RateLimits.h"
#include "membership/Membership.h"
#include "messages/CallerMessages.h"
#include "messages/EndpointMessages.h"
#include "program/ProgramTable.h"
#include "schedule/Scheduler.h"
#include "settings/Settings.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace psp::entry {

struct EntryCoreOptions {
  settings::EntrySettings m_Settings;
  /// Higher than that of any earlier process of this instance.
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Seed = 0;
  base::TimePoint m_Start;
};

/// Messages, replies and commands for the surrounding process to carry out.
struct EntryOutput {
  std::vector<messages::Outgoing> m_Messages;
  std::vector<messages::CallerReply> m_Replies;
  std::vector<messages::EndpointCommand> m_Commands;
  std::vector<DecidedSubmission> m_Decided;
  std::vector<EndpointOrderOutcome> m_Orders;
};

/// One counter in the Prometheus text format.
std::string counter(const std::string &Name, std::uint64_t Value);

class EntryCore final : public OwnerDirectory {
public:
  explicit EntryCore(EntryCoreOptions Options);

  /// Commands: one for each source of events.
  void onCaller(const messages::CallerEvent &Event, base::Now Time);
  void onPeer(const messages::Envelope &Message, base::Now Time);
  void onEndpoint(const messages::EndpointEvent &Event, base::Now Time);
  void onTick(base::Now Time);

  /// Starts a planned stop: accepts no further work and hands over ownership.
  void drain(base::Now Time);

  /// Withdraws \p Key on every reachable instance, whether or not the control
  /// log can currently accept the withdrawal.
  void withdrawKey(const base::KeyId &Key, base::Now Time);

  /// Submits an operator's command; the result comes with takeOutput().
  void submit(std::uint64_t Ticket, const messages::ControlCommand &Command,
              base::Now Time);

  /// Sends an order to an endpoint; the outcome comes with takeOutput().
  void orderEndpoint(std::uint64_t Ticket, const EndpointOrder &Order,
                     const std::string &Operator, base::Now Time);

  /// Records an operator's finding on a call whose outcome is unknown.
  void resolve(const base::ProgramId &Program, std::uint64_t Turn,
               const std::string &Finding, const std::string &Operator,
               base::Now Time);

  EntryOutput takeOutput();

  /// Queries.
  std::optional<Owner> ownerOf(const base::ProgramId &Program,
                               base::TimePoint Now) const override;
  bool isServing(const Owner &Who, base::TimePoint Now) const override;
  /// True when a planned stop may end the process.
  bool isDrained() const;
  bool isReady() const;
  std::string status(base::Now Time) const;
  std::string dump(base::Now Time) const;
  std::string metrics() const;
  std::vector<messages::EndpointState> endpointStates(base::Now Time) const;
  const control::ControlState &control() const { return m_Learner.state(); }
  std::vector<program::UnknownOutcome> unknownOutcomes() const {
    return m_Programs.unknownOutcomes();
  }
  const membership::Membership &members() const { return m_Members; }
  const schedule::EndpointRegistry &endpoints() const {
    return m_Queue.endpoints();
  }

private:
  void onRequest(const messages::CallerRequest &Request, base::Now Time);
  void serve(const messages::CallerRequest &Request, const Route &Parsed,
             base::Now Time);
  EdgeCall makeCall(const messages::CallerRequest &Request, const Route &Parsed,
                    base::Now Time) const;
  void checkService(const Route &Parsed, EdgeCall &Call) const;
  void admit(EdgeCall Call, base::Now Time);
  void takeAdmissions(base::Now Time);
  void announce(const messages::EndpointState &State, base::TimePoint Now);
  void answer(messages::RequestNumber Request, int Status, std::string Body);
  void applyUpdates(base::Now Time);
  OwnershipView ownershipView(base::TimePoint Now) const;
  void updateLedgerMajority(const std::vector<base::InstanceId> &Reachable);
  void takeOrderNumbers(base::Now Time);
  void dispatchBody(const base::InstanceId &From,
                    const messages::Envelope &Message, base::Now Time);
  /// Called at the end of every command: applies pending decisions and delivers
  /// messages that this instance sent to itself.
  void settle(base::Now Time);

  EntryCoreOptions m_Options;
  base::InstanceId m_Self;
  base::DataCentreId m_DataCentre;
  membership::Membership m_Members;
  control::Learner m_Learner;
  limits::RateLimits m_Limits;
  schedule::Scheduler m_Queue;
  program::ProgramTable m_Programs;
  EdgeCalls m_Edge;
  OwnedCalls m_Owned;
  WithdrawnKeys m_Withdrawn;
  Submissions m_Submissions;
  EndpointOrders m_Orders;
  Adoption m_Adoption;
  messages::Outbox m_Out;
  std::vector<messages::Outgoing> m_Outgoing;
  std::vector<messages::CallerReply> m_Replies;
  std::map<std::uint64_t, EdgeCall> m_Admissions; ///< By ticket.
  std::uint64_t m_NextTicket = 1;
  std::uint64_t m_NextProgram = 1;
  std::uint64_t m_HandledIndex = 0;
  std::vector<DecidedSubmission> m_Decided;
  std::uint64_t m_MalformedMessages = 0;
  bool m_Draining = false;
};

} // namespace psp::entry

#endif
