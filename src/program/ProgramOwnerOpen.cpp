/// The part of ProgramOwner that acquires ownership: it collects promises, has
/// them confirmed, and adopts the log to continue from.

#include "base/Error.h"
#include "base/Hash.h"
#include "program/ProgramOwner.h"

#include <algorithm>
#include <utility>

namespace psp::program {
namespace {

/// The maximum delay, in retransmit intervals, by which retries of competing
/// owners are spread.
constexpr std::uint64_t MaxBackoffIntervals = 8;

LogEnd endOf(const std::vector<messages::ProgramEntry> &Log) {
  if (Log.empty())
    return {};
  return {.m_Ballot = Log.back().ballot(), .m_Index = Log.size()};
}

} // namespace

void ProgramOwner::sendOpen(base::Now Time, messages::Outbox &Out) {
  m_NextOpen = Time.m_Monotonic + m_Options.m_RetransmitInterval;
  for (const base::InstanceId &Ledger : m_Options.m_Ledgers) {
    if (m_Promises.m_Replies.contains(Ledger))
      continue;
    auto &Open = *Out.add(Ledger).mutable_program()->mutable_open();
    Open.set_program(m_Program.str());
    *Open.mutable_ballot() = m_Ballot;
  }
  countPromises(Out);
}

void ProgramOwner::onOpenReply(const base::InstanceId &From,
                               const messages::ProgramOpenReply &Reply,
                               base::Now Time, messages::Outbox &Out) {
  if (m_Phase != OwnerPhase::Opening || !m_Ledgers.contains(From) ||
      !isSameBallot(Reply.ballot(), m_Ballot))
    return;
  if (!Reply.promised()) {
    retryOpen(Reply.promised_ballot(), Time);
    return;
  }
  if (Reply.confirmation() > 0) {
    onConfirmation(From, Reply, Time, Out);
    return;
  }
  // A duplicate reply is ignored unless it comes from a different disk.
  const auto It = m_Promises.m_Replies.find(From);
  if (It != m_Promises.m_Replies.end() &&
      It->second.generation() == Reply.generation())
    return;
  m_Promises.m_Replies[From] = Reply;
  if (m_Promises.m_Majority.empty())
    countPromises(Out);
}

void ProgramOwner::onConfirmation(const base::InstanceId &From,
                                  const messages::ProgramOpenReply &Reply,
                                  base::Now Time, messages::Outbox &Out) {
  if (Reply.confirmation() != m_Promises.m_Confirmation)
    return;
  const auto Promise = m_Promises.m_Majority.find(From);
  if (Promise == m_Promises.m_Majority.end())
    return;
  if (Promise->second != Reply.generation()) {
    // The disk that stored the promise was lost; the next tick asks the ledger
    // again.
    m_Promises.m_Replies.erase(From);
    return;
  }
  m_Promises.m_Confirmed.insert(From);
  if (m_Promises.m_Confirmed.size() < majority())
    return;
  adopt();
  if (m_Phase != OwnerPhase::Fenced)
    lead(Time, Out);
}

void ProgramOwner::askToConfirm(LedgerDisks Majority, messages::Outbox &Out) {
  // All promises must be valid at the same time, so a changed set of ledgers or
  // disks starts a new confirmation round.
  if (Majority != m_Promises.m_Majority) {
    m_Promises.m_Majority = std::move(Majority);
    m_Promises.m_Confirmed.clear();
    ++m_Promises.m_Confirmation;
  }
  for (const auto &[Ledger, Generation] : m_Promises.m_Majority) {
    if (m_Promises.m_Confirmed.contains(Ledger))
      continue;
    auto &Open = *Out.add(Ledger).mutable_program()->mutable_open();
    Open.set_program(m_Program.str());
    *Open.mutable_ballot() = m_Ballot;
    Open.set_confirmation(m_Promises.m_Confirmation);
  }
}

void ProgramOwner::retryOpen(const messages::Ballot &Promised, base::Now Time) {
  if (hasLog()) {
    m_Phase = OwnerPhase::Fenced;
    return;
  }
  if (Promised.round() + 1 <= m_MinRound)
    return;
  m_MinRound = Promised.round() + 1;
  const std::uint64_t Spread =
      base::stableHash(m_Options.m_Self.str() + std::to_string(m_MinRound)) %
      MaxBackoffIntervals;
  // The first refusal is usually caused by the ballot of an owner that has
  // failed, so the first retry needs no delay.
  m_NextOpen = Time.m_Monotonic;
  if (m_Refusals++ > 0)
    m_NextOpen += m_Options.m_RetransmitInterval * static_cast<int>(Spread);
}

bool ProgramOwner::isTrusted(const base::InstanceId &Ledger,
                             const messages::ProgramOpenReply &Reply) const {
  return !Reply.forgetful() || Reply.generation() == createdGeneration(Ledger);
}

void ProgramOwner::countPromises(messages::Outbox &Out) {
  LedgerDisks Votes;
  std::size_t Empty = 0;
  for (const auto &[Ledger, Reply] : m_Promises.m_Replies) {
    if (Reply.evicted()) {
      m_Phase = OwnerPhase::Evicted;
      return;
    }
    if (isTrusted(Ledger, Reply))
      Votes[Ledger] = Reply.generation();
    if (Reply.entries_size() == 0)
      ++Empty;
  }
  if (!hasLog() && Empty == m_Options.m_Ledgers.size()) {
    m_Phase = OwnerPhase::Missing;
    return;
  }
  if (Votes.size() >= majority())
    askToConfirm(std::move(Votes), Out);
}

void ProgramOwner::adopt() {
  const messages::ProgramOpenReply *Best = nullptr;
  LogEnd BestEnd = endOf(m_Log);
  for (const auto &[Ledger, Reply] : m_Promises.m_Replies) {
    if (Reply.entries_size() == 0)
      continue;
    const LogEnd End = {
        .m_Ballot = Reply.entries(Reply.entries_size() - 1).ballot(),
        .m_Index = static_cast<std::uint64_t>(Reply.entries_size())};
    if (!endsLater(End, BestEnd))
      continue;
    Best = &Reply;
    BestEnd = End;
  }
  if (Best == nullptr)
    return;
  if (hasLog()) {
    // Only another owner can have written a log that ends later than this one.
    m_Phase = OwnerPhase::Fenced;
    return;
  }
  m_Log.assign(Best->entries().begin(), Best->entries().end());
}

void ProgramOwner::lead(base::Now Time, messages::Outbox &Out) {
  base::checkInvariant(hasLog(),
                       "an owner can't lead a program without entries");
  m_Phase = OwnerPhase::Leading;
  m_Refusals = 0;
  m_LeadIndex = lastIndex() + 1;
  for (auto &[Ledger, View] : m_Ledgers) {
    const auto Reply = m_Promises.m_Replies.find(Ledger);
    if (Reply != m_Promises.m_Replies.end() && Reply->second.entries_size() > 0)
      View.m_Next = std::min<std::uint64_t>(
          static_cast<std::uint64_t>(Reply->second.entries_size()) + 1,
          m_LeadIndex);
  }
  m_Promises = {};
  messages::ProgramEntry Changed;
  Changed.mutable_owner_changed()->set_instance(m_Options.m_Self.str());
  append(std::move(Changed), Time, Out);
}

} // namespace psp::program
