#include "limits/Limiter.h"

#include <algorithm>
#include <utility>

namespace psp::limits {
namespace {

/// A loan request counts as failed after this many request timeouts.
constexpr int RequestTimeoutsPerLoan = 2;

/// A limiter requests a loan from a fuller one when their levels differ by the
/// burst divided by this, so that one slice isn't full and unused while another
/// one runs empty.
constexpr MicroTokens BalanceBurstDivisor = 8;
constexpr MicroTokens MinBalanceThreshold = OneToken;
constexpr base::Duration BalanceInterval = base::milliseconds(20);

MicroTokens balanceThreshold(const Slice &OwnSlice) {
  return std::max(MinBalanceThreshold, OwnSlice.m_Burst / BalanceBurstDivisor);
}

} // namespace

Borrowing &Limiter::borrowing(Account &OrgAccount, base::TimePoint Now) {
  const LimitOptions &Options = m_Context.m_Options;
  if (!OrgAccount.m_Borrowing)
    OrgAccount.m_Borrowing = std::make_unique<Borrowing>(Borrowing{
        .m_Lenders = Lenders(m_Context.m_DataCentres, m_Context.m_OwnPosition,
                             {.m_Initial = Options.m_InitialBorrowBackOff,
                              .m_Max = Options.m_MaxBorrowBackOff},
                             Now),
        .m_PendingRequest = std::nullopt,
        .m_Requests = {},
        .m_ReceivedLoans = {},
        .m_BalanceNotBefore = Now});
  return *OrgAccount.m_Borrowing;
}

void Limiter::requestLoan(Account &OrgAccount, std::size_t Lender,
                          MicroTokens Needed, MicroTokens Extra,
                          base::TimePoint Now) {
  Borrowing &Current = borrowing(OrgAccount, Now);
  messages::LoanAsk Request;
  Request.set_request(m_Context.m_Ids.next());
  Request.set_shard(m_Shard);
  Request.set_data_centre(m_Context.m_Options.m_DataCentre.str());
  Request.set_organisation(OrgAccount.m_Organisation.str());
  Request.set_needed(static_cast<std::uint64_t>(Needed));
  Request.set_extra(static_cast<std::uint64_t>(Extra));
  Current.m_PendingRequest = Request.request();
  Current.m_Requests.push_back({.m_RequestId = Request.request(),
                                .m_Lender = Lender,
                                .m_RequestedAt = Now});
  ++m_Context.m_Counters.m_LoansRequested;
  m_LoanRequests.push_back(
      {.m_DataCentre = Lender, .m_Request = std::move(Request)});
}

void Limiter::borrow(Account &OrgAccount, base::TimePoint Now) {
  if (m_Context.m_DataCentres < 2 ||
      borrowing(OrgAccount, Now).m_PendingRequest)
    return;
  const MicroTokens Available = OrgAccount.available();
  const auto Lender = OrgAccount.m_Borrowing->m_Lenders.chooseLender(
      OneToken - Available, OrgAccount.m_Bucket.slice(), Now);
  if (!Lender)
    return;
  const MicroTokens Missing =
      OneToken * OrgAccount.m_TotalTokensWanted - Available;
  requestLoan(OrgAccount, *Lender, Missing, Missing, Now);
}

void Limiter::rebalance(Account &OrgAccount, base::TimePoint Now) {
  if (m_Context.m_DataCentres < 2 || !canTransfer(Now))
    return;
  OrgAccount.m_Bucket.accrue(Now);
  const Slice &OwnSlice = OrgAccount.m_Bucket.slice();
  const MicroTokens Level = OrgAccount.m_Bucket.level();
  if (Level + OrgAccount.m_Bucket.outstanding() >
      OwnSlice.m_Burst - balanceThreshold(OwnSlice))
    return;
  Borrowing &Current = borrowing(OrgAccount, Now);
  if (Current.m_PendingRequest || Now < Current.m_BalanceNotBefore)
    return;
  const auto Lender = Current.m_Lenders.fullestLender(
      Level + std::max<MicroTokens>(1, OwnSlice.m_Burst / BalanceBurstDivisor),
      OwnSlice, Now);
  if (!Lender)
    return;
  Current.m_BalanceNotBefore = Now + BalanceInterval;
  const MicroTokens Gap =
      Current.m_Lenders.estimatedLevel(*Lender, OwnSlice, Now) - Level;
  const MicroTokens Headroom =
      OwnSlice.m_Burst - Level - OrgAccount.m_Bucket.outstanding();
  requestLoan(OrgAccount, *Lender, 0, std::min(Gap / 2, Headroom), Now);
}

void Limiter::addLoanReport(const Account &OrgAccount,
                            const ReceivedLoan &Loan) {
  messages::UsageReport Report;
  Report.set_organisation(OrgAccount.m_Organisation.str());
  Report.set_grant(Loan.m_Id);
  Report.set_used(static_cast<std::uint64_t>(Loan.m_Used));
  Report.set_returned(static_cast<std::uint64_t>(Loan.m_Returned));
  m_LoanReports.push_back(
      {.m_To = Loan.m_Lender, .m_Report = std::move(Report)});
}

void Limiter::settleReceivedLoans(Account &OrgAccount, base::TimePoint Now) {
  if (!OrgAccount.m_Borrowing)
    return;
  for (ReceivedLoan &Loan : OrgAccount.m_Borrowing->m_ReceivedLoans) {
    if (Now < Loan.m_Deadline) {
      const MicroTokens Taken = OrgAccount.m_Bucket.absorb(Loan.m_Unused, Now);
      Loan.m_Used += Taken;
      Loan.m_Returned += Loan.m_Unused - Taken;
    }
    Loan.m_Unused = 0;
    addLoanReport(OrgAccount, Loan);
  }
  OrgAccount.m_Borrowing->m_ReceivedLoans.clear();
}

void Limiter::expireBorrowing(Account &OrgAccount, base::TimePoint Now) {
  if (!OrgAccount.m_Borrowing)
    return;
  Borrowing &Current = *OrgAccount.m_Borrowing;
  const LimitOptions &Options = m_Context.m_Options;
  std::erase_if(Current.m_Requests, [&](const LoanRequest &Request) {
    const bool TimedOut =
        Now >= Request.m_RequestedAt +
                   RequestTimeoutsPerLoan * Options.m_RequestTimeout;
    if (TimedOut && Current.m_PendingRequest == Request.m_RequestId) {
      Current.m_PendingRequest.reset();
      Current.m_Lenders.onFailure(Request.m_Lender, Now);
    }
    return Now >= Request.m_RequestedAt + Options.m_TokenValidity;
  });
  std::erase_if(Current.m_ReceivedLoans, [&](const ReceivedLoan &Loan) {
    if (Now < Loan.m_Deadline && Loan.m_Unused > 0)
      return false;
    if (Loan.m_Used > 0)
      addLoanReport(OrgAccount, Loan);
    return true;
  });
}

void Limiter::onLoanReport(const messages::UsageReport &Report,
                           base::TimePoint Now) {
  applySettlement(m_OutstandingLoans.report(Report), Now);
}

messages::LoanReply Limiter::onLoanRequest(const messages::LoanAsk &Request,
                                           base::TimePoint Now) {
  for (const messages::UsageReport &Report : Request.reports())
    onLoanReport(Report, Now);
  messages::LoanReply Reply;
  Reply.set_request(Request.request());
  Reply.set_shard(m_Shard);
  Reply.set_data_centre(m_Context.m_Options.m_DataCentre.str());
  Reply.set_organisation(Request.organisation());
  Account *OrgAccount =
      account(base::OrganisationId(Request.organisation()), Now);
  if (OrgAccount == nullptr || !canTransfer(Now))
    return Reply;
  const MicroTokens Level = OrgAccount->m_Bucket.level();
  Reply.set_level(static_cast<std::uint64_t>(Level));
  // When two data centres each lack a fraction of a token, the one whose name
  // comes first gets the loan, so that they don't wait for each other.
  if (!OrgAccount->m_WaitingRequests.empty() &&
      Request.data_centre() >= m_Context.m_Options.m_DataCentre.str())
    return Reply;
  const MicroTokens Needed =
      std::min(Level, static_cast<MicroTokens>(Request.needed()));
  const MicroTokens Extra =
      std::min((Level - Needed) / 2, static_cast<MicroTokens>(Request.extra()));
  const MicroTokens Lent = Needed + Extra;
  if (Lent <= 0)
    return Reply;
  Reply.set_level(static_cast<std::uint64_t>(Level - Lent));
  OrgAccount->m_Bucket.transferOut(Lent, Now);
  Reply.set_loan(m_Context.m_Ids.next());
  Reply.set_lent(static_cast<std::uint64_t>(Lent));
  m_OutstandingLoans.add(Reply.loan(), OrgAccount->m_Bucket, Lent, Now);
  m_Context.m_Counters.m_LentMicroTokens += Lent;
  return Reply;
}

void Limiter::onLoanReply(const base::InstanceId &From,
                          const messages::LoanReply &Reply, std::size_t Lender,
                          base::TimePoint Now) {
  Account *OrgAccount =
      account(base::OrganisationId(Reply.organisation()), Now);
  if (OrgAccount == nullptr || !OrgAccount->m_Borrowing)
    return;
  Borrowing &Current = *OrgAccount->m_Borrowing;
  const auto It =
      std::find_if(Current.m_Requests.begin(), Current.m_Requests.end(),
                   [&](const LoanRequest &Request) {
                     return Request.m_RequestId == Reply.request() &&
                            Request.m_Lender == Lender;
                   });
  if (It == Current.m_Requests.end())
    return;
  const LimitOptions &Options = m_Context.m_Options;
  const base::TimePoint Deadline =
      It->m_RequestedAt +
      shortenedForDrift(Options.m_TokenValidity, Options.m_ClockDrift);
  if (Current.m_PendingRequest == Reply.request())
    Current.m_PendingRequest.reset();
  Current.m_Requests.erase(It);
  const auto Lent = static_cast<MicroTokens>(Reply.lent());
  if (Reply.not_holder())
    Current.m_Lenders.onNotHolder(Lender, Now);
  else
    Current.m_Lenders.onReply(Lender, Lent,
                              static_cast<MicroTokens>(Reply.level()), Now);
  if (Lent > 0 && Now < Deadline) {
    m_Context.m_Counters.m_BorrowedMicroTokens += Lent;
    const MicroTokens Taken = OrgAccount->m_Bucket.absorb(Lent, Now);
    Current.m_ReceivedLoans.push_back({.m_Lender = From,
                                       .m_Id = Reply.loan(),
                                       .m_Unused = Lent - Taken,
                                       .m_Used = Taken,
                                       .m_Returned = 0,
                                       .m_Deadline = Deadline});
  }
  serveWaitingRequests(*OrgAccount, Now);
}

} // namespace psp::limits
