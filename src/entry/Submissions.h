/// \file
/// Sends operators' commands from this instance to the leader of the control
/// log. A command is resent to the next ledger until a ledger answers as the
/// leader; the command's request identifier makes resending safe.

#ifndef PSP_ENTRY_SUBMISSIONS_H
#define PSP_ENTRY_SUBMISSIONS_H

#include "base/Ids.h"
#include "base/Time.h"
#include "generated/peer.pb.h"
#include "messages/Outbox.h"

#include <map>
#include <vector>

namespace psp::entry {

/// A submission that was answered or that timed out.
struct DecidedSubmission {
  std::uint64_t m_Ticket = 0;
  messages::ControlResult m_Result;
};

class Submissions {
public:
  explicit Submissions(std::vector<base::InstanceId> Ledgers);

  void start(std::uint64_t Ticket, const messages::ControlCommand &Command,
             base::TimePoint Now, messages::Outbox &Out);
  void onResult(const messages::SubmitResult &Message, base::TimePoint Now);
  void onTick(base::TimePoint Now, messages::Outbox &Out);
  std::vector<DecidedSubmission> takeDecided();

private:
  struct Pending {
    messages::ControlCommand m_Command;
    base::TimePoint m_Deadline;
    base::TimePoint m_NextTry;
  };

  void send(std::uint64_t Ticket, Pending &Waiting, base::TimePoint Now,
            messages::Outbox &Out);
  void decide(std::uint64_t Ticket, const messages::ControlResult &Result);

  std::vector<base::InstanceId> m_Ledgers;
  /// Index of the ledger to use: the leader, once it has been found.
  std::size_t m_NextLedger = 0;
  std::map<std::uint64_t, Pending> m_Pending;
  std::vector<DecidedSubmission> m_Decided;
};

} // namespace psp::entry

#endif
