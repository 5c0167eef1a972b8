#include "limits/Limiter.h"

#include <algorithm>
#include <utility>

namespace psp::limits {
namespace {

/// An ask for a loan is given up after this many ask timeouts.
constexpr int LoanTimeouts = 2;

/// A limiter asks a fuller one for a loan when they differ by this part of the
/// burst, so that slices don't lie full while another one empties.
constexpr MicroTokens BalancePart = 8;
constexpr MicroTokens LeastBalance = OneToken;
constexpr base::Duration BalanceInterval = base::milliseconds(20);

MicroTokens balanceStep(const Slice &Share) {
  return std::max(LeastBalance, Share.m_Burst / BalancePart);
}

} // namespace

Borrowing &Limiter::borrowing(Account &Of, base::TimePoint Now) {
  const LimitOptions &Options = m_Context.m_Options;
  if (!Of.m_Borrowing)
    Of.m_Borrowing = std::make_unique<Borrowing>(Borrowing{
        .m_Lenders = Lenders(m_Context.m_DataCentres, m_Context.m_OwnPosition,
                             {.m_First = Options.m_BorrowBackOff,
                              .m_Longest = Options.m_MaxBorrowBackOff},
                             Now),
        .m_Open = std::nullopt,
        .m_Requests = {},
        .m_Pool = {},
        .m_BalanceNotBefore = Now});
  return *Of.m_Borrowing;
}

void Limiter::askForLoan(Account &Of, std::size_t Lender, MicroTokens Needed,
                         MicroTokens Extra, base::TimePoint Now) {
  Borrowing &Current = borrowing(Of, Now);
  messages::LoanAsk Ask;
  Ask.set_request(m_Context.m_Ids.next());
  Ask.set_shard(m_Shard);
  Ask.set_data_centre(m_Context.m_Options.m_DataCentre.str());
  Ask.set_organisation(Of.m_Organisation.str());
  Ask.set_needed(static_cast<std::uint64_t>(Needed));
  Ask.set_extra(static_cast<std::uint64_t>(Extra));
  Current.m_Open = Ask.request();
  Current.m_Requests.push_back(
      {.m_Request = Ask.request(), .m_Lender = Lender, .m_AskedAt = Now});
  ++m_Context.m_Counters.m_BorrowAsks;
  m_LoanAsks.push_back({.m_DataCentre = Lender, .m_Ask = std::move(Ask)});
}

void Limiter::borrow(Account &Of, base::TimePoint Now) {
  if (m_Context.m_DataCentres < 2 || borrowing(Of, Now).m_Open)
    return;
  const MicroTokens Available = Of.available();
  const auto Lender = Of.m_Borrowing->m_Lenders.choose(
      OneToken - Available, Of.m_Bucket.slice(), Now);
  if (!Lender)
    return;
  const MicroTokens Missing = OneToken * Of.m_Waiting - Available;
  askForLoan(Of, *Lender, Missing, Missing, Now);
}

void Limiter::balance(Account &Of, base::TimePoint Now) {
  if (m_Context.m_DataCentres < 2 || !canGive(Now))
    return;
  Of.m_Bucket.accrue(Now);
  const Slice &Share = Of.m_Bucket.slice();
  const MicroTokens Level = Of.m_Bucket.level();
  if (Level + Of.m_Bucket.held() > Share.m_Burst - balanceStep(Share))
    return;
  Borrowing &Current = borrowing(Of, Now);
  if (Current.m_Open || Now < Current.m_BalanceNotBefore)
    return;
  const auto Lender = Current.m_Lenders.richest(
      Level + std::max<MicroTokens>(1, Share.m_Burst / BalancePart), Share,
      Now);
  if (!Lender)
    return;
  Current.m_BalanceNotBefore = Now + BalanceInterval;
  const MicroTokens Gap =
      Current.m_Lenders.levelOf(*Lender, Share, Now) - Level;
  const MicroTokens Room = Share.m_Burst - Level - Of.m_Bucket.held();
  askForLoan(Of, *Lender, 0, std::min(Gap / 2, Room), Now);
}

void Limiter::addLoanReport(const Account &Of, const Loan &From) {
  messages::UsageReport Report;
  Report.set_organisation(Of.m_Organisation.str());
  Report.set_grant(From.m_Id);
  Report.set_used(static_cast<std::uint64_t>(From.m_Used));
  Report.set_returned(static_cast<std::uint64_t>(From.m_Returned));
  m_LoanReports.push_back(
      {.m_To = From.m_Lender, .m_Report = std::move(Report)});
}

void Limiter::settlePool(Account &Of, base::TimePoint Now) {
  if (!Of.m_Borrowing)
    return;
  for (Loan &Each : Of.m_Borrowing->m_Pool) {
    if (Now < Each.m_Deadline) {
      const MicroTokens Taken = Of.m_Bucket.absorb(Each.m_Left, Now);
      Each.m_Used += Taken;
      Each.m_Returned += Each.m_Left - Taken;
    }
    Each.m_Left = 0;
    addLoanReport(Of, Each);
  }
  Of.m_Borrowing->m_Pool.clear();
}

void Limiter::expireBorrowing(Account &Of, base::TimePoint Now) {
  if (!Of.m_Borrowing)
    return;
  Borrowing &Current = *Of.m_Borrowing;
  const LimitOptions &Options = m_Context.m_Options;
  std::erase_if(Current.m_Requests, [&](const LoanRequest &Each) {
    const bool Silent =
        Now >= Each.m_AskedAt + LoanTimeouts * Options.m_AskTimeout;
    if (Silent && Current.m_Open == Each.m_Request) {
      Current.m_Open.reset();
      Current.m_Lenders.onFailure(Each.m_Lender, Now);
    }
    return Now >= Each.m_AskedAt + Options.m_HoldTime;
  });
  std::erase_if(Current.m_Pool, [&](const Loan &Each) {
    if (Now < Each.m_Deadline && Each.m_Left > 0)
      return false;
    if (Each.m_Used > 0)
      addLoanReport(Of, Each);
    return true;
  });
}

void Limiter::onLoanReport(const messages::UsageReport &Report,
                           base::TimePoint Now) {
  applySettlement(m_Loans.report(Report), Now);
}

messages::LoanReply Limiter::onLoanAsk(const messages::LoanAsk &Ask,
                                       base::TimePoint Now) {
  for (const messages::UsageReport &Each : Ask.reports())
    onLoanReport(Each, Now);
  messages::LoanReply Reply;
  Reply.set_request(Ask.request());
  Reply.set_shard(m_Shard);
  Reply.set_data_centre(m_Context.m_Options.m_DataCentre.str());
  Reply.set_organisation(Ask.organisation());
  Account *Of = account(base::OrganisationId(Ask.organisation()), Now);
  if (Of == nullptr || !canGive(Now))
    return Reply;
  const MicroTokens Level = Of->m_Bucket.level();
  Reply.set_level(static_cast<std::uint64_t>(Level));
  // Of two data centres that both lack a part of a token, the one that comes
  // first gets it, so that they don't wait for each other.
  if (!Of->m_Waiters.empty() &&
      Ask.data_centre() >= m_Context.m_Options.m_DataCentre.str())
    return Reply;
  const MicroTokens Needed =
      std::min(Level, static_cast<MicroTokens>(Ask.needed()));
  const MicroTokens Extra =
      std::min((Level - Needed) / 2, static_cast<MicroTokens>(Ask.extra()));
  const MicroTokens Lent = Needed + Extra;
  if (Lent <= 0)
    return Reply;
  Reply.set_level(static_cast<std::uint64_t>(Level - Lent));
  Of->m_Bucket.hold(Lent, Now);
  Reply.set_loan(m_Context.m_Ids.next());
  Reply.set_lent(static_cast<std::uint64_t>(Lent));
  m_Loans.add(Reply.loan(), Of->m_Bucket, Lent, Now);
  m_Context.m_Counters.m_LentMicro += Lent;
  return Reply;
}

void Limiter::onLoanReply(const base::InstanceId &From,
                          const messages::LoanReply &Reply, std::size_t Lender,
                          base::TimePoint Now) {
  Account *Of = account(base::OrganisationId(Reply.organisation()), Now);
  if (Of == nullptr || !Of->m_Borrowing)
    return;
  Borrowing &Current = *Of->m_Borrowing;
  const auto Asked = std::find_if(
      Current.m_Requests.begin(), Current.m_Requests.end(),
      [&](const LoanRequest &Each) {
        return Each.m_Request == Reply.request() && Each.m_Lender == Lender;
      });
  if (Asked == Current.m_Requests.end())
    return;
  const LimitOptions &Options = m_Context.m_Options;
  const base::TimePoint Deadline =
      Asked->m_AskedAt + shortened(Options.m_HoldTime, Options.m_ClockDrift);
  if (Current.m_Open == Reply.request())
    Current.m_Open.reset();
  Current.m_Requests.erase(Asked);
  const auto Lent = static_cast<MicroTokens>(Reply.lent());
  if (Reply.not_holder())
    Current.m_Lenders.onNotHolder(Lender, Now);
  else
    Current.m_Lenders.onReply(Lender, Lent,
                              static_cast<MicroTokens>(Reply.level()), Now);
  if (Lent > 0 && Now < Deadline) {
    m_Context.m_Counters.m_BorrowedMicro += Lent;
    const MicroTokens Taken = Of->m_Bucket.absorb(Lent, Now);
    Current.m_Pool.push_back({.m_Lender = From,
                              .m_Id = Reply.loan(),
                              .m_Left = Lent - Taken,
                              .m_Used = Taken,
                              .m_Returned = 0,
                              .m_Deadline = Deadline});
  }
  serve(*Of, Now);
}

} // namespace psp::limits
