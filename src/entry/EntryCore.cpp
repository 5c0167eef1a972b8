#include "entry/EntryCore.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "base/Placement.h"
#include "entry/Announcements.h"

#include <algorithm>
#include <utility>

namespace psp::entry {

using base::DataCentreId;
using base::Duration;
using base::ErrorKind;
using base::InstanceId;
using base::Now;
using base::TimePoint;
using base::UserError;
using messages::CallerGone;
using messages::CallerRequest;
using messages::Envelope;
using messages::ForwardCall;
using settings::PeerRole;

namespace {

/// The organisation under which calls on routes without a key are recorded.
constexpr const char *OpenOrganisation = "open-routes";

constexpr Duration QuorumTimeout = base::milliseconds(1500);
constexpr Duration RetransmitInterval = base::milliseconds(100);
constexpr double RetryShare = 0.1;
constexpr std::size_t RandomProgramBytes = 16;

/// Submissions with this ticket or a higher one request fencing numbers for
/// orders to endpoints.
constexpr std::uint64_t FirstOrderTicket = 1ULL << 32U;

std::vector<InstanceId> ledgers(const settings::ProcessSettings &Process,
                                bool LocalOnly) {
  std::vector<InstanceId> Selected;
  for (const settings::Peer &Peer : Process.m_Peers) {
    const bool Included =
        !LocalOnly || Peer.m_DataCentre == Process.m_DataCentre;
    if (Peer.m_Role == PeerRole::Ledger && Included)
      Selected.push_back(Peer.m_Instance);
  }
  return Selected;
}

limits::LimitOptions limitOptions(const EntryCoreOptions &Options) {
  const settings::ProcessSettings &Process = Options.m_Settings.m_Process;
  limits::LimitOptions Limits;
  Limits.m_Self = Process.m_Instance;
  Limits.m_DataCentre = Process.m_DataCentre;
  Limits.m_IsEntry = true;
  Limits.m_Incarnation = Options.m_Incarnation;
  for (const settings::Peer &Peer : Process.m_Peers) {
    Limits.m_Members.push_back({.m_Instance = Peer.m_Instance,
                                .m_DataCentre = Peer.m_DataCentre,
                                .m_IsEntry = Peer.m_Role == PeerRole::Entry});
  }
  return Limits;
}

schedule::SchedulerOptions queueOptions(const EntryCoreOptions &Options) {
  schedule::SchedulerOptions Queue;
  Queue.m_DataCentre = Options.m_Settings.m_Process.m_DataCentre;
  Queue.m_MaxQueuedCalls = Options.m_Settings.m_MaxQueuedCalls;
  Queue.m_Seed = Options.m_Seed;
  Queue.m_RetryShare = RetryShare;
  Queue.m_ShareCount = 1;
  return Queue;
}

program::TableOptions tableOptions(const EntryCoreOptions &Options) {
  const settings::ProcessSettings &Process = Options.m_Settings.m_Process;
  program::TableOptions Table;
  Table.m_Self = Process.m_Instance;
  Table.m_DataCentre = Process.m_DataCentre;
  Table.m_Ledgers = ledgers(Process, false);
  Table.m_LocalLedgers = ledgers(Process, true);
  Table.m_RetransmitInterval = RetransmitInterval;
  Table.m_QuorumTimeout = QuorumTimeout;
  Table.m_Seed = Options.m_Seed;
  return Table;
}

membership::MembershipOptions memberOptions(const EntryCoreOptions &Options) {
  const settings::ProcessSettings &Process = Options.m_Settings.m_Process;
  return {.m_Self = Process.m_Instance,
          .m_Peers = Process.m_Peers,
          .m_HeartbeatInterval = Process.m_HeartbeatInterval,
          .m_Timeout = Process.m_PeerTimeout,
          .m_Incarnation = Options.m_Incarnation};
}

control::LearnerOptions learnerOptions(const EntryCoreOptions &Options) {
  const settings::ProcessSettings &Process = Options.m_Settings.m_Process;
  control::LearnerOptions Learner;
  Learner.m_Self = Process.m_Instance;
  Learner.m_Ledgers = ledgers(Process, false);
  return Learner;
}

} // namespace

EntryCore::EntryCore(EntryCoreOptions Options)
    : m_Options(std::move(Options)),
      m_Self(m_Options.m_Settings.m_Process.m_Instance),
      m_DataCentre(m_Options.m_Settings.m_Process.m_DataCentre),
      m_Members(memberOptions(m_Options)), m_Learner(learnerOptions(m_Options)),
      m_Limits(limitOptions(m_Options), m_Options.m_Start),
      m_Queue(queueOptions(m_Options)), m_Programs(tableOptions(m_Options)),
      m_Edge(*this, m_Options.m_Incarnation),
      m_Owned({.m_Self = m_Self, .m_FirstCall = 1}, *this, m_Learner.state(),
              m_Programs, m_Queue),
      m_Submissions(ledgers(m_Options.m_Settings.m_Process, false)),
      m_Orders(m_Queue.endpoints(), m_Owned.exchangeNumbers()),
      m_Adoption(m_Self, *this, m_Programs) {}

std::optional<Owner> EntryCore::ownerOf(const base::ProgramId &Program,
                                        TimePoint Now) const {
  const DataCentreId Home = program::homeOf(Program);
  const DataCentreId Serving = control().servedBy(Home);
  const auto ActiveEntries = m_Members.activeEntries(Serving, Now);
  if (ActiveEntries.empty())
    return std::nullopt;
  const InstanceId Preferred =
      base::rankInstances(Program.str(), ActiveEntries).front();
  const bool IsSelf = Preferred == m_Self;
  return Owner{.m_Instance = Preferred,
               .m_Incarnation =
                   IsSelf ? m_Options.m_Incarnation
                          : m_Members.views().at(Preferred).m_Incarnation};
}

bool EntryCore::isServing(const Owner &Who, TimePoint Now) const {
  if (Who.m_Instance == m_Self)
    return Who.m_Incarnation == m_Options.m_Incarnation;
  return m_Members.isReachable(Who.m_Instance, Now) &&
         m_Members.views().at(Who.m_Instance).m_Incarnation ==
             Who.m_Incarnation;
}

void EntryCore::onCaller(const messages::CallerEvent &Event, Now Time) {
  if (const auto *Request = std::get_if<CallerRequest>(&Event)) {
    onRequest(*Request, Time);
  } else if (const auto *Disconnected = std::get_if<CallerGone>(&Event)) {
    std::erase_if(m_Admissions, [&](const auto &Entry) {
      if (Entry.second.m_Request != Disconnected->m_Request)
        return false;
      m_Limits.cancel(Entry.first);
      return true;
    });
    m_Edge.onCallerDisconnected(Disconnected->m_Request, m_Out);
  }
  settle(Time);
}

void EntryCore::onRequest(const CallerRequest &Request, Now Time) {
  try {
    serve(Request, parseRoute(Request), Time);
  } catch (const UserError &Fault) {
    m_Replies.emplace_back(
        messages::problemAnswer(Request.m_Request, Fault.kind(), Fault.what()));
  }
}

void EntryCore::serve(const CallerRequest &Request, const Route &Parsed,
                      Now Time) {
  const Duration Lease = m_Options.m_Settings.m_EndpointLease;
  switch (Parsed.m_Kind) {
  case RouteKind::Live:
    return answer(Request.m_Request, 200, "alive\n");
  case RouteKind::Ready:
    return answer(Request.m_Request, isReady() ? 200 : 503,
                  isReady() ? "ready\n" : "not ready\n");
  case RouteKind::Metrics:
    return answer(Request.m_Request, 200, metrics());
  case RouteKind::Announce:
    announce(parseAnnouncement(Request.m_Body, Lease), Time.m_Monotonic);
    return answer(Request.m_Request, 200, "{}\n");
  case RouteKind::Leave:
    announce(parseLeave(Request.m_Body), Time.m_Monotonic);
    return answer(Request.m_Request, 200, "{}\n");
  case RouteKind::CreateProgram:
  case RouteKind::EndProgram:
  case RouteKind::RunCall:
    break;
  }
  if (m_Draining)
    throw UserError(ErrorKind::Stopping, "ask another instance");
  if (!m_Learner.hasState())
    throw UserError(ErrorKind::QuorumUnavailable,
                    "the configuration has not arrived yet");
  EdgeCall Call = makeCall(Request, Parsed, Time);
  if (Call.m_Kind != ForwardCall::RUN || Call.m_Key.empty())
    return m_Edge.start(std::move(Call), Time.m_Monotonic, m_Out);
  admit(std::move(Call), Time);
}

EdgeCall EntryCore::makeCall(const CallerRequest &Request, const Route &Parsed,
                             Now Time) const {
  EdgeCall Call;
  Call.m_Request = Request.m_Request;
  Call.m_Call = Parsed.m_Call;
  Call.m_Chat = Parsed.m_Chat;
  const Duration Limit =
      Parsed.m_Deadline.value_or(m_Options.m_Settings.m_DefaultDeadline);
  Call.m_Deadline = Time.m_Monotonic + Limit;
  if (Parsed.m_Kind == RouteKind::CreateProgram)
    Call.m_Kind = ForwardCall::CREATE;
  if (Parsed.m_Kind == RouteKind::EndProgram)
    Call.m_Kind = ForwardCall::END;
  const messages::Service *Service =
      control().findService(Parsed.m_Call.service());
  const bool Open = Service != nullptr && Service->open();
  if (Request.m_KeyDigest) {
    const messages::Key *Key = control().findKey(*Request.m_KeyDigest);
    if (Key == nullptr)
      throw UserError(ErrorKind::Unauthenticated, "the key is not registered");
    const base::KeyId Id(Key->key_id());
    if (control().isWithdrawn(Id) || m_Withdrawn.contains(Id))
      throw UserError(ErrorKind::KeyWithdrawn, "before the call was sent");
    Call.m_Organisation = base::OrganisationId(Key->organisation());
    Call.m_Key = Id;
  } else if (Open) {
    Call.m_Organisation = base::OrganisationId(OpenOrganisation);
  } else {
    throw UserError(ErrorKind::Unauthenticated,
                    "expected Authorization: Bearer KEY");
  }
  if (Call.m_Kind == ForwardCall::RUN)
    checkService(Parsed, Call);
  if (Call.m_Call.program().empty()) {
    Call.m_OneOff = Call.m_Kind == ForwardCall::RUN;
    Call.m_Call.set_program(
        program::makeProgramId(m_DataCentre,
                               base::randomBytes(RandomProgramBytes))
            .str());
  }
  return Call;
}

void EntryCore::checkService(const Route &Parsed, EdgeCall &Call) const {
  const std::string &Name = Parsed.m_Call.service();
  const messages::Service *Service = control().findService(Name);
  if (Service == nullptr)
    throw UserError(ErrorKind::NotFound, "no service " + Name);
  const bool IsModel = Service->kind() == messages::Service::MODEL;
  if (IsModel != Parsed.m_Chat)
    throw UserError(ErrorKind::BadRequest,
                    Name + ": models are called by /v1/chat/completions, "
                           "other services by /v1/services/NAME");
  Call.m_Repeatable = Service->repeatable();
  if (!Call.m_Repeatable && Parsed.m_Call.program().empty())
    throw UserError(ErrorKind::BadRequest,
                    Name + ": expected Program-Id and Program-Turn, because "
                           "calls of this service may not be repeated");
}

void EntryCore::admit(EdgeCall Call, Now Time) {
  const std::uint64_t Ticket = m_NextTicket++;
  const base::OrganisationId Organisation = Call.m_Organisation;
  const TimePoint Deadline = Call.m_Deadline;
  m_Admissions.emplace(Ticket, std::move(Call));
  m_Limits.admit(Ticket, Organisation, Deadline, Time.m_Monotonic, m_Out);
}

void EntryCore::takeAdmissions(Now Time) {
  for (const limits::LimitDecision &Decision : m_Limits.takeDecisions()) {
    const auto It = m_Admissions.find(Decision.m_Ticket);
    if (It == m_Admissions.end())
      continue;
    EdgeCall Call = std::move(It->second);
    m_Admissions.erase(It);
    if (Decision.m_Admitted) {
      m_Edge.start(std::move(Call), Time.m_Monotonic, m_Out);
      continue;
    }
    m_Replies.emplace_back(messages::problemAnswer(
        Call.m_Request, ErrorKind::RateLimited,
        "organisation " + Call.m_Organisation.str(), Decision.m_RetryAfter));
  }
}

void EntryCore::announce(const messages::EndpointState &State, TimePoint Now) {
  m_Queue.announce(State, Now);
  for (const InstanceId &Peer : m_Members.reachable(Now)) {
    const auto &View = m_Members.views().at(Peer);
    if (View.m_Peer.m_Role == PeerRole::Entry)
      *m_Out.add(Peer).mutable_endpoint() = State;
  }
}

void EntryCore::answer(messages::RequestNumber Request, int Status,
                       std::string Body) {
  const bool IsJson = !Body.empty() && Body.front() == '{';
  m_Replies.emplace_back(messages::CallerAnswer{
      .m_Request = Request,
      .m_Status = Status,
      .m_ContentType = IsJson ? "application/json" : "text/plain",
      .m_Headers = {},
      .m_Body = std::move(Body)});
}

void EntryCore::onEndpoint(const messages::EndpointEvent &Event, Now Time) {
  if (!m_Orders.onEvent(Event))
    m_Owned.onEndpoint(Event, Time, m_Out);
  settle(Time);
}

void EntryCore::onPeer(const Envelope &Message, Now Time) {
  try {
    dispatchBody(InstanceId(Message.sender()), Message, Time);
  } catch (const UserError &) {
    ++m_MalformedMessages; // The component that threw has changed no state.
  }
  settle(Time);
}

void EntryCore::dispatchBody(const InstanceId &From, const Envelope &Message,
                             Now Time) {
  const TimePoint Moment = Time.m_Monotonic;
  switch (Message.body_case()) {
  case Envelope::kHeartbeat:
    return m_Members.onHeartbeat(From, Message.heartbeat(), Moment);
  case Envelope::kEndpoint:
    return m_Queue.announce(Message.endpoint(), Moment);
  case Envelope::kForwardCall:
    return m_Owned.onForwardCall(From, Message.forward_call(), Time, m_Out);
  case Envelope::kForwardCancel:
    return m_Owned.onForwardCancel(From, Message.forward_cancel().call(), Time,
                                   m_Out);
  case Envelope::kForwardChunk:
    return m_Edge.onChunk(From, Message.forward_chunk(), Moment, m_Out);
  case Envelope::kForwardEnd:
    return m_Edge.onEnd(From, Message.forward_end(), Moment, m_Out);
  case Envelope::kWithdrawnKeys:
    if (m_Withdrawn.merge(Message.withdrawn_keys()))
      applyUpdates(Time);
    return;
  case Envelope::kLog:
    return m_Learner.onMessage(From, Message.log(), Time, m_Out);
  case Envelope::kProgram:
    return m_Programs.onMessage(From, Message.program(), Time, m_Out);
  case Envelope::kLimit:
    return m_Limits.onMessage(From, Message.limit(), Moment, m_Out);
  case Envelope::kSubmitResult:
    return m_Submissions.onResult(Message.submit_result(), Moment);
  case Envelope::kSubmitCommand:
  case Envelope::BODY_NOT_SET:
    return;
  }
}

void EntryCore::onTick(Now Time) {
  const TimePoint Moment = Time.m_Monotonic;
  m_Members.onTick(Moment, control().appliedIndex(), m_Out);
  m_Learner.onTick(Time, m_Out);
  const auto Reachable = m_Members.reachable(Moment);
  m_Limits.setLivePeers(Reachable, Moment);
  m_Limits.onTick(Moment, m_Out);
  const auto LocalEntries = m_Members.activeEntries(m_DataCentre, Moment);
  const auto Share = std::max<std::size_t>(LocalEntries.size(), 1);
  m_Queue.setShareCount(static_cast<std::uint32_t>(Share), Moment);
  updateLedgerMajority(Reachable);
  m_Programs.onTick(Time, m_Out);
  if (m_Learner.hasState() && !m_Draining)
    m_Adoption.onTick(ownershipView(Moment), Time, m_Out);
  m_Edge.onTick(Moment, m_Out);
  m_Owned.onTick(Time, m_Out);
  m_Submissions.onTick(Moment, m_Out);
  takeOrderNumbers(Time);
  m_Orders.onTick(Moment);
  m_Withdrawn.onTick(Moment, control(), Reachable, m_Out);
  settle(Time);
}

OwnershipView EntryCore::ownershipView(TimePoint Now) const {
  OwnershipView View;
  for (const InstanceId &Entry : m_Members.peersOf(PeerRole::Entry)) {
    if (m_Members.isReachable(Entry, Now))
      View.m_ReachableEntries.push_back(Entry);
  }
  for (const DataCentreId &Home : m_Members.dataCentres()) {
    if (control().servedBy(Home) == m_DataCentre)
      View.m_Homes.push_back(Home);
  }
  const settings::ProcessSettings &Process = m_Options.m_Settings.m_Process;
  for (const bool LocalOnly : {true, false}) {
    for (const InstanceId &Ledger : ledgers(Process, LocalOnly)) {
      if (m_Members.isReachable(Ledger, Now))
        View.m_Ledgers.push_back(Ledger);
    }
  }
  return View;
}

/// Updates the program table on whether a majority of the ledgers is reachable.
void EntryCore::updateLedgerMajority(const std::vector<InstanceId> &Reachable) {
  const auto All = ledgers(m_Options.m_Settings.m_Process, false);
  const auto Count =
      std::count_if(All.begin(), All.end(), [&](const InstanceId &Ledger) {
        return std::find(Reachable.begin(), Reachable.end(), Ledger) !=
               Reachable.end();
      });
  const bool HasMajority = 2 * static_cast<std::size_t>(Count) > All.size();
  m_Programs.setCutOff(!HasMajority,
                       control().configuration().accept_local_turns());
}

/// Routes the results of the control log: fencing numbers to the orders for
/// endpoints, all other results to the operators that wait for them.
void EntryCore::takeOrderNumbers(Now Time) {
  for (DecidedSubmission &Decided : m_Submissions.takeDecided()) {
    if (Decided.m_Ticket < FirstOrderTicket) {
      m_Decided.push_back(std::move(Decided));
      continue;
    }
    const std::uint64_t Number =
        Decided.m_Result.accepted() ? Decided.m_Result.number() : 0;
    m_Orders.onNumber(Decided.m_Ticket - FirstOrderTicket, Number,
                      Time.m_Monotonic);
  }
}

void EntryCore::orderEndpoint(std::uint64_t Ticket, const EndpointOrder &Order,
                              const std::string &Operator, Now Time) {
  m_Orders.start(Ticket, Order, Time.m_Monotonic);
  messages::ControlCommand Command;
  Command.set_request_id(base::toHex(base::randomBytes(RandomProgramBytes)));
  Command.set_operator_name(Operator);
  Command.mutable_next_fencing_number()->set_endpoint(Order.m_Endpoint.str());
  m_Submissions.start(Ticket + FirstOrderTicket, Command, Time.m_Monotonic,
                      m_Out);
  settle(Time);
}

void EntryCore::resolve(const base::ProgramId &Program, std::uint64_t Turn,
                        const std::string &Finding, const std::string &Operator,
                        Now Time) {
  m_Programs.resolve(m_Owned.nextNumber(), Program, Turn, Finding, Operator,
                     Time, m_Out);
  settle(Time);
}

/// Applies the rates and key withdrawals that the control log or a peer has
/// reported since the last call.
void EntryCore::applyUpdates(Now Time) {
  m_HandledIndex = control().appliedIndex();
  std::vector<limits::OrganisationRate> Rates;
  for (const auto &Organisation : control().configuration().organisations()) {
    Rates.push_back(
        {.m_Organisation = base::OrganisationId(Organisation.name()),
         .m_RatePerSecond = Organisation.rate_per_second(),
         .m_Burst = Organisation.burst()});
  }
  m_Limits.setRates(control().configuration().number(), Rates,
                    Time.m_Monotonic);
  m_Edge.endWithdrawn(
      [this](const base::KeyId &Key) {
        return control().isWithdrawn(Key) || m_Withdrawn.contains(Key);
      },
      m_Out);
}

void EntryCore::withdrawKey(const base::KeyId &Key, Now Time) {
  if (m_Withdrawn.add(Key)) {
    applyUpdates(Time);
    m_Withdrawn.broadcast(m_Members.reachable(Time.m_Monotonic), m_Out);
  }
  settle(Time);
}

void EntryCore::submit(std::uint64_t Ticket,
                       const messages::ControlCommand &Command, Now Time) {
  m_Submissions.start(Ticket, Command, Time.m_Monotonic, m_Out);
  settle(Time);
}

void EntryCore::drain(Now Time) {
  m_Draining = true;
  m_Members.stop(Time.m_Monotonic, m_Out);
  m_Owned.drain();
  m_Limits.release(Time.m_Monotonic, m_Out);
  settle(Time);
}

bool EntryCore::isDrained() const {
  return m_Draining && m_Edge.count() == 0 && m_Owned.count() == 0 &&
         m_Admissions.empty() && m_Limits.isReleased();
}

bool EntryCore::isReady() const { return !m_Draining && m_Learner.hasState(); }

void EntryCore::settle(Now Time) {
  bool Idle = false;
  while (!Idle) {
    if (control().appliedIndex() != m_HandledIndex)
      applyUpdates(Time);
    takeAdmissions(Time);
    m_Owned.advance(Time, m_Out);
    Idle = true;
    for (messages::Outgoing &Next : m_Out.take()) {
      if (Next.m_To == m_Self) {
        dispatchBody(m_Self, Next.m_Message, Time);
        Idle = false;
      } else {
        m_Outgoing.push_back(std::move(Next));
      }
    }
  }
}

EntryOutput EntryCore::takeOutput() {
  auto Replies = std::exchange(m_Replies, {});
  for (auto &Reply : m_Edge.takeReplies())
    Replies.push_back(std::move(Reply));
  auto Commands = m_Owned.takeCommands();
  for (auto &Command : m_Orders.takeCommands())
    Commands.push_back(std::move(Command));
  return {.m_Messages = std::exchange(m_Outgoing, {}),
          .m_Replies = std::move(Replies),
          .m_Commands = std::move(Commands),
          .m_Decided = std::exchange(m_Decided, {}),
          .m_Orders = m_Orders.takeOutcomes()};
}

} // namespace psp::entry
