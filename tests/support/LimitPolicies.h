/// \file
/// The policies that the experiment compares: ways to enforce one rate over a
/// fleet.

#ifndef PSP_TESTS_SUPPORT_LIMITPOLICIES_H
#define PSP_TESTS_SUPPORT_LIMITPOLICIES_H

#include "support/LimitsFleet.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace psp::limits::testing {

/// A way to decide admissions. All policies use the clock, the links and the
/// faults of a LimitsFleet.
class Policy {
public:
  explicit Policy(FleetOptions Options) : m_Fleet(std::move(Options)) {}
  virtual ~Policy() = default;

  LimitsFleet &fleet() { return m_Fleet; }
  virtual void setRates(const std::vector<OrganisationRate> &Rates) = 0;
  virtual void admit(std::size_t Instance,
                     const base::OrganisationId &Organisation,
                     TrueTime Timeout) = 0;
  virtual std::vector<ObservedDecision> takeDecisions() = 0;
  virtual std::uint64_t messages() const { return m_Fleet.messages(); }

protected:
  LimitsFleet m_Fleet;
};

/// RateLimits as in the product. If all members are configured with the same
/// data centre, one limiter decides for the whole fleet.
class LimiterPolicy : public Policy {
public:
  using Policy::Policy;

  void setRates(const std::vector<OrganisationRate> &Rates) override {
    for (std::size_t Instance = 0; Instance < m_Fleet.size(); ++Instance)
      m_Fleet.setRates(Instance, 1, Rates);
  }
  void admit(std::size_t Instance, const base::OrganisationId &Organisation,
             TrueTime Timeout) override {
    m_Fleet.admit(Instance, Organisation, Timeout);
  }
  std::vector<ObservedDecision> takeDecisions() override {
    return m_Fleet.takeDecisions();
  }
};

/// Decides at once from token buckets, without waiting.
class BucketPolicy : public Policy {
public:
  using Policy::Policy;

  std::vector<ObservedDecision> takeDecisions() override {
    return std::exchange(m_Decisions, {});
  }

protected:
  base::TimePoint trueClock() const {
    return base::TimePoint(base::Duration(m_Fleet.now()));
  }
  void decide(std::size_t Instance, const base::OrganisationId &Organisation,
              TokenBucket *Bucket) {
    bool Admitted = false;
    if (Bucket != nullptr) {
      Bucket->accrue(trueClock());
      Admitted = Bucket->level() >= OneToken;
      if (Admitted)
        Bucket->consume(OneToken, trueClock());
    }
    m_Decisions.push_back(
        {.m_DecidedAt = m_Fleet.now(),
         .m_RequestedAt = m_Fleet.now(),
         .m_Instance = Instance,
         .m_Organisation = Organisation,
         .m_Decision = {.m_Ticket = 0, .m_Admitted = Admitted}});
  }

  std::vector<ObservedDecision> m_Decisions;
};

/// Equal static shares, for each instance or for each data centre. The latter
/// are idealised: the instances of a data centre share one bucket that answers
/// at once and never fails.
class StaticPolicy : public BucketPolicy {
public:
  StaticPolicy(FleetOptions Options, bool ByInstance)
      : BucketPolicy(std::move(Options)), m_ByInstance(ByInstance) {}

  void setRates(const std::vector<OrganisationRate> &Rates) override {
    std::map<std::string, std::size_t> Owners;
    for (std::size_t Instance = 0; Instance < m_Fleet.size(); ++Instance)
      if (m_Fleet.member(Instance).m_IsEntry)
        Owners.emplace(owner(Instance), Owners.size());
    for (const OrganisationRate &Rate : Rates)
      for (const auto &[Owner, Position] : Owners)
        m_Buckets.emplace(
            Owner + "/" + Rate.m_Organisation.str(),
            TokenBucket(
                {.m_RatePerSecond = shareOf(
                     static_cast<MicroTokens>(Rate.m_RatePerSecond * OneToken),
                     Position, Owners.size()),
                 .m_Burst =
                     shareOf(static_cast<MicroTokens>(Rate.m_Burst * OneToken),
                             Position, Owners.size())},
                trueClock()));
  }
  void admit(std::size_t Instance, const base::OrganisationId &Organisation,
             TrueTime /*Timeout*/) override {
    decide(Instance, Organisation,
           &m_Buckets.at(owner(Instance) + "/" + Organisation.str()));
  }
  std::uint64_t messages() const override { return 0; }

private:
  std::string owner(std::size_t Instance) const {
    const Member &Configured = m_Fleet.member(Instance);
    return m_ByInstance ? Configured.m_Instance.str()
                        : Configured.m_DataCentre.str();
  }

  bool m_ByInstance;
  std::map<std::string, TokenBucket> m_Buckets;
};

/// Shares leased by demand: the instances report arrivals to a coordinator,
/// which moves shares of rate and burst between them. A share is assigned to
/// another instance only when its previous holder has confirmed the reduction
/// or its lease has expired.
class DemandPolicy : public BucketPolicy {
public:
  using BucketPolicy::BucketPolicy;

  void setRates(const std::vector<OrganisationRate> &Rates) override {
    m_Rates = Rates;
    m_Instances.resize(m_Fleet.size());
    m_Fleet.schedule(ReportInterval, [this] { runPeriod(); });
  }
  void admit(std::size_t Instance, const base::OrganisationId &Organisation,
             TrueTime /*Timeout*/) override {
    InstanceState &State = m_Instances[Instance];
    State.m_Arrivals[Organisation] += 1;
    const auto It = State.m_Buckets.find(Organisation);
    const bool Leased =
        It != State.m_Buckets.end() && m_Fleet.now() < State.m_LeaseEnd;
    decide(Instance, Organisation, Leased ? &It->second : nullptr);
  }
  std::uint64_t messages() const override { return m_MessageCount; }

private:
  static constexpr TrueTime ReportInterval = 100'000;
  static constexpr TrueTime LeaseDuration = 1'500'000;
  static constexpr TrueTime TakeoverDelay = 3'000'000;

  using Shares = std::map<base::OrganisationId, double>;

  struct InstanceState {
    Shares m_Arrivals; ///< Smoothed, per period.
    std::map<base::OrganisationId, TokenBucket> m_Buckets;
    TrueTime m_LeaseEnd = 0;
    // The coordinator's state for this instance.
    Shares m_Demand;
    Shares m_InForce; ///< Maximum that the instance may use.
    TrueTime m_GrantedUntil = 0;
  };

  void send(std::size_t From, std::size_t To, std::function<void()> Callback) {
    ++m_MessageCount;
    if (m_Fleet.isPartitioned(From, To) || !m_Fleet.isUp(From))
      return;
    m_Fleet.schedule(From == To ? 0 : m_Fleet.delay(From, To),
                     [this, To, Callback = std::move(Callback)] {
                       if (m_Fleet.isUp(To))
                         Callback();
                     });
  }

  void runPeriod() {
    chooseCoordinator();
    for (std::size_t Instance = 0; Instance < m_Fleet.size(); ++Instance) {
      if (!m_Fleet.member(Instance).m_IsEntry)
        continue;
      InstanceState &State = m_Instances[Instance];
      if (!m_Fleet.isUp(Instance)) {
        State.m_Buckets.clear();
        State.m_LeaseEnd = 0;
        continue;
      }
      send(Instance, m_Coordinator,
           [this, Instance, Demand = State.m_Arrivals] {
             m_Instances[Instance].m_Demand = Demand;
             assign(Instance);
           });
      for (auto &[Organisation, Count] : State.m_Arrivals)
        Count *= 0.7;
    }
    m_Fleet.schedule(ReportInterval, [this] { runPeriod(); });
  }

  /// Replaces a lost coordinator once its leases have expired.
  void chooseCoordinator() {
    if (m_Fleet.isUp(m_Coordinator)) {
      m_LostAt = 0;
      return;
    }
    if (m_LostAt == 0)
      m_LostAt = m_Fleet.now();
    if (m_Fleet.now() < m_LostAt + TakeoverDelay)
      return;
    while (!m_Fleet.isUp(m_Coordinator) ||
           !m_Fleet.member(m_Coordinator).m_IsEntry)
      m_Coordinator = (m_Coordinator + 1) % m_Fleet.size();
    for (InstanceState &State : m_Instances)
      State.m_InForce.clear();
  }

  void assign(std::size_t Instance) {
    InstanceState &State = m_Instances[Instance];
    Shares Granted;
    for (const OrganisationRate &Rate : m_Rates) {
      const base::OrganisationId &Organisation = Rate.m_Organisation;
      double Demand = 0;
      double HeldByOthers = 0;
      std::size_t LiveCount = 0;
      for (InstanceState &Other : m_Instances) {
        if (m_Fleet.now() >= Other.m_GrantedUntil)
          Other.m_InForce.clear();
        LiveCount += Other.m_Demand.empty() ? 0 : 1;
        Demand += Other.m_Demand[Organisation];
        if (&Other != &State)
          HeldByOthers += Other.m_InForce[Organisation];
      }
      const double MinShare =
          0.2 / static_cast<double>(std::max<std::size_t>(1, LiveCount));
      const double Wanted =
          Demand <= 0 ? MinShare * 5
                      : MinShare + 0.8 * State.m_Demand[Organisation] / Demand;
      Granted[Organisation] = std::min(Wanted, std::max(0.0, 1 - HeldByOthers));
      // A reduction counts only once it is confirmed.
      State.m_InForce[Organisation] =
          std::max(State.m_InForce[Organisation], Granted[Organisation]);
    }
    State.m_GrantedUntil = m_Fleet.now() + LeaseDuration + 50'000;
    const TrueTime LeaseEnd = m_Fleet.now() + LeaseDuration - 50'000;
    send(m_Coordinator, Instance, [this, Instance, Granted, LeaseEnd] {
      apply(Instance, Granted, LeaseEnd);
    });
  }

  void apply(std::size_t Instance, const Shares &Granted, TrueTime LeaseEnd) {
    InstanceState &State = m_Instances[Instance];
    State.m_LeaseEnd = LeaseEnd;
    for (const OrganisationRate &Rate : m_Rates) {
      const double Share = Granted.at(Rate.m_Organisation);
      const Slice NextSlice = {
          .m_RatePerSecond =
              static_cast<MicroTokens>(Rate.m_RatePerSecond * Share * OneToken),
          .m_Burst = static_cast<MicroTokens>(Rate.m_Burst * Share * OneToken)};
      const auto It =
          State.m_Buckets
              .try_emplace(Rate.m_Organisation, NextSlice, trueClock())
              .first;
      It->second.setSlice(NextSlice, trueClock());
    }
    send(Instance, m_Coordinator, [this, Instance, Granted] {
      m_Instances[Instance].m_InForce = Granted;
    });
  }

  std::vector<OrganisationRate> m_Rates;
  std::vector<InstanceState> m_Instances;
  std::size_t m_Coordinator = 0;
  TrueTime m_LostAt = 0;
  std::uint64_t m_MessageCount = 0;
};

} // namespace psp::limits::testing

#endif
