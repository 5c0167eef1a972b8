#include "programs/entry/EntryProcess.h"

#include "base/Hash.h"
#include "base/Waker.h"
#include "entry/EntryCore.h"
#include "net/CallerPort.h"
#include "net/EndpointPort.h"
#include "net/PeerPort.h"
#include "net/TaskRing.h"
#include "operators/OperatorHandler.h"
#include "operators/OperatorServer.h"

#include <glog/logging.h>

#include <atomic>
#include <fstream>
#include <map>
#include <thread>
#include <utility>

namespace psp::entry {

using base::Now;
using base::readClocks;
using settings::EntrySettings;

namespace {

constexpr base::Duration TickInterval = base::milliseconds(10);
constexpr base::Duration OperatorWait = base::seconds(5);

/// An order may have to wait until earlier ones can't arrive any more.
constexpr base::Duration OrderWait = base::seconds(12);

/// After the last call, for the last bytes to reach callers and peers.
constexpr base::Duration LingerAfterDrain = base::milliseconds(300);

std::string orderName(operators::EndpointAction Action) {
  switch (Action) {
  case operators::EndpointAction::LoadModel:
    return "load_model";
  case operators::EndpointAction::LoadAdapter:
    return "load_adapter";
  case operators::EndpointAction::ChangeRole:
    return "set_role";
  }
  return {};
}

EntryCoreOptions coreOptions(const EntrySettings &Settings) {
  const Now Start = readClocks();
  const std::string Seed =
      Settings.m_Process.m_Instance.str() + std::to_string(Start.m_Wall);
  return {.m_Settings = Settings,
          .m_Incarnation = Start.m_Wall,
          .m_Seed = base::stableHash(Seed),
          .m_Start = Start.m_Monotonic};
}

} // namespace

struct EntryProcess::Impl : operators::OperatorHandler {
  explicit Impl(EntrySettings Settings);

  void run();
  void decide(Now Time);
  void emit();
  bool isOver(Now Time);

  std::string status() override;
  std::string dump() override;
  messages::Configuration configuration() override;
  std::vector<messages::Key> keys() override;
  std::vector<messages::EndpointState> endpoints() override;
  messages::ControlResult
  submit(const operators::OperatorCall &Call,
         const messages::ControlCommand &Command) override;
  void withdrawKey(const operators::OperatorCall &Call,
                   const base::KeyId &Key) override;

  std::vector<operators::UnknownOrder> unknownOrders() override;
  operators::EndpointOrderResult
  orderEndpoint(const operators::OperatorCall &Call,
                const operators::EndpointOrder &Order) override;
  void resolveOrder(const operators::OperatorCall &Call,
                    const operators::OrderResolution &Resolution) override;
  std::string metrics() override;

  template <typename Result, typename Query> Result ask(Query Question) {
    return m_Tasks.call<Result>(
        [this, Question](std::shared_ptr<std::promise<Result>> Promise) {
          Promise->set_value(Question(m_Core));
        },
        OperatorWait);
  }

  EntrySettings m_Settings;
  base::Waker m_Decisions;
  std::atomic<bool> m_StopAsked{false};
  bool m_Draining = false;
  base::TimePoint m_DrainStarted;
  std::optional<base::TimePoint> m_Drained;
  EntryCore m_Core;
  net::CallerPort m_Callers;
  net::PeerPort m_Peers;
  net::EndpointPort m_Endpoints;
  net::TaskRing m_Tasks;
  std::map<std::uint64_t,
           std::shared_ptr<std::promise<messages::ControlResult>>>
      m_Submissions;
  std::map<std::uint64_t,
           std::shared_ptr<std::promise<operators::EndpointOrderResult>>>
      m_Orders;
  std::uint64_t m_NextTicket = 1;
  operators::OperatorServer m_Operators;
};

EntryProcess::Impl::Impl(EntrySettings Settings)
    : m_Settings(std::move(Settings)), m_Core(coreOptions(m_Settings)),
      m_Callers({.m_Listen = m_Settings.m_CallerAddress,
                 .m_MaxBodyBytes = m_Settings.m_MaxBodyBytes,
                 .m_MaxHeaderBytes = m_Settings.m_MaxHeaderBytes,
                 .m_IdleTimeout = m_Settings.m_CallerIdleTimeout},
                m_Decisions),
      m_Peers({.m_Self = m_Settings.m_Process.m_Instance,
               .m_Listen = m_Settings.m_Process.m_PeerAddress,
               .m_FleetSecret = m_Settings.m_Process.m_FleetSecret,
               .m_Peers = m_Settings.m_Process.m_Peers},
              m_Decisions),
      m_Endpoints(m_Decisions), m_Tasks(m_Decisions),
      m_Operators({.m_Address = m_Settings.m_Process.m_OperatorAddress,
                   .m_Token = m_Settings.m_Process.m_OperatorToken},
                  *this) {}

void EntryProcess::Impl::run() {
  m_Peers.start();
  m_Endpoints.start();
  m_Callers.start();
  m_Operators.start();
  LOG(INFO) << "entry: serving instance=" << m_Settings.m_Process.m_Instance;
  Now Time = readClocks();
  while (!isOver(Time)) {
    m_Decisions.waitFor(TickInterval);
    Time = readClocks();
    decide(Time);
    emit();
  }
  m_Operators.stop();
  m_Callers.stop();
  m_Endpoints.stop();
  m_Peers.stop();
  LOG(INFO) << "entry: stopped instance=" << m_Settings.m_Process.m_Instance;
}

void EntryProcess::Impl::decide(Now Time) {
  m_Peers.drain(
      [&](const messages::Envelope &Message) { m_Core.onPeer(Message, Time); });
  m_Endpoints.drain([&](const messages::EndpointEvent &Event) {
    m_Core.onEndpoint(Event, Time);
  });
  m_Callers.drain([&](const messages::CallerEvent &Event) {
    m_Core.onCaller(Event, Time);
  });
  m_Tasks.run();
  if (m_StopAsked && !m_Draining) {
    m_Draining = true;
    m_DrainStarted = Time.m_Monotonic;
    LOG(INFO) << "entry: draining";
    m_Core.drain(Time);
  }
  m_Core.onTick(Time);
}

void EntryProcess::Impl::emit() {
  EntryOutput Output = m_Core.takeOutput();
  for (messages::Outgoing &Next : Output.m_Messages)
    m_Peers.send(std::move(Next));
  for (messages::CallerReply &Next : Output.m_Replies)
    m_Callers.send(std::move(Next));
  for (messages::EndpointCommand &Next : Output.m_Commands)
    m_Endpoints.send(std::move(Next));
  for (const DecidedSubmission &Decided : Output.m_Decided) {
    const auto Found = m_Submissions.find(Decided.m_Ticket);
    if (Found == m_Submissions.end())
      continue;
    Found->second->set_value(Decided.m_Result);
    m_Submissions.erase(Found);
  }
  for (const EndpointOrderOutcome &Outcome : Output.m_Orders) {
    const auto Found = m_Orders.find(Outcome.m_Ticket);
    if (Found == m_Orders.end())
      continue;
    Found->second->set_value({.m_Done = Outcome.m_Done,
                              .m_FencingNumber = Outcome.m_FencingNumber,
                              .m_Detail = Outcome.m_Detail});
    m_Orders.erase(Found);
  }
  m_Peers.flush();
  m_Callers.flush();
  m_Endpoints.flush();
}

bool EntryProcess::Impl::isOver(Now Time) {
  if (!m_Draining)
    return false;
  const base::TimePoint Moment = Time.m_Monotonic;
  if (Moment - m_DrainStarted >= m_Settings.m_DrainTimeout) {
    LOG(WARNING) << "entry: the drain timeout passed";
    return true;
  }
  if (!m_Core.isDrained() || !m_Callers.isIdle()) {
    m_Drained.reset();
    return false;
  }
  if (!m_Drained) {
    m_Drained = Moment;
    m_Callers.drainConnections();
  }
  return Moment - *m_Drained >= LingerAfterDrain;
}

std::string EntryProcess::Impl::status() {
  return ask<std::string>(
      [](EntryCore &Core) { return Core.status(readClocks()); });
}

std::string EntryProcess::Impl::dump() {
  return ask<std::string>(
      [](EntryCore &Core) { return Core.dump(readClocks()); });
}

messages::Configuration EntryProcess::Impl::configuration() {
  return ask<messages::Configuration>(
      [](EntryCore &Core) { return Core.control().configuration(); });
}

std::vector<messages::Key> EntryProcess::Impl::keys() {
  return ask<std::vector<messages::Key>>([](EntryCore &Core) {
    const auto Snapshot = Core.control().snapshot();
    return std::vector<messages::Key>(Snapshot.keys().begin(),
                                      Snapshot.keys().end());
  });
}

std::vector<messages::EndpointState> EntryProcess::Impl::endpoints() {
  return ask<std::vector<messages::EndpointState>>(
      [](EntryCore &Core) { return Core.endpointStates(readClocks()); });
}

messages::ControlResult
EntryProcess::Impl::submit(const operators::OperatorCall &,
                           const messages::ControlCommand &Command) {
  return m_Tasks.call<messages::ControlResult>(
      [this, Command](
          std::shared_ptr<std::promise<messages::ControlResult>> Promise) {
        const std::uint64_t Ticket = m_NextTicket++;
        m_Submissions[Ticket] = std::move(Promise);
        m_Core.submit(Ticket, Command, readClocks());
      },
      OperatorWait);
}

std::string EntryProcess::Impl::metrics() {
  const net::PeerMeshCounters Links = m_Peers.counters();
  return ask<std::string>([](EntryCore &Core) { return Core.metrics(); }) +
         entry::counter("psp_peer_frames_sent_total", Links.m_FramesSent) +
         entry::counter("psp_peer_bytes_sent_total", Links.m_BytesSent) +
         entry::counter("psp_peer_frames_received_total",
                        Links.m_FramesReceived) +
         entry::counter("psp_peer_frames_dropped_total",
                        Links.m_FramesDropped + m_Peers.dropped()) +
         entry::counter("psp_peer_frames_refused_total", Links.m_FramesRefused);
}

std::vector<operators::UnknownOrder> EntryProcess::Impl::unknownOrders() {
  const auto Outcomes = ask<std::vector<program::UnknownOutcome>>(
      [](EntryCore &Core) { return Core.unknownOutcomes(); });
  std::vector<operators::UnknownOrder> Orders;
  Orders.reserve(Outcomes.size());
  for (const program::UnknownOutcome &Outcome : Outcomes) {
    Orders.push_back({.m_Organisation = Outcome.m_Organisation,
                      .m_Program = Outcome.m_Program,
                      .m_Turn = Outcome.m_Turn,
                      .m_Service = Outcome.m_Service,
                      .m_Endpoint = Outcome.m_Endpoint,
                      .m_IdempotencyKey = Outcome.m_IdempotencyKey});
  }
  return Orders;
}

operators::EndpointOrderResult
EntryProcess::Impl::orderEndpoint(const operators::OperatorCall &Call,
                                  const operators::EndpointOrder &Order) {
  using Result = operators::EndpointOrderResult;
  const EndpointOrder Asked = {.m_Endpoint = Order.m_Endpoint,
                               .m_Order = orderName(Order.m_Action),
                               .m_Name = Order.m_Name,
                               .m_Version = Order.m_Version};
  return m_Tasks.call<Result>(
      [this, Asked,
       Name = Call.m_Operator](std::shared_ptr<std::promise<Result>> Promise) {
        const std::uint64_t Ticket = m_NextTicket++;
        m_Orders[Ticket] = std::move(Promise);
        m_Core.orderEndpoint(Ticket, Asked, Name, readClocks());
      },
      OrderWait);
}

void EntryProcess::Impl::resolveOrder(
    const operators::OperatorCall &Call,
    const operators::OrderResolution &Resolution) {
  const bool IsDone = Resolution.m_Finding == operators::OrderFinding::Done;
  ask<bool>([Resolution, IsDone, Name = Call.m_Operator](EntryCore &Core) {
    Core.resolve(Resolution.m_Program, Resolution.m_Turn,
                 IsDone ? "done" : "not-done", Name, readClocks());
    return true;
  });
}

void EntryProcess::Impl::withdrawKey(const operators::OperatorCall &,
                                     const base::KeyId &Key) {
  ask<bool>([Key](EntryCore &Core) {
    Core.withdrawKey(Key, readClocks());
    return true;
  });
}

EntryProcess::EntryProcess(EntrySettings Settings)
    : m_Impl(std::make_unique<Impl>(std::move(Settings))) {}

EntryProcess::~EntryProcess() = default;

void EntryProcess::run() { m_Impl->run(); }

void EntryProcess::stop() {
  m_Impl->m_StopAsked = true;
  m_Impl->m_Decisions.wake();
}

void EntryProcess::writeDump() {
  const std::string Dump = m_Impl->dump();
  const std::string &Folder = m_Impl->m_Settings.m_Process.m_LogFolder;
  if (Folder.empty()) {
    LOG(INFO) << "entry: dump " << Dump;
    return;
  }
  const std::string Name = m_Impl->m_Settings.m_Process.m_Instance.str();
  std::ofstream(Folder + "/" + Name + ".dump.json") << Dump << "\n";
}

} // namespace psp::entry
