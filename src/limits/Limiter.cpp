#include "limits/Limiter.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace psp::limits {
namespace {

constexpr base::Duration MinRetryAfter = base::milliseconds(1);

std::uint64_t microseconds(base::Duration Length) {
  return static_cast<std::uint64_t>(Length.count());
}

/// The estimated number of tokens of \p OrgAccount at \p When: those available
/// now, those that accrue until then, and those that the lenders are estimated
/// to have by then.
std::uint32_t expectedTokens(const Account &OrgAccount, base::TimePoint Now,
                             base::TimePoint When) {
  const Slice &OwnSlice = OrgAccount.m_Bucket.slice();
  const MicroTokens Available = OrgAccount.available();
  const MicroTokens Loans =
      OrgAccount.m_Borrowing ? OrgAccount.m_Borrowing->m_Lenders.estimatedTotal(
                                   OwnSlice, Now, When)
                             : 0;
  if (OwnSlice.m_Burst + Available - OrgAccount.m_Bucket.level() + Loans <
      OneToken)
    return 0;
  const double Accrued = std::chrono::duration<double>(When - Now).count() *
                         static_cast<double>(OwnSlice.m_RatePerSecond);
  return static_cast<std::uint32_t>(
      (static_cast<double>(Available + Loans) + std::max(0.0, Accrued)) /
      OneToken);
}

} // namespace

IdGenerator::IdGenerator(const base::InstanceId &Self,
                         std::uint64_t Incarnation)
    : m_Last(base::stableHash(Self.str() + "/" + std::to_string(Incarnation))) {
}

Limiter::Limiter(LimiterContext Context, std::uint32_t Shard,
                 base::TimePoint Start)
    : m_Context(Context), m_Shard(Shard), m_Start(Start),
      m_LeaseExpiresAt(Start),
      m_OutstandingGrants(OneToken, Context.m_Options.m_TokenValidity),
      m_OutstandingLoans(1, Context.m_Options.m_TokenValidity) {}

Account *Limiter::account(const base::OrganisationId &Organisation,
                          base::TimePoint Now) {
  auto It = m_Accounts.find(Organisation);
  if (It == m_Accounts.end()) {
    const Slice *OwnSlice = m_Context.m_Rates.find(Organisation);
    if (OwnSlice == nullptr)
      return nullptr;
    It = m_Accounts
             .emplace(Organisation,
                      Account{.m_Organisation = Organisation,
                              .m_Bucket = TokenBucket(*OwnSlice, m_Start),
                              .m_WaitingRequests = {},
                              .m_Borrowing = nullptr})
             .first;
  }
  It->second.m_Bucket.accrue(Now);
  return &It->second;
}

bool Limiter::tryConsume(const base::OrganisationId &Organisation,
                         base::TimePoint Now) {
  if (Now >= m_LeaseExpiresAt)
    return false;
  Account *OrgAccount = account(Organisation, Now);
  if (OrgAccount == nullptr || !OrgAccount->m_WaitingRequests.empty() ||
      OrgAccount->m_Bucket.level() < OneToken)
    return false;
  OrgAccount->m_Bucket.consume(OneToken, Now);
  ++m_Context.m_Counters.m_TokensGranted;
  return true;
}

void Limiter::onRequest(const base::InstanceId &From,
                        const messages::TokenAsk &Request,
                        base::TimePoint Now) {
  for (const messages::UsageReport &Report : Request.reports())
    onReport(Report, Now);
  const base::Duration MaxWait =
      std::min(m_Context.m_Options.m_MaxLimiterWait,
               base::Duration(static_cast<std::int64_t>(Request.wait_us())));
  WaitingRequest NewRequest = {.m_Requester = From,
                               .m_RequestId = Request.request(),
                               .m_NextSequence = 0,
                               .m_TokensWanted = Request.needed(),
                               .m_ReceivedAt = Now,
                               .m_WaitDeadline = Now + MaxWait};
  Account *OrgAccount =
      account(base::OrganisationId(Request.organisation()), Now);
  if (OrgAccount == nullptr) {
    messages::TokenReply Reply;
    Reply.set_request(Request.request());
    Reply.set_organisation(Request.organisation());
    Reply.set_refused(Request.needed());
    Reply.set_retry_after_us(microseconds(base::Duration(base::seconds(1))));
    m_Replies.push_back({.m_To = From, .m_Reply = std::move(Reply)});
    return;
  }
  const Slice &OwnSlice = OrgAccount->m_Bucket.slice();
  const MicroTokens Level = OrgAccount->m_Bucket.level();
  const MicroTokens Needed = OneToken * NewRequest.m_TokensWanted;
  if (OrgAccount->m_WaitingRequests.empty() && Level >= Needed) {
    const MicroTokens Surplus = Level - Needed - OwnSlice.m_Burst / 2;
    const std::uint32_t Extra =
        Surplus <= 0 ? 0
                     : std::min(Request.extra(),
                                static_cast<std::uint32_t>(Surplus / OneToken));
    NewRequest.m_TokensWanted += Extra;
    grant(*OrgAccount, NewRequest, NewRequest.m_TokensWanted, Now);
    return;
  }
  const std::uint32_t Capacity =
      m_Context.m_Options.m_MaxWaitingRequests -
      std::min(OrgAccount->m_TotalTokensWanted,
               m_Context.m_Options.m_MaxWaitingRequests);
  if (NewRequest.m_TokensWanted > Capacity)
    refuse(*OrgAccount, NewRequest, NewRequest.m_TokensWanted - Capacity);
  if (NewRequest.m_TokensWanted == 0)
    return;
  const std::size_t RepliesBefore = m_Replies.size();
  OrgAccount->m_TotalTokensWanted += NewRequest.m_TokensWanted;
  OrgAccount->m_WaitingRequests.push_back(NewRequest);
  serveWaitingRequests(*OrgAccount, Now);
  if (OrgAccount->m_WaitingRequests.empty() ||
      OrgAccount->m_WaitingRequests.back().m_RequestId != Request.request())
    return;
  WaitingRequest &Queued = OrgAccount->m_WaitingRequests.back();
  if (m_Replies.size() > RepliesBefore && m_Replies.back().m_To == From &&
      m_Replies.back().m_Reply.request() == Request.request())
    m_Replies.back().m_Reply.set_queued(Queued.m_TokensWanted);
  else
    reply(*OrgAccount, Queued).set_queued(Queued.m_TokensWanted);
}

messages::TokenReply &Limiter::reply(const Account &OrgAccount,
                                     WaitingRequest &Waiting) {
  messages::TokenReply Reply;
  Reply.set_request(Waiting.m_RequestId);
  Reply.set_sequence(Waiting.m_NextSequence++);
  Reply.set_organisation(OrgAccount.m_Organisation.str());
  m_Replies.push_back(
      {.m_To = Waiting.m_Requester, .m_Reply = std::move(Reply)});
  return m_Replies.back().m_Reply;
}

std::uint32_t Limiter::grant(Account &OrgAccount, WaitingRequest &Waiting,
                             std::uint32_t Count, base::TimePoint Now) {
  base::Duration Valid = m_Context.m_Options.m_TokenValidity;
  MicroTokens Missing = OneToken * Count;
  if (OrgAccount.m_Borrowing) {
    for (ReceivedLoan &Loan : OrgAccount.m_Borrowing->m_ReceivedLoans) {
      const MicroTokens FromLoan = std::min(Missing, Loan.m_Unused);
      if (FromLoan == 0)
        continue;
      Missing -= FromLoan;
      Loan.m_Unused -= FromLoan;
      Valid = std::min(Valid, Loan.m_Deadline - Waiting.m_ReceivedAt);
      // A request of this process uses its token at once. Another process may
      // use it until the loan expires, so the lender must count it until then.
      if (Waiting.m_Requester == m_Context.m_Options.m_Self)
        Loan.m_Used += FromLoan;
    }
  }
  const std::uint64_t Id = m_Context.m_Ids.next();
  if (Missing > 0) {
    OrgAccount.m_Bucket.transferOut(Missing, Now);
    m_OutstandingGrants.add(Id, OrgAccount.m_Bucket, Missing, Now);
  }
  messages::TokenReply &Reply = reply(OrgAccount, Waiting);
  Reply.set_grant(Id);
  Reply.set_granted(Count);
  Reply.set_valid_us(microseconds(Valid));
  Waiting.m_TokensWanted -= Count;
  m_Context.m_Counters.m_TokensGranted += Count;
  return Count;
}

void Limiter::refuse(Account &OrgAccount, WaitingRequest &Waiting,
                     std::uint32_t Count) {
  const MicroTokens Wanted =
      OneToken * (static_cast<MicroTokens>(OrgAccount.m_TotalTokensWanted) + 1);
  messages::TokenReply &Reply = reply(OrgAccount, Waiting);
  Reply.set_refused(Count);
  Reply.set_retry_after_us(microseconds(
      std::max(MinRetryAfter, OrgAccount.m_Bucket.timeUntil(Wanted))));
  Waiting.m_TokensWanted -= Count;
}

void Limiter::serveWaitingRequests(Account &OrgAccount, base::TimePoint Now) {
  OrgAccount.m_Bucket.accrue(Now);
  expireBorrowing(OrgAccount, Now);
  if (canTransfer(Now)) {
    grantWaiting(OrgAccount, Now);
    if (!OrgAccount.m_WaitingRequests.empty())
      borrow(OrgAccount, Now);
  }
  refuseUnservable(OrgAccount, Now);
  if (OrgAccount.m_WaitingRequests.empty())
    settleReceivedLoans(OrgAccount, Now);
}

void Limiter::grantWaiting(Account &OrgAccount, base::TimePoint Now) {
  while (!OrgAccount.m_WaitingRequests.empty()) {
    const auto FullTokens =
        static_cast<std::uint32_t>(OrgAccount.available() / OneToken);
    if (FullTokens == 0)
      return;
    WaitingRequest &First = OrgAccount.m_WaitingRequests.front();
    OrgAccount.m_TotalTokensWanted -= grant(
        OrgAccount, First, std::min(First.m_TokensWanted, FullTokens), Now);
    if (First.m_TokensWanted == 0)
      OrgAccount.m_WaitingRequests.erase(OrgAccount.m_WaitingRequests.begin());
  }
}

void Limiter::refuseUnservable(Account &OrgAccount, base::TimePoint Now) {
  const bool LoanPossible =
      OrgAccount.m_Borrowing && (OrgAccount.m_Borrowing->m_PendingRequest ||
                                 OrgAccount.m_Borrowing->m_Lenders.mayLendLater(
                                     OneToken - OrgAccount.available(),
                                     OrgAccount.m_Bucket.slice(), Now));
  std::uint32_t WantedAhead = 0;
  std::vector<WaitingRequest> Remaining;
  Remaining.reserve(OrgAccount.m_WaitingRequests.size());
  for (WaitingRequest &Waiting : OrgAccount.m_WaitingRequests) {
    const std::uint32_t Count = Waiting.m_TokensWanted;
    std::uint32_t Servable = Count;
    if (Now >= Waiting.m_WaitDeadline) {
      Servable = 0;
    } else if (!LoanPossible) {
      const std::uint32_t Expected =
          expectedTokens(OrgAccount, Now, Waiting.m_WaitDeadline);
      Servable = std::min(Count, Expected - std::min(Expected, WantedAhead));
    }
    if (Servable < Count)
      refuse(OrgAccount, Waiting, Count - Servable);
    WantedAhead += Servable;
    if (Servable > 0)
      Remaining.push_back(Waiting);
  }
  OrgAccount.m_WaitingRequests = std::move(Remaining);
  OrgAccount.m_TotalTokensWanted = WantedAhead;
}

void Limiter::onReport(const messages::UsageReport &Report,
                       base::TimePoint Now) {
  applySettlement(m_OutstandingGrants.report(Report), Now);
}

void Limiter::redirectWaitingRequests() {
  for (auto &[Organisation, OrgAccount] : m_Accounts) {
    for (WaitingRequest &Waiting : OrgAccount.m_WaitingRequests)
      reply(OrgAccount, Waiting).set_not_holder(true);
    OrgAccount.m_WaitingRequests.clear();
    OrgAccount.m_TotalTokensWanted = 0;
  }
}

void Limiter::onRatesChanged(base::TimePoint Now) {
  for (auto &[Organisation, OrgAccount] : m_Accounts) {
    const Slice *OwnSlice = m_Context.m_Rates.find(Organisation);
    OrgAccount.m_Bucket.setSlice(OwnSlice == nullptr ? Slice{} : *OwnSlice,
                                 Now);
  }
}

void Limiter::onTick(base::TimePoint Now) {
  for (const Settlement &Change : m_OutstandingGrants.expire(Now))
    applySettlement(Change, Now);
  for (const Settlement &Change : m_OutstandingLoans.expire(Now))
    applySettlement(Change, Now);
  for (auto &[Organisation, OrgAccount] : m_Accounts)
    if (!OrgAccount.m_WaitingRequests.empty() ||
        (OrgAccount.m_Borrowing &&
         (OrgAccount.m_Borrowing->m_PendingRequest ||
          !OrgAccount.m_Borrowing->m_ReceivedLoans.empty())))
      serveWaitingRequests(OrgAccount, Now);
    else
      rebalance(OrgAccount, Now);
}

std::vector<OutgoingTokenReply> Limiter::takeReplies() {
  return std::exchange(m_Replies, {});
}

std::vector<OutgoingLoanRequest> Limiter::takeLoanRequests() {
  return std::exchange(m_LoanRequests, {});
}

std::vector<OutgoingLoanReport> Limiter::takeLoanReports() {
  return std::exchange(m_LoanReports, {});
}

MicroTokens Limiter::level(const base::OrganisationId &Organisation) const {
  const auto It = m_Accounts.find(Organisation);
  return It == m_Accounts.end() ? 0 : It->second.m_Bucket.level();
}

} // namespace psp::limits
