#include "limits/RateLimits.h"

#include "base/Hash.h"

#include <utility>

namespace psp::limits {
namespace {

/// A data centre is asked this often before the next one, since the first
/// answer may name another holder.
constexpr std::size_t AttemptsPerDataCentre = 2;

std::uint64_t incarnationOf(const LimitOptions &Options,
                            base::TimePoint Start) {
  if (Options.m_Incarnation != 0)
    return Options.m_Incarnation;
  return static_cast<std::uint64_t>(Start.time_since_epoch().count());
}

} // namespace

RateLimits::RateLimits(LimitOptions Options, base::TimePoint Start)
    : m_Options(std::move(Options)), m_Fleet(m_Options),
      m_Rates(m_Fleet.ownPosition(), m_Fleet.dataCentres().size(),
              m_Options.m_ClockDrift),
      m_Ids(m_Options.m_Self, incarnationOf(m_Options, Start)),
      m_Leases(m_Options, m_Fleet, Start),
      m_Client(m_Options, *this, m_Ids, m_Counters) {}

void RateLimits::setRates(std::uint64_t Number,
                          const std::vector<OrganisationRate> &Rates,
                          base::TimePoint Now) {
  if (!m_Rates.set(Number, Rates))
    return;
  for (auto &[Shard, Each] : m_Limiters)
    Each->onRatesChanged(Now);
}

void RateLimits::setReachable(const std::vector<base::InstanceId> &Live,
                              base::TimePoint /*Now*/) {
  m_Fleet.setReachable(Live);
}

std::optional<base::InstanceId> RateLimits::limiter(std::uint32_t Shard,
                                                    std::size_t Attempt,
                                                    base::TimePoint Now) {
  const auto &DataCentres = m_Fleet.dataCentres();
  const std::size_t First = Attempt / AttemptsPerDataCentre;
  for (std::size_t Step = First; Step < DataCentres.size(); ++Step) {
    const std::size_t Position =
        (m_Fleet.ownPosition() + Step) % DataCentres.size();
    if (auto Found = m_Leases.limiter(DataCentres[Position], Shard, Now))
      return Found;
  }
  return std::nullopt;
}

Limiter *RateLimits::localLimiter(std::uint32_t Shard, base::TimePoint Now) {
  if (m_Leases.phase(Shard) != LeasePhase::Holding ||
      !m_Leases.holds(Shard, Now))
    return nullptr;
  const auto Found = m_Limiters.find(Shard);
  return Found == m_Limiters.end() ? nullptr : Found->second.get();
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
  if (Local != nullptr && Now < Deadline && Local->tryUse(Organisation, Now)) {
    m_Client.decide({.m_Ticket = Ticket, .m_Admitted = true});
    return;
  }
  m_Client.admit(Ticket, Organisation, Deadline, Now);
  pump(Now, Out);
}

void RateLimits::onMessage(const base::InstanceId &From,
                           const messages::LimitMessage &Message,
                           base::TimePoint Now, messages::Outbox &Out) {
  using Body = messages::LimitMessage;
  switch (Message.body_case()) {
  case Body::kLeaseAsk:
    m_Leases.onAsk(From, Message.lease_ask(), Now, Out);
    break;
  case Body::kLeaseReply:
    m_Leases.onReply(From, Message.lease_reply(), Now);
    break;
  case Body::kLeaseRelease:
    m_Leases.onRelease(From, Message.lease_release());
    break;
  case Body::kTokenAsk:
    onTokenAsk(From, Message.token_ask(), Now, Out);
    break;
  case Body::kTokenReply:
    onTokenReply(From, Message.token_reply(), Now);
    break;
  case Body::kTokenReports:
    for (const auto &Each : Message.token_reports().reports())
      if (const auto Found = m_Limiters.find(shardOf(Each.organisation()));
          Found != m_Limiters.end())
        Found->second->onReport(Each, Now);
    break;
  case Body::kLoanAsk:
    onLoanAsk(From, Message.loan_ask(), Now, Out);
    break;
  case Body::kLoanReply:
    onLoanReply(From, Message.loan_reply(), Now);
    break;
  case Body::kLoanReports:
    if (const auto Found = m_Limiters.find(Message.loan_reports().shard());
        Found != m_Limiters.end())
      for (const auto &Each : Message.loan_reports().reports())
        Found->second->onLoanReport(Each, Now);
    break;
  case Body::BODY_NOT_SET:
    break;
  }
  applyLeaseChanges(Now);
  pump(Now, Out);
}

void RateLimits::onTokenAsk(const base::InstanceId &From,
                            const messages::TokenAsk &Ask, base::TimePoint Now,
                            messages::Outbox &Out) {
  const std::uint32_t Shard = shardOf(Ask.organisation());
  Limiter *Local = localLimiter(Shard, Now);
  if (Local != nullptr && Local->canGive(Now)) {
    Local->onAsk(From, Ask, Now);
    return;
  }
  messages::TokenReply &Reply =
      *Out.add(From).mutable_limit()->mutable_token_reply();
  Reply.set_request(Ask.request());
  Reply.set_organisation(Ask.organisation());
  Reply.set_not_holder(true);
  if (const auto Holder = m_Leases.limiter(m_Options.m_DataCentre, Shard, Now);
      Holder && *Holder != m_Options.m_Self)
    Reply.set_holder(Holder->str());
}

void RateLimits::noteRedirect(const base::InstanceId &From, std::uint32_t Shard,
                              const std::string &Holder, base::TimePoint Now) {
  const auto Position = m_Fleet.positionOf(From);
  if (Position)
    m_Leases.noteHolder(m_Fleet.dataCentres()[*Position], Shard,
                        base::InstanceId(Holder), Now + m_Options.m_Lease);
}

void RateLimits::onTokenReply(const base::InstanceId &From,
                              const messages::TokenReply &Reply,
                              base::TimePoint Now) {
  if (Reply.not_holder())
    noteRedirect(From, shardOf(Reply.organisation()), Reply.holder(), Now);
  m_Client.onReply(From, Reply, Now);
}

void RateLimits::onLoanAsk(const base::InstanceId &From,
                           const messages::LoanAsk &Ask, base::TimePoint Now,
                           messages::Outbox &Out) {
  Limiter *Local = Ask.shard() < m_Options.m_Shards
                       ? localLimiter(Ask.shard(), Now)
                       : nullptr;
  messages::LoanReply &Reply =
      *Out.add(From).mutable_limit()->mutable_loan_reply();
  if (Local != nullptr) {
    Reply = Local->onLoanAsk(Ask, Now);
    return;
  }
  Reply.set_request(Ask.request());
  Reply.set_shard(Ask.shard());
  Reply.set_data_centre(m_Options.m_DataCentre.str());
  Reply.set_organisation(Ask.organisation());
  Reply.set_not_holder(true);
  if (Ask.shard() >= m_Options.m_Shards || !m_Options.m_IsEntry)
    return;
  if (const auto Holder =
          m_Leases.limiter(m_Options.m_DataCentre, Ask.shard(), Now);
      Holder && *Holder != m_Options.m_Self)
    Reply.set_holder(Holder->str());
}

void RateLimits::onLoanReply(const base::InstanceId &From,
                             const messages::LoanReply &Reply,
                             base::TimePoint Now) {
  if (Reply.not_holder())
    noteRedirect(From, Reply.shard(), Reply.holder(), Now);
  const auto Lender = m_Fleet.positionOf(From);
  const auto Found = m_Limiters.find(Reply.shard());
  if (Lender && Found != m_Limiters.end())
    Found->second->onLoanReply(From, Reply, *Lender, Now);
}

void RateLimits::onTick(base::TimePoint Now, messages::Outbox &Out) {
  m_Leases.onTick(Now, Out);
  applyLeaseChanges(Now);
  for (auto &[Shard, Each] : m_Limiters)
    Each->onTick(Now);
  m_Client.onTick(Now);
  pump(Now, Out);
  flushReports(Out);
  drainLimiters(Out);
  applyLeaseChanges(Now);
}

void RateLimits::release(base::TimePoint Now, messages::Outbox &Out) {
  m_Leases.stop(Out);
  for (auto &[Shard, Each] : m_Limiters)
    Each->dismissWaiters();
  pump(Now, Out);
}

void RateLimits::drainLimiters(messages::Outbox &Out) {
  for (auto &[Shard, Each] : m_Limiters)
    if (m_Leases.phase(Shard) == LeasePhase::Draining && Each->isSettled())
      m_Leases.release(Shard, Out);
}

void RateLimits::applyLeaseChanges(base::TimePoint Now) {
  for (const LeaseChange &Each : m_Leases.takeChanges()) {
    if (Each.m_Won) {
      ++m_Counters.m_LeasesWon;
      m_Limiters[Each.m_Shard] = std::make_unique<Limiter>(
          LimiterContext{.m_Options = m_Options,
                         .m_Rates = m_Rates,
                         .m_DataCentres = m_Fleet.dataCentres().size(),
                         .m_OwnPosition = m_Fleet.ownPosition(),
                         .m_Ids = m_Ids,
                         .m_Counters = m_Counters},
          Each.m_Shard, Now);
    } else {
      ++m_Counters.m_LeasesLost;
      m_Limiters.erase(Each.m_Shard);
    }
  }
  for (auto &[Shard, Each] : m_Limiters)
    Each->setLeaseEnd(m_Leases.end(Shard));
}

void RateLimits::pump(base::TimePoint Now, messages::Outbox &Out) {
  bool Busy = true;
  while (Busy) {
    Busy = pumpClient(Now, Out);
    Busy = pumpLimiters(Now, Out) || Busy;
  }
}

bool RateLimits::pumpClient(base::TimePoint Now, messages::Outbox &Out) {
  bool Busy = false;
  for (UsageReportTo &Each : m_Client.takeReports()) {
    if (Each.m_To != m_Options.m_Self) {
      *m_TokenReports[Each.m_To].add_reports() = std::move(Each.m_Report);
      continue;
    }
    const auto Found = m_Limiters.find(
        m_Client.shardOf(base::OrganisationId(Each.m_Report.organisation())));
    if (Found != m_Limiters.end())
      Found->second->onReport(Each.m_Report, Now);
  }
  for (TokenAskTo &Each : m_Client.takeAsks()) {
    const std::uint32_t Shard =
        m_Client.shardOf(base::OrganisationId(Each.m_Ask.organisation()));
    Limiter *Local = localLimiter(Shard, Now);
    if (Each.m_To == m_Options.m_Self && Local != nullptr) {
      Local->onAsk(Each.m_To, Each.m_Ask, Now);
      Busy = true;
      continue;
    }
    const auto Reports = m_TokenReports.find(Each.m_To);
    if (Reports != m_TokenReports.end()) {
      Each.m_Ask.mutable_reports()->Swap(Reports->second.mutable_reports());
      m_TokenReports.erase(Reports);
    }
    *Out.add(Each.m_To).mutable_limit()->mutable_token_ask() =
        std::move(Each.m_Ask);
  }
  return Busy;
}

bool RateLimits::pumpLimiters(base::TimePoint Now, messages::Outbox &Out) {
  bool Busy = false;
  for (auto &[Shard, Current] : m_Limiters) {
    for (TokenReplyTo &Each : Current->takeReplies()) {
      if (Each.m_To == m_Options.m_Self) {
        m_Client.onReply(Each.m_To, Each.m_Reply, Now);
        Busy = true;
        continue;
      }
      *Out.add(Each.m_To).mutable_limit()->mutable_token_reply() =
          std::move(Each.m_Reply);
    }
    for (LoanReportTo &Each : Current->takeLoanReports())
      *m_LoanReports[{Each.m_To, Shard}].add_reports() =
          std::move(Each.m_Report);
    for (LoanAskTo &Each : Current->takeLoanAsks()) {
      sendLoanAsk(Shard, std::move(Each), Now, Out);
      Busy = true;
    }
  }
  return Busy;
}

void RateLimits::sendLoanAsk(std::uint32_t Shard, LoanAskTo Each,
                             base::TimePoint Now, messages::Outbox &Out) {
  const auto Lender =
      m_Leases.limiter(m_Fleet.dataCentres()[Each.m_DataCentre], Shard, Now);
  if (!Lender) {
    messages::LoanReply Nothing;
    Nothing.set_request(Each.m_Ask.request());
    Nothing.set_organisation(Each.m_Ask.organisation());
    m_Limiters.at(Shard)->onLoanReply({}, Nothing, Each.m_DataCentre, Now);
    return;
  }
  const auto Reports = m_LoanReports.find({*Lender, Shard});
  if (Reports != m_LoanReports.end()) {
    Each.m_Ask.mutable_reports()->Swap(Reports->second.mutable_reports());
    m_LoanReports.erase(Reports);
  }
  *Out.add(*Lender).mutable_limit()->mutable_loan_ask() = std::move(Each.m_Ask);
}

void RateLimits::flushReports(messages::Outbox &Out) {
  for (auto &[To, Reports] : m_TokenReports)
    *Out.add(To).mutable_limit()->mutable_token_reports() = std::move(Reports);
  m_TokenReports.clear();
  for (auto &[Where, Reports] : m_LoanReports) {
    Reports.set_shard(Where.second);
    *Out.add(Where.first).mutable_limit()->mutable_loan_reports() =
        std::move(Reports);
  }
  m_LoanReports.clear();
}

std::vector<HeldLease> RateLimits::heldLeases(base::TimePoint Now) const {
  std::vector<HeldLease> Held;
  for (const auto &[Shard, Each] : m_Limiters)
    Held.push_back({.m_Shard = Shard,
                    .m_Remaining = m_Leases.end(Shard) - Now,
                    .m_Organisations = Each->accounts()});
  return Held;
}

MicroTokens RateLimits::level(const base::OrganisationId &Organisation) const {
  const auto Found = m_Limiters.find(shardOf(Organisation.str()));
  return Found == m_Limiters.end() ? 0 : Found->second->level(Organisation);
}

} // namespace psp::limits
