/// \file
/// The decisions of a ledger process: its role in the control log, its synced
/// copies of program histories, and its votes on rate limiter leases. Like
/// EntryCore, it owns no socket, clock, file or thread.

#ifndef PSP_LEDGER_LEDGERCORE_H
#define PSP_LEDGER_LEDGERCORE_H

#include "base/RecordSink.h"
#include "control/LogVoter.h"
#include "limits/RateLimits.h"
#include "membership/Membership.h"
#include "messages/Outbox.h"
#include "program/ProgramReplica.h"
#include "settings/Settings.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace psp::ledger {

struct LedgerCoreOptions {
  settings::LedgerSettings m_Settings;
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Seed = 0;
  base::TimePoint m_Start;
};

/// The result of an operator's command.
struct DecidedCommand {
  std::uint64_t m_Ticket = 0;
  messages::ControlResult m_Result;
};

class LedgerCore {
public:
  /// Records are appended to the two journals, which the process that uses this
  /// class syncs.
  LedgerCore(LedgerCoreOptions Options, base::RecordSink &ControlJournal,
             base::RecordSink &ProgramJournal);

  /// Commands. All records are restored first, oldest record first, and then
  /// start() is called.
  void restoreControl(std::string_view Record);
  void restoreProgram(std::string_view Record);
  void start(base::Now Time);
  void onPeer(const messages::Envelope &Message, base::Now Time);
  void onControlSynced(std::uint64_t Sequence, base::Now Time);
  void onProgramSynced(std::uint64_t Sequence);
  void onTick(base::Now Time);
  void submit(std::uint64_t Ticket, const messages::ControlCommand &Command,
              base::Now Time);

  /// Messages whose records are synced, oldest first.
  std::vector<messages::Outgoing> takeMessages();
  /// A checkpoint that may replace the oldest records of the control journal.
  std::optional<control::Checkpoint> takeCheckpoint() {
    return m_Voter.takeCheckpoint();
  }
  /// Answers to submit().
  std::vector<DecidedCommand> takeDecided();

  /// Queries.
  const control::LogVoter &voter() const { return m_Voter; }
  const program::ProgramReplica &programs() const { return m_Programs; }
  const membership::Membership &members() const { return m_Members; }
  std::string status(base::Now Time) const;
  std::string dump(base::Now Time) const;

private:
  /// A submission from a peer, which is answered with a message.
  struct PeerSubmission {
    base::InstanceId m_From;
    std::uint64_t m_Submission = 0;
  };

  void dispatchBody(const base::InstanceId &From,
                    const messages::Envelope &Message, base::Now Time);
  void settle();
  void release(messages::Outbox &Box, std::deque<messages::Outgoing> &Withheld,
               std::uint64_t Synced);
  void answerSubmissions();

  LedgerCoreOptions m_Options;
  membership::Membership m_Members;
  control::LogVoter m_Voter;
  program::ProgramReplica m_Programs;
  limits::RateLimits m_Limits;
  messages::Outbox m_Out;        ///< Depends on no record.
  messages::Outbox m_ControlOut; ///< Depends on the control journal.
  messages::Outbox m_ProgramOut; ///< Depends on the program journal.
  std::deque<messages::Outgoing> m_ControlWithheld;
  std::deque<messages::Outgoing> m_ProgramWithheld;
  std::uint64_t m_ControlSynced = 0;
  std::uint64_t m_ProgramSynced = 0;
  std::map<std::uint64_t, PeerSubmission> m_Submissions; ///< By ticket.
  std::uint64_t m_NextTicket;
  std::uint64_t m_MalformedMessages = 0;
  std::vector<messages::Outgoing> m_Messages;
  std::vector<DecidedCommand> m_Decided;
};

} // namespace psp::ledger

#endif
