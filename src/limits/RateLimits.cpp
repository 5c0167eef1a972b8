#include "limits/RateLimits.h"

#include "base/Hash.h"

#include <utility>

namespace psp::limits {
namespace {

/// Number of requests to one data centre before the next one is tried, since
/// the first reply may name another holder.
constexpr std::size_t AttemptsPerDataCentre = 2;

std::uint64_t incarnationOf(const LimitOptions &Options,
                            base::TimePoint Start) {
  if (Options.m_Incarnation != 0)
    return Options.m_Incarnation;
  return static_cast<std::uint64_t>(Start.time_since_epoch().count());
}

} // namespace

RateLimits::RateLimits(LimitOptions Options, base::TimePoint Start)
    : m_Options(std::move(Options)), m_Topology(m_Options),
      m_Rates(m_Topology.ownPosition(), m_Topology.dataCentres().size(),
              m_Options.m_ClockDrift),
      m_Ids(m_Options.m_Self, incarnationOf(m_Options, Start)),
      m_Leases(m_Options, m_Topology, Start),
      m_Client(m_Options, *this, m_Ids, m_Counters) {}

void RateLimits::setRates(std::uint64_t ConfigurationNumber,
                          const std::vector<OrganisationRate> &Rates,
                          base::TimePoint Now) {
  if (!m_Rates.set(ConfigurationNumber, Rates))
    return;
  for (auto &[Shard, Current] : m_Limiters)
    Current->onRatesChanged(Now);
}

void RateLimits::setLivePeers(const std::vector<base::InstanceId> &Live,
                              base::TimePoint /*Now*/) {
  m_Topology.setLivePeers(Live);
}

std::optional<base::InstanceId> RateLimits::limiter(std::uint32_t Shard,
                                                    std::size_t Attempt,
                                                    base::TimePoint Now) {
  const auto &DataCentres = m_Topology.dataCentres();
  const std::size_t FirstStep = Attempt / AttemptsPerDataCentre;
  for (std::size_t Step = FirstStep; Step < DataCentres.size(); ++Step) {
    const std::size_t Position =
        (m_Topology.ownPosition() + Step) % DataCentres.size();
    if (auto Holder = m_Leases.limiter(DataCentres[Position], Shard, Now))
      return Holder;
  }
  return std::nullopt;
}

Limiter *RateLimits::localLimiter(std::uint32_t Shard, base::TimePoint Now) {
  if (m_Leases.phase(Shard) != LeasePhase::Holding ||
      !m_Leases.holds(Shard, Now))
    return nullptr;
  const auto It = m_Limiters.find(Shard);
  return It == m_Limiters.end() ? nullptr : It->second.get();
}

std::uint32_t RateLimits::shardOf(const std::string &Organisation) const {
  return static_cast<std::uint32_t>(base::stableHash(Organisation) %
                                    m_Options.m_Shards);
}

void RateLimits::admit(std::uint64_t Ticket,
                       const base::OrganisationId &Organisation,
                       base::TimePoint Deadline, base::TimePoint Now,
                       messages::Outbox &Out) {
  Limiter *Local = localLimiter(m_Client.shardOf(Organisation), Now);
  if (Local != nullptr && Now < Deadline &&
      Local->tryConsume(Organisation, Now)) {
    m_Client.decide({.m_Ticket = Ticket, .m_Admitted = true});
    return;
  }
  m_Client.admit(Ticket, Organisation, Deadline, Now);
  dispatch(Now, Out);
}

void RateLimits::onMessage(const base::InstanceId &From,
                           const messages::LimitMessage &Message,
                           base::TimePoint Now, messages::Outbox &Out) {
  using Body = messages::LimitMessage;
  switch (Message.body_case()) {
  case Body::kLeaseAsk:
    m_Leases.onRequest(From, Message.lease_ask(), Now, Out);
    break;
  case Body::kLeaseReply:
    m_Leases.onReply(From, Message.lease_reply(), Now);
    break;
  case Body::kLeaseRelease:
    m_Leases.onRelease(From, Message.lease_release());
    break;
  case Body::kTokenAsk:
    onTokenRequest(From, Message.token_ask(), Now, Out);
    break;
  case Body::kTokenReply:
    onTokenReply(From, Message.token_reply(), Now);
    break;
  case Body::kTokenReports:
    for (const auto &Report : Message.token_reports().reports())
      if (const auto It = m_Limiters.find(shardOf(Report.organisation()));
          It != m_Limiters.end())
        It->second->onReport(Report, Now);
    break;
  case Body::kLoanAsk:
    onLoanRequest(From, Message.loan_ask(), Now, Out);
    break;
  case Body::kLoanReply:
    onLoanReply(From, Message.loan_reply(), Now);
    break;
  case Body::kLoanReports:
    if (const auto It = m_Limiters.find(Message.loan_reports().shard());
        It != m_Limiters.end())
      for (const auto &Report : Message.loan_reports().reports())
        It->second->onLoanReport(Report, Now);
    break;
  case Body::BODY_NOT_SET:
    break;
  }
  applyLeaseChanges(Now);
  dispatch(Now, Out);
}

void RateLimits::onTokenRequest(const base::InstanceId &From,
                                const messages::TokenAsk &Request,
                                base::TimePoint Now, messages::Outbox &Out) {
  const std::uint32_t Shard = shardOf(Request.organisation());
  Limiter *Local = localLimiter(Shard, Now);
  if (Local != nullptr && Local->canTransfer(Now)) {
    Local->onRequest(From, Request, Now);
    return;
  }
  messages::TokenReply &Reply =
      *Out.add(From).mutable_limit()->mutable_token_reply();
  Reply.set_request(Request.request());
  Reply.set_organisation(Request.organisation());
  Reply.set_not_holder(true);
  if (const auto Holder = m_Leases.limiter(m_Options.m_DataCentre, Shard, Now);
      Holder && *Holder != m_Options.m_Self)
    Reply.set_holder(Holder->str());
}

void RateLimits::recordRedirect(const base::InstanceId &From,
                                std::uint32_t Shard, const std::string &Holder,
                                base::TimePoint Now) {
  const auto Position = m_Topology.positionOf(From);
  if (Position)
    m_Leases.recordHolder(m_Topology.dataCentres()[*Position], Shard,
                          base::InstanceId(Holder),
                          Now + m_Options.m_LeaseDuration);
}

void RateLimits::onTokenReply(const base::InstanceId &From,
                              const messages::TokenReply &Reply,
                              base::TimePoint Now) {
  if (Reply.not_holder())
    recordRedirect(From, shardOf(Reply.organisation()), Reply.holder(), Now);
  m_Client.onReply(From, Reply, Now);
}

void RateLimits::onLoanRequest(const base::InstanceId &From,
                               const messages::LoanAsk &Request,
                               base::TimePoint Now, messages::Outbox &Out) {
  Limiter *Local = Request.shard() < m_Options.m_Shards
                       ? localLimiter(Request.shard(), Now)
                       : nullptr;
  messages::LoanReply &Reply =
      *Out.add(From).mutable_limit()->mutable_loan_reply();
  if (Local != nullptr) {
    Reply = Local->onLoanRequest(Request, Now);
    return;
  }
  Reply.set_request(Request.request());
  Reply.set_shard(Request.shard());
  Reply.set_data_centre(m_Options.m_DataCentre.str());
  Reply.set_organisation(Request.organisation());
  Reply.set_not_holder(true);
  if (Request.shard() >= m_Options.m_Shards || !m_Options.m_IsEntry)
    return;
  if (const auto Holder =
          m_Leases.limiter(m_Options.m_DataCentre, Request.shard(), Now);
      Holder && *Holder != m_Options.m_Self)
    Reply.set_holder(Holder->str());
}

void RateLimits::onLoanReply(const base::InstanceId &From,
                             const messages::LoanReply &Reply,
                             base::TimePoint Now) {
  if (Reply.not_holder())
    recordRedirect(From, Reply.shard(), Reply.holder(), Now);
  const auto Lender = m_Topology.positionOf(From);
  const auto It = m_Limiters.find(Reply.shard());
  if (Lender && It != m_Limiters.end())
    It->second->onLoanReply(From, Reply, *Lender, Now);
}

void RateLimits::onTick(base::TimePoint Now, messages::Outbox &Out) {
  m_Leases.onTick(Now, Out);
  applyLeaseChanges(Now);
  for (auto &[Shard, Current] : m_Limiters)
    Current->onTick(Now);
  m_Client.onTick(Now);
  dispatch(Now, Out);
  flushReports(Out);
  drainLimiters(Out);
  applyLeaseChanges(Now);
}

void RateLimits::release(base::TimePoint Now, messages::Outbox &Out) {
  m_Leases.stop(Out);
  for (auto &[Shard, Current] : m_Limiters)
    Current->redirectWaitingRequests();
  dispatch(Now, Out);
}

void RateLimits::drainLimiters(messages::Outbox &Out) {
  for (auto &[Shard, Current] : m_Limiters)
    if (m_Leases.phase(Shard) == LeasePhase::Draining && Current->isSettled())
      m_Leases.release(Shard, Out);
}

void RateLimits::applyLeaseChanges(base::TimePoint Now) {
  for (const LeaseChange &Change : m_Leases.takeChanges()) {
    if (Change.m_Acquired) {
      ++m_Counters.m_LeasesAcquired;
      m_Limiters[Change.m_Shard] = std::make_unique<Limiter>(
          LimiterContext{.m_Options = m_Options,
                         .m_Rates = m_Rates,
                         .m_DataCentres = m_Topology.dataCentres().size(),
                         .m_OwnPosition = m_Topology.ownPosition(),
                         .m_Ids = m_Ids,
                         .m_Counters = m_Counters},
          Change.m_Shard, Now);
    } else {
      ++m_Counters.m_LeasesLost;
      m_Limiters.erase(Change.m_Shard);
    }
  }
  for (auto &[Shard, Current] : m_Limiters)
    Current->setLeaseExpiry(m_Leases.expiresAt(Shard));
}

void RateLimits::dispatch(base::TimePoint Now, messages::Outbox &Out) {
  bool Dispatched = true;
  while (Dispatched) {
    Dispatched = dispatchFromClient(Now, Out);
    Dispatched = dispatchFromLimiters(Now, Out) || Dispatched;
  }
}

bool RateLimits::dispatchFromClient(base::TimePoint Now,
                                    messages::Outbox &Out) {
  bool Dispatched = false;
  for (OutgoingUsageReport &Outgoing : m_Client.takeReports()) {
    if (Outgoing.m_To != m_Options.m_Self) {
      *m_TokenReports[Outgoing.m_To].add_reports() =
          std::move(Outgoing.m_Report);
      continue;
    }
    const auto It = m_Limiters.find(m_Client.shardOf(
        base::OrganisationId(Outgoing.m_Report.organisation())));
    if (It != m_Limiters.end())
      It->second->onReport(Outgoing.m_Report, Now);
  }
  for (OutgoingTokenRequest &Outgoing : m_Client.takeTokenRequests()) {
    const std::uint32_t Shard = m_Client.shardOf(
        base::OrganisationId(Outgoing.m_Request.organisation()));
    Limiter *Local = localLimiter(Shard, Now);
    if (Outgoing.m_To == m_Options.m_Self && Local != nullptr) {
      Local->onRequest(Outgoing.m_To, Outgoing.m_Request, Now);
      Dispatched = true;
      continue;
    }
    const auto Reports = m_TokenReports.find(Outgoing.m_To);
    if (Reports != m_TokenReports.end()) {
      Outgoing.m_Request.mutable_reports()->Swap(
          Reports->second.mutable_reports());
      m_TokenReports.erase(Reports);
    }
    *Out.add(Outgoing.m_To).mutable_limit()->mutable_token_ask() =
        std::move(Outgoing.m_Request);
  }
  return Dispatched;
}

bool RateLimits::dispatchFromLimiters(base::TimePoint Now,
                                      messages::Outbox &Out) {
  bool Dispatched = false;
  for (auto &[Shard, Current] : m_Limiters) {
    for (OutgoingTokenReply &Outgoing : Current->takeReplies()) {
      if (Outgoing.m_To == m_Options.m_Self) {
        m_Client.onReply(Outgoing.m_To, Outgoing.m_Reply, Now);
        Dispatched = true;
        continue;
      }
      *Out.add(Outgoing.m_To).mutable_limit()->mutable_token_reply() =
          std::move(Outgoing.m_Reply);
    }
    for (OutgoingLoanReport &Outgoing : Current->takeLoanReports())
      *m_LoanReports[{Outgoing.m_To, Shard}].add_reports() =
          std::move(Outgoing.m_Report);
    for (OutgoingLoanRequest &Outgoing : Current->takeLoanRequests()) {
      sendLoanRequest(Shard, std::move(Outgoing), Now, Out);
      Dispatched = true;
    }
  }
  return Dispatched;
}

void RateLimits::sendLoanRequest(std::uint32_t Shard,
                                 OutgoingLoanRequest Outgoing,
                                 base::TimePoint Now, messages::Outbox &Out) {
  const auto Lender = m_Leases.limiter(
      m_Topology.dataCentres()[Outgoing.m_DataCentre], Shard, Now);
  if (!Lender) {
    messages::LoanReply EmptyReply;
    EmptyReply.set_request(Outgoing.m_Request.request());
    EmptyReply.set_organisation(Outgoing.m_Request.organisation());
    m_Limiters.at(Shard)->onLoanReply({}, EmptyReply, Outgoing.m_DataCentre,
                                      Now);
    return;
  }
  const auto Reports = m_LoanReports.find({*Lender, Shard});
  if (Reports != m_LoanReports.end()) {
    Outgoing.m_Request.mutable_reports()->Swap(
        Reports->second.mutable_reports());
    m_LoanReports.erase(Reports);
  }
  *Out.add(*Lender).mutable_limit()->mutable_loan_ask() =
      std::move(Outgoing.m_Request);
}

void RateLimits::flushReports(messages::Outbox &Out) {
  for (auto &[To, Reports] : m_TokenReports)
    *Out.add(To).mutable_limit()->mutable_token_reports() = std::move(Reports);
  m_TokenReports.clear();
  for (auto &[LenderAndShard, Reports] : m_LoanReports) {
    Reports.set_shard(LenderAndShard.second);
    *Out.add(LenderAndShard.first).mutable_limit()->mutable_loan_reports() =
        std::move(Reports);
  }
  m_LoanReports.clear();
}

std::vector<HeldLease> RateLimits::heldLeases(base::TimePoint Now) const {
  std::vector<HeldLease> Leases;
  for (const auto &[Shard, Current] : m_Limiters)
    Leases.push_back({.m_Shard = Shard,
                      .m_Remaining = m_Leases.expiresAt(Shard) - Now,
                      .m_OrganisationCount = Current->accounts()});
  return Leases;
}

MicroTokens RateLimits::level(const base::OrganisationId &Organisation) const {
  const auto It = m_Limiters.find(shardOf(Organisation.str()));
  return It == m_Limiters.end() ? 0 : It->second->level(Organisation);
}

} // namespace psp::limits
