#include "entry/Submissions.h"

#include "base/ErrorKind.h"

#include <utility>

namespace psp::entry {

using base::ErrorKind;
using base::TimePoint;

namespace {

constexpr base::Duration SubmissionTimeout = base::seconds(4);
constexpr base::Duration AnswerTimeout = base::milliseconds(700);
constexpr base::Duration NotLeaderPause = base::milliseconds(50);

std::string unavailableName() {
  return std::string(base::errorAnswer(ErrorKind::QuorumUnavailable).m_Name);
}

} // namespace

Submissions::Submissions(std::vector<base::InstanceId> Ledgers)
    : m_Ledgers(std::move(Ledgers)) {}

void Submissions::start(std::uint64_t Ticket,
                        const messages::ControlCommand &Command, TimePoint Now,
                        messages::Outbox &Out) {
  Pending &Added = m_Pending[Ticket];
  Added.m_Command = Command;
  Added.m_Deadline = Now + SubmissionTimeout;
  send(Ticket, Added, Now, Out);
}

void Submissions::send(std::uint64_t Ticket, Pending &Waiting, TimePoint Now,
                       messages::Outbox &Out) {
  messages::SubmitCommand &Message =
      *Out.add(m_Ledgers[m_NextLedger % m_Ledgers.size()])
           .mutable_submit_command();
  Message.set_submission(Ticket);
  *Message.mutable_command() = Waiting.m_Command;
  Waiting.m_NextTry = Now + AnswerTimeout;
}

void Submissions::onResult(const messages::SubmitResult &Message,
                           TimePoint Now) {
  const auto It = m_Pending.find(Message.submission());
  if (It == m_Pending.end())
    return;
  if (Message.result().error_kind() != unavailableName())
    return decide(It->first, Message.result());
  // This ledger is not the leader; the next attempt uses the next ledger.
  It->second.m_NextTry = Now + NotLeaderPause;
}

void Submissions::onTick(TimePoint Now, messages::Outbox &Out) {
  for (auto Next = m_Pending.begin(); Next != m_Pending.end();) {
    const auto Current = Next++;
    if (Now >= Current->second.m_Deadline) {
      messages::ControlResult Result;
      Result.set_request_id(Current->second.m_Command.request_id());
      Result.set_error_kind(unavailableName());
      Result.set_detail("no ledger answered as the leader; resend with the "
                        "same request identifier");
      decide(Current->first, Result);
    } else if (Now >= Current->second.m_NextTry) {
      ++m_NextLedger;
      send(Current->first, Current->second, Now, Out);
    }
  }
}

void Submissions::decide(std::uint64_t Ticket,
                         const messages::ControlResult &Result) {
  m_Decided.push_back({.m_Ticket = Ticket, .m_Result = Result});
  m_Pending.erase(Ticket);
}

std::vector<DecidedSubmission> Submissions::takeDecided() {
  return std::exchange(m_Decided, {});
}

} // namespace psp::entry
