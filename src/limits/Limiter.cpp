#include "limits/Limiter.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace psp::limits {
namespace {

constexpr base::Duration ShortestRetryAfter = base::milliseconds(1);

std::uint64_t microseconds(base::Duration Length) {
  return static_cast<std::uint64_t>(Length.count());
}

/// How many tokens there will be for \p Of at \p When: what it has, what
/// accrues, and what the others are believed to have to lend by then.
std::uint32_t tokensUntil(const Account &Of, base::TimePoint Now,
                          base::TimePoint When) {
  const Slice &Share = Of.m_Bucket.slice();
  const MicroTokens Available = Of.available();
  const MicroTokens Loans =
      Of.m_Borrowing ? Of.m_Borrowing->m_Lenders.expected(Share, Now, When) : 0;
  if (Share.m_Burst + Available - Of.m_Bucket.level() + Loans < OneToken)
    return 0;
  const double Accrued = std::chrono::duration<double>(When - Now).count() *
                         static_cast<double>(Share.m_RatePerSecond);
  return static_cast<std::uint32_t>(
      (static_cast<double>(Available + Loans) + std::max(0.0, Accrued)) /
      OneToken);
}

} // namespace

IdSource::IdSource(const base::InstanceId &Self, std::uint64_t Incarnation)
    : m_Last(base::stableHash(Self.str() + "/" + std::to_string(Incarnation))) {
}

Limiter::Limiter(LimiterContext Context, std::uint32_t Shard,
                 base::TimePoint Start)
    : m_Context(Context), m_Shard(Shard), m_Start(Start), m_LeaseEnd(Start),
      m_Grants(OneToken, Context.m_Options.m_HoldTime),
      m_Loans(1, Context.m_Options.m_HoldTime) {}

Account *Limiter::account(const base::OrganisationId &Organisation,
                          base::TimePoint Now) {
  auto Found = m_Accounts.find(Organisation);
  if (Found == m_Accounts.end()) {
    const Slice *Share = m_Context.m_Rates.find(Organisation);
    if (Share == nullptr)
      return nullptr;
    Found = m_Accounts
                .emplace(Organisation,
                         Account{.m_Organisation = Organisation,
                                 .m_Bucket = TokenBucket(*Share, m_Start),
                                 .m_Waiters = {},
                                 .m_Borrowing = nullptr})
                .first;
  }
  Found->second.m_Bucket.accrue(Now);
  return &Found->second;
}

bool Limiter::tryUse(const base::OrganisationId &Organisation,
                     base::TimePoint Now) {
  if (Now >= m_LeaseEnd)
    return false;
  Account *Of = account(Organisation, Now);
  if (Of == nullptr || !Of->m_Waiters.empty() ||
      Of->m_Bucket.level() < OneToken)
    return false;
  Of->m_Bucket.use(OneToken, Now);
  ++m_Context.m_Counters.m_Granted;
  return true;
}

void Limiter::onAsk(const base::InstanceId &From, const messages::TokenAsk &Ask,
                    base::TimePoint Now) {
  for (const messages::UsageReport &Each : Ask.reports())
    onReport(Each, Now);
  const base::Duration Wait =
      std::min(m_Context.m_Options.m_LoanWait,
               base::Duration(static_cast<std::int64_t>(Ask.wait_us())));
  Waiter Asker = {.m_Asker = From,
                  .m_Request = Ask.request(),
                  .m_Sequence = 0,
                  .m_Count = Ask.needed(),
                  .m_Received = Now,
                  .m_GiveUpAt = Now + Wait};
  Account *Of = account(base::OrganisationId(Ask.organisation()), Now);
  if (Of == nullptr) {
    messages::TokenReply Reply;
    Reply.set_request(Ask.request());
    Reply.set_organisation(Ask.organisation());
    Reply.set_refused(Ask.needed());
    Reply.set_retry_after_us(microseconds(base::Duration(base::seconds(1))));
    m_Replies.push_back({.m_To = From, .m_Reply = std::move(Reply)});
    return;
  }
  const Slice &Share = Of->m_Bucket.slice();
  const MicroTokens Level = Of->m_Bucket.level();
  const MicroTokens Needed = OneToken * Asker.m_Count;
  if (Of->m_Waiters.empty() && Level >= Needed) {
    const MicroTokens Plenty = Level - Needed - Share.m_Burst / 2;
    const std::uint32_t Extra =
        Plenty <= 0 ? 0
                    : std::min(Ask.extra(),
                               static_cast<std::uint32_t>(Plenty / OneToken));
    Asker.m_Count += Extra;
    grant(*Of, Asker, Asker.m_Count, Now);
    return;
  }
  const std::uint32_t Room =
      m_Context.m_Options.m_MaxWaiting -
      std::min(Of->m_Waiting, m_Context.m_Options.m_MaxWaiting);
  if (Asker.m_Count > Room)
    refuse(*Of, Asker, Asker.m_Count - Room);
  if (Asker.m_Count == 0)
    return;
  const std::size_t Before = m_Replies.size();
  Of->m_Waiting += Asker.m_Count;
  Of->m_Waiters.push_back(Asker);
  serve(*Of, Now);
  if (Of->m_Waiters.empty() || Of->m_Waiters.back().m_Request != Ask.request())
    return;
  Waiter &Queued = Of->m_Waiters.back();
  if (m_Replies.size() > Before && m_Replies.back().m_To == From &&
      m_Replies.back().m_Reply.request() == Ask.request())
    m_Replies.back().m_Reply.set_queued(Queued.m_Count);
  else
    reply(*Of, Queued).set_queued(Queued.m_Count);
}

messages::TokenReply &Limiter::reply(const Account &Of, Waiter &To) {
  messages::TokenReply Reply;
  Reply.set_request(To.m_Request);
  Reply.set_sequence(To.m_Sequence++);
  Reply.set_organisation(Of.m_Organisation.str());
  m_Replies.push_back({.m_To = To.m_Asker, .m_Reply = std::move(Reply)});
  return m_Replies.back().m_Reply;
}

std::uint32_t Limiter::grant(Account &Of, Waiter &To, std::uint32_t Count,
                             base::TimePoint Now) {
  base::Duration Valid = m_Context.m_Options.m_HoldTime;
  MicroTokens Missing = OneToken * Count;
  if (Of.m_Borrowing) {
    for (Loan &Each : Of.m_Borrowing->m_Pool) {
      const MicroTokens Part = std::min(Missing, Each.m_Left);
      if (Part == 0)
        continue;
      Missing -= Part;
      Each.m_Left -= Part;
      Valid = std::min(Valid, Each.m_Deadline - To.m_Received);
      // A request of this process uses its token now. Someone else may use
      // it until the loan runs out, so the lender has to count it till then.
      if (To.m_Asker == m_Context.m_Options.m_Self)
        Each.m_Used += Part;
    }
  }
  const std::uint64_t Id = m_Context.m_Ids.next();
  if (Missing > 0) {
    Of.m_Bucket.hold(Missing, Now);
    m_Grants.add(Id, Of.m_Bucket, Missing, Now);
  }
  messages::TokenReply &Reply = reply(Of, To);
  Reply.set_grant(Id);
  Reply.set_granted(Count);
  Reply.set_valid_us(microseconds(Valid));
  To.m_Count -= Count;
  m_Context.m_Counters.m_Granted += Count;
  return Count;
}

void Limiter::refuse(Account &Of, Waiter &From, std::uint32_t Count) {
  const MicroTokens Wanted =
      OneToken * (static_cast<MicroTokens>(Of.m_Waiting) + 1);
  messages::TokenReply &Reply = reply(Of, From);
  Reply.set_refused(Count);
  Reply.set_retry_after_us(microseconds(
      std::max(ShortestRetryAfter, Of.m_Bucket.timeUntil(Wanted))));
  From.m_Count -= Count;
}

void Limiter::serve(Account &Of, base::TimePoint Now) {
  Of.m_Bucket.accrue(Now);
  expireBorrowing(Of, Now);
  if (canGive(Now)) {
    grantWaiting(Of, Now);
    if (!Of.m_Waiters.empty())
      borrow(Of, Now);
  }
  refuseHopeless(Of, Now);
  if (Of.m_Waiters.empty())
    settlePool(Of, Now);
}

void Limiter::grantWaiting(Account &Of, base::TimePoint Now) {
  while (!Of.m_Waiters.empty()) {
    const auto Whole = static_cast<std::uint32_t>(Of.available() / OneToken);
    if (Whole == 0)
      return;
    Waiter &First = Of.m_Waiters.front();
    Of.m_Waiting -= grant(Of, First, std::min(First.m_Count, Whole), Now);
    if (First.m_Count == 0)
      Of.m_Waiters.erase(Of.m_Waiters.begin());
  }
}

void Limiter::refuseHopeless(Account &Of, base::TimePoint Now) {
  const bool LoanPending =
      Of.m_Borrowing &&
      (Of.m_Borrowing->m_Open ||
       Of.m_Borrowing->m_Lenders.mayHelpLater(OneToken - Of.available(),
                                              Of.m_Bucket.slice(), Now));
  std::uint32_t Ahead = 0;
  std::vector<Waiter> Kept;
  Kept.reserve(Of.m_Waiters.size());
  for (Waiter &Each : Of.m_Waiters) {
    const std::uint32_t Count = Each.m_Count;
    std::uint32_t Hope = Count;
    if (Now >= Each.m_GiveUpAt) {
      Hope = 0;
    } else if (!LoanPending) {
      const std::uint32_t Served = tokensUntil(Of, Now, Each.m_GiveUpAt);
      Hope = std::min(Count, Served - std::min(Served, Ahead));
    }
    if (Hope < Count)
      refuse(Of, Each, Count - Hope);
    Ahead += Hope;
    if (Hope > 0)
      Kept.push_back(Each);
  }
  Of.m_Waiters = std::move(Kept);
  Of.m_Waiting = Ahead;
}

void Limiter::onReport(const messages::UsageReport &Report,
                       base::TimePoint Now) {
  applySettlement(m_Grants.report(Report), Now);
}

void Limiter::dismissWaiters() {
  for (auto &[Organisation, Of] : m_Accounts) {
    for (Waiter &Each : Of.m_Waiters)
      reply(Of, Each).set_not_holder(true);
    Of.m_Waiters.clear();
    Of.m_Waiting = 0;
  }
}

void Limiter::onRatesChanged(base::TimePoint Now) {
  for (auto &[Organisation, Of] : m_Accounts) {
    const Slice *Share = m_Context.m_Rates.find(Organisation);
    Of.m_Bucket.setSlice(Share == nullptr ? Slice{} : *Share, Now);
  }
}

void Limiter::onTick(base::TimePoint Now) {
  for (const Settlement &Each : m_Grants.expire(Now))
    applySettlement(Each, Now);
  for (const Settlement &Each : m_Loans.expire(Now))
    applySettlement(Each, Now);
  for (auto &[Organisation, Of] : m_Accounts)
    if (!Of.m_Waiters.empty() ||
        (Of.m_Borrowing &&
         (Of.m_Borrowing->m_Open || !Of.m_Borrowing->m_Pool.empty())))
      serve(Of, Now);
    else
      balance(Of, Now);
}

std::vector<TokenReplyTo> Limiter::takeReplies() {
  return std::exchange(m_Replies, {});
}

std::vector<LoanAskTo> Limiter::takeLoanAsks() {
  return std::exchange(m_LoanAsks, {});
}

std::vector<LoanReportTo> Limiter::takeLoanReports() {
  return std::exchange(m_LoanReports, {});
}

MicroTokens Limiter::level(const base::OrganisationId &Organisation) const {
  const auto Found = m_Accounts.find(Organisation);
  return Found == m_Accounts.end() ? 0 : Found->second.m_Bucket.level();
}

} // namespace psp::limits
