#include "programs/ledger/LedgerProcess.h"

#include "base/Hash.h"
#include "base/Waker.h"
#include "ledger/LedgerCore.h"
#include "net/PeerPort.h"
#include "net/TaskRing.h"
#include "operators/OperatorHandler.h"
#include "operators/OperatorServer.h"
#include "records/UnresolvedOrders.h"
#include "records/VerifyFolder.h"
#include "storage/FileJournal.h"
#include "storage/FolderIdentity.h"

#include <glog/logging.h>

#include <atomic>
#include <filesystem>
#include <map>
#include <pthread.h>
#include <thread>
#include <utility>

namespace psp::ledger {

using base::Now;
using base::readClocks;
using settings::LedgerSettings;

namespace {

constexpr base::Duration TickInterval = base::milliseconds(10);
constexpr base::Duration OperatorWait = base::seconds(5);
constexpr std::size_t SyncRingCapacity = 4096;
constexpr std::size_t CheckpointRingCapacity = 4;

/// How far each journal is synced.
struct SyncReport {
  std::uint64_t m_Control = 0;
  std::uint64_t m_Program = 0;
};

std::uint64_t seedFrom(std::string_view Bytes) {
  return base::stableHash(Bytes);
}

} // namespace

struct LedgerProcess::Impl : operators::OperatorHandler {
  explicit Impl(LedgerSettings Settings);

  void run();
  void decide(Now Time);
  void emit();
  void syncDisk();
  void applyReport(const SyncReport &Report, Now Time);

  std::string status() override;
  std::string dump() override;
  messages::Configuration configuration() override;
  std::vector<messages::Key> keys() override;
  messages::ControlResult
  submit(const operators::OperatorCall &Call,
         const messages::ControlCommand &Command) override;

  std::vector<records::ProgramHistory>
  histories(const records::RecordFilter &Filter) override;
  std::vector<operators::UnknownOrder> unknownOrders() override;

  template <typename Result, typename Query> Result ask(Query Question) {
    return m_Tasks.call<Result>(
        [this, Question](std::shared_ptr<std::promise<Result>> Promise) {
          Promise->set_value(Question(*m_Core));
        },
        OperatorWait);
  }

  LedgerSettings m_Settings;
  std::filesystem::path m_Folder;
  base::Waker m_Decisions;
  base::Waker m_Disk;
  std::atomic<bool> m_Stopping{false};
  storage::OpenedIdentity m_Identity;
  std::vector<std::string> m_ControlRecords;
  std::vector<std::string> m_ProgramRecords;
  std::unique_ptr<storage::FileJournal> m_ControlJournal;
  std::unique_ptr<storage::FileJournal> m_ProgramJournal;
  std::unique_ptr<LedgerCore> m_Core;
  net::PeerPort m_Peers;
  net::TaskRing m_Tasks;
  base::BoundedRing<SyncReport> m_Synced;
  base::BoundedRing<control::Checkpoint> m_Checkpoints;
  std::map<std::uint64_t,
           std::shared_ptr<std::promise<messages::ControlResult>>>
      m_Submissions;
  std::uint64_t m_NextTicket = 1;
  operators::OperatorServer m_Operators;
};

LedgerProcess::Impl::Impl(LedgerSettings Settings)
    : m_Settings(std::move(Settings)), m_Folder(m_Settings.m_DataFolder),
      m_Identity(storage::openFolderIdentity(
          m_Folder, m_Settings.m_Process.m_Instance, readClocks().m_Wall)),
      m_Peers({.m_Self = m_Settings.m_Process.m_Instance,
               .m_Listen = m_Settings.m_Process.m_PeerAddress,
               .m_FleetSecret = m_Settings.m_Process.m_FleetSecret,
               .m_Peers = m_Settings.m_Process.m_Peers},
              m_Decisions),
      m_Tasks(m_Decisions),
      m_Synced(SyncRingCapacity, [this] { m_Decisions.wake(); }),
      m_Checkpoints(CheckpointRingCapacity, [this] { m_Disk.wake(); }),
      m_Operators({.m_Address = m_Settings.m_Process.m_OperatorAddress,
                   .m_Token = m_Settings.m_Process.m_OperatorToken},
                  *this) {
  // The records are read before the core exists, because the core needs the
  // journals that the reading opens.
  m_ControlJournal = std::make_unique<storage::FileJournal>(
      storage::FileJournalOptions{.m_Folder = m_Folder / "control"},
      [this](std::uint64_t, std::string_view Record) {
        m_ControlRecords.emplace_back(Record);
      });
  m_ProgramJournal = std::make_unique<storage::FileJournal>(
      storage::FileJournalOptions{.m_Folder = m_Folder / "programs"},
      [this](std::uint64_t, std::string_view Record) {
        m_ProgramRecords.emplace_back(Record);
      });
  const Now Start = readClocks();
  m_Core = std::make_unique<LedgerCore>(
      LedgerCoreOptions{.m_Settings = m_Settings,
                        .m_Incarnation = Start.m_Wall,
                        .m_Seed =
                            seedFrom(m_Settings.m_Process.m_Instance.str() +
                                     std::to_string(Start.m_Wall)),
                        .m_Start = Start.m_Monotonic},
      *m_ControlJournal, *m_ProgramJournal);
  for (const std::string &Record : m_ControlRecords)
    m_Core->restoreControl(Record);
  for (const std::string &Record : m_ProgramRecords)
    m_Core->restoreProgram(Record);
  m_ControlRecords = {};
  m_ProgramRecords = {};
}

void LedgerProcess::Impl::run() {
  m_Peers.start();
  m_Operators.start();
  std::thread Disk([this] {
    pthread_setname_np(pthread_self(), "disk");
    syncDisk();
  });
  const Now Start = readClocks();
  m_Core->start(Start);
  m_Core->onControlSynced(m_ControlJournal->syncedSequence(), Start);
  m_Core->onProgramSynced(m_ProgramJournal->syncedSequence());
  emit();
  LOG(INFO) << "ledger: serving instance=" << m_Settings.m_Process.m_Instance;
  while (!m_Stopping) {
    m_Decisions.waitFor(TickInterval);
    decide(readClocks());
    emit();
  }
  m_Disk.wake();
  Disk.join();
  m_Operators.stop();
  m_Peers.stop();
  LOG(INFO) << "ledger: stopped instance=" << m_Settings.m_Process.m_Instance;
}

void LedgerProcess::Impl::decide(Now Time) {
  m_Synced.drain([&](SyncReport Report) { applyReport(Report, Time); });
  m_Peers.drain([&](const messages::Envelope &Message) {
    m_Core->onPeer(Message, Time);
  });
  m_Tasks.run();
  m_Core->onTick(Time);
  // One that finds no room is dropped; the next one covers it.
  if (auto Checkpoint = m_Core->takeCheckpoint())
    m_Checkpoints.push(std::move(*Checkpoint));
  for (const DecidedCommand &Decided : m_Core->takeDecided()) {
    const auto Found = m_Submissions.find(Decided.m_Ticket);
    if (Found == m_Submissions.end())
      continue;
    Found->second->set_value(Decided.m_Result);
    m_Submissions.erase(Found);
  }
}

void LedgerProcess::Impl::applyReport(const SyncReport &Report, Now Time) {
  m_Core->onControlSynced(Report.m_Control, Time);
  m_Core->onProgramSynced(Report.m_Program);
}

void LedgerProcess::Impl::emit() {
  for (messages::Outgoing &Next : m_Core->takeMessages())
    m_Peers.send(std::move(Next));
  m_Peers.flush();
  m_Disk.wake();
}

/// The disk thread: whatever was appended while one sync ran is covered by
/// the next, so that many records share one sync.
void LedgerProcess::Impl::syncDisk() {
  SyncReport Last = {.m_Control = m_ControlJournal->syncedSequence(),
                     .m_Program = m_ProgramJournal->syncedSequence()};
  while (!m_Stopping) {
    m_Disk.waitFor(base::milliseconds(100));
    m_Checkpoints.drain([this](const control::Checkpoint &Checkpoint) {
      m_ControlJournal->writeSnapshot(Checkpoint.m_Data, Checkpoint.m_Covered);
    });
    const SyncReport Next = {.m_Control = m_ControlJournal->sync(),
                             .m_Program = m_ProgramJournal->sync()};
    const bool Moved =
        Next.m_Control != Last.m_Control || Next.m_Program != Last.m_Program;
    if (Moved && m_Synced.push(SyncReport(Next)))
      Last = Next;
  }
}

std::string LedgerProcess::Impl::status() {
  return ask<std::string>(
      [](LedgerCore &Core) { return Core.status(readClocks()); });
}

std::string LedgerProcess::Impl::dump() {
  return ask<std::string>(
      [](LedgerCore &Core) { return Core.dump(readClocks()); });
}

messages::Configuration LedgerProcess::Impl::configuration() {
  return ask<messages::Configuration>(
      [](LedgerCore &Core) { return Core.voter().state().configuration(); });
}

std::vector<messages::Key> LedgerProcess::Impl::keys() {
  return ask<std::vector<messages::Key>>([](LedgerCore &Core) {
    const auto Snapshot = Core.voter().state().snapshot();
    return std::vector<messages::Key>(Snapshot.keys().begin(),
                                      Snapshot.keys().end());
  });
}

/// Read from the journal, which also holds the programs that have ended, on
/// the operators' thread, so that no decision waits for it.
std::vector<records::ProgramHistory>
LedgerProcess::Impl::histories(const records::RecordFilter &Filter) {
  return records::readHistories((m_Folder / "programs").string(), Filter);
}

std::vector<operators::UnknownOrder> LedgerProcess::Impl::unknownOrders() {
  const messages::Configuration Current = configuration();
  std::vector<operators::UnknownOrder> Orders;
  for (const records::ProgramHistory &History : histories({})) {
    for (const records::Record &Each :
         records::findUnresolvedOrders(History, Current))
      Orders.push_back({.m_Organisation = Each.m_Organisation,
                        .m_Program = Each.m_Program,
                        .m_Turn = Each.m_Turn,
                        .m_Service = Each.m_Service,
                        .m_Endpoint = Each.m_Endpoint,
                        .m_IdempotencyKey = Each.m_IdempotencyKey,
                        .m_Sent = Each.m_Time});
  }
  return Orders;
}

messages::ControlResult
LedgerProcess::Impl::submit(const operators::OperatorCall &,
                            const messages::ControlCommand &Command) {
  return m_Tasks.call<messages::ControlResult>(
      [this, Command](
          std::shared_ptr<std::promise<messages::ControlResult>> Promise) {
        const std::uint64_t Ticket = m_NextTicket++;
        m_Submissions[Ticket] = std::move(Promise);
        m_Core->submit(Ticket, Command, readClocks());
      },
      OperatorWait);
}

LedgerProcess::LedgerProcess(LedgerSettings Settings)
    : m_Impl(std::make_unique<Impl>(std::move(Settings))) {}

LedgerProcess::~LedgerProcess() = default;

void LedgerProcess::run() { m_Impl->run(); }

void LedgerProcess::stop() {
  m_Impl->m_Stopping = true;
  m_Impl->m_Decisions.wake();
}

} // namespace psp::ledger
