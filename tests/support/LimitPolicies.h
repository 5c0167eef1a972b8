/// \file
/// The ways of dividing a rate over a fleet that the experiment compares.

#ifndef PSP_TESTS_SUPPORT_LIMITPOLICIES_H
#define PSP_TESTS_SUPPORT_LIMITPOLICIES_H

#include "support/LimitsFleet.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace psp::limits::testing {

/// One way of deciding admissions. All run on the clock, the links and the
/// faults of one LimitsFleet.
class Policy {
public:
  explicit Policy(FleetOptions Options) : m_Fleet(std::move(Options)) {}
  virtual ~Policy() = default;

  LimitsFleet &fleet() { return m_Fleet; }
  virtual void setRates(const std::vector<OrganisationRate> &Rates) = 0;
  virtual void admit(std::size_t Node, const base::OrganisationId &Organisation,
                     TrueTime Patience) = 0;
  virtual std::vector<SeenDecision> takeDecisions() = 0;
  virtual std::uint64_t messages() const { return m_Fleet.messages(); }

protected:
  LimitsFleet m_Fleet;
};

/// RateLimits as the product runs it; with all members told to be in one data
/// centre it is one owner for the fleet.
class LimiterPolicy : public Policy {
public:
  using Policy::Policy;

  void setRates(const std::vector<OrganisationRate> &Rates) override {
    for (std::size_t Node = 0; Node < m_Fleet.size(); ++Node)
      m_Fleet.setRates(Node, 1, Rates);
  }
  void admit(std::size_t Node, const base::OrganisationId &Organisation,
             TrueTime Patience) override {
    m_Fleet.admit(Node, Organisation, Patience);
  }
  std::vector<SeenDecision> takeDecisions() override {
    return m_Fleet.takeDecisions();
  }
};

/// Decides at once from buckets, without waiting.
class BucketPolicy : public Policy {
public:
  using Policy::Policy;

  std::vector<SeenDecision> takeDecisions() override {
    return std::exchange(m_Decisions, {});
  }

protected:
  base::TimePoint trueClock() const {
    return base::TimePoint(base::Duration(m_Fleet.now()));
  }
  void decide(std::size_t Node, const base::OrganisationId &Organisation,
              TokenBucket *Bucket) {
    bool Admitted = false;
    if (Bucket != nullptr) {
      Bucket->accrue(trueClock());
      Admitted = Bucket->level() >= OneToken;
      if (Admitted)
        Bucket->use(OneToken, trueClock());
    }
    m_Decisions.push_back(
        {.m_At = m_Fleet.now(),
         .m_Asked = m_Fleet.now(),
         .m_Instance = Node,
         .m_Organisation = Organisation,
         .m_Decision = {.m_Ticket = 0, .m_Admitted = Admitted}});
  }

  std::vector<SeenDecision> m_Decisions;
};

/// Equal static shares. For each data centre they are idealised: its instances
/// share one bucket that answers at once and never fails.
class StaticPolicy : public BucketPolicy {
public:
  StaticPolicy(FleetOptions Options, bool ByInstance)
      : BucketPolicy(std::move(Options)), m_ByInstance(ByInstance) {}

  void setRates(const std::vector<OrganisationRate> &Rates) override {
    std::map<std::string, std::size_t> Owners;
    for (std::size_t Node = 0; Node < m_Fleet.size(); ++Node)
      if (m_Fleet.member(Node).m_IsEntry)
        Owners.emplace(owner(Node), Owners.size());
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
  void admit(std::size_t Node, const base::OrganisationId &Organisation,
             TrueTime /*Patience*/) override {
    decide(Node, Organisation,
           &m_Buckets.at(owner(Node) + "/" + Organisation.str()));
  }
  std::uint64_t messages() const override { return 0; }

private:
  std::string owner(std::size_t Node) const {
    const Member &Each = m_Fleet.member(Node);
    return m_ByInstance ? Each.m_Instance.str() : Each.m_DataCentre.str();
  }

  bool m_ByInstance;
  std::map<std::string, TokenBucket> m_Buckets;
};

/// Shares leased by demand: the instances report arrivals to a coordinator,
/// which shifts shares of rate and burst between them. A share is given on
/// only when its former holder has confirmed the cut or its lease has run out.
class DemandPolicy : public BucketPolicy {
public:
  using BucketPolicy::BucketPolicy;

  void setRates(const std::vector<OrganisationRate> &Rates) override {
    m_Rates = Rates;
    m_Instances.resize(m_Fleet.size());
    m_Fleet.schedule(Period, [this] { period(); });
  }
  void admit(std::size_t Node, const base::OrganisationId &Organisation,
             TrueTime /*Patience*/) override {
    Instance &Here = m_Instances[Node];
    Here.m_Arrivals[Organisation] += 1;
    const auto Found = Here.m_Buckets.find(Organisation);
    const bool Leased =
        Found != Here.m_Buckets.end() && m_Fleet.now() < Here.m_Until;
    decide(Node, Organisation, Leased ? &Found->second : nullptr);
  }
  std::uint64_t messages() const override { return m_Sent; }

private:
  static constexpr TrueTime Period = 100'000;
  static constexpr TrueTime Lease = 1'500'000;
  static constexpr TrueTime Takeover = 3'000'000;

  using Shares = std::map<base::OrganisationId, double>;

  struct Instance {
    Shares m_Arrivals; ///< Smoothed, per period.
    std::map<base::OrganisationId, TokenBucket> m_Buckets;
    TrueTime m_Until = 0;
    // What the coordinator knows of it.
    Shares m_Demand;
    Shares m_InForce; ///< Most that it may count on.
    TrueTime m_LeasedUntil = 0;
  };

  void post(std::size_t From, std::size_t To, std::function<void()> Handle) {
    ++m_Sent;
    if (m_Fleet.isCut(From, To) || !m_Fleet.isUp(From))
      return;
    m_Fleet.schedule(From == To ? 0 : m_Fleet.delay(From, To),
                     [this, To, Handle = std::move(Handle)] {
                       if (m_Fleet.isUp(To))
                         Handle();
                     });
  }

  void period() {
    chooseCoordinator();
    for (std::size_t Node = 0; Node < m_Fleet.size(); ++Node) {
      if (!m_Fleet.member(Node).m_IsEntry)
        continue;
      Instance &Here = m_Instances[Node];
      if (!m_Fleet.isUp(Node)) {
        Here.m_Buckets.clear();
        Here.m_Until = 0;
        continue;
      }
      post(Node, m_Coordinator, [this, Node, Demand = Here.m_Arrivals] {
        m_Instances[Node].m_Demand = Demand;
        assign(Node);
      });
      for (auto &[Organisation, Count] : Here.m_Arrivals)
        Count *= 0.7;
    }
    m_Fleet.schedule(Period, [this] { period(); });
  }

  /// A lost coordinator is replaced once its leases have run out.
  void chooseCoordinator() {
    if (m_Fleet.isUp(m_Coordinator)) {
      m_LostAt = 0;
      return;
    }
    if (m_LostAt == 0)
      m_LostAt = m_Fleet.now();
    if (m_Fleet.now() < m_LostAt + Takeover)
      return;
    while (!m_Fleet.isUp(m_Coordinator) ||
           !m_Fleet.member(m_Coordinator).m_IsEntry)
      m_Coordinator = (m_Coordinator + 1) % m_Fleet.size();
    for (Instance &Each : m_Instances)
      Each.m_InForce.clear();
  }

  void assign(std::size_t Node) {
    Instance &Here = m_Instances[Node];
    Shares Granted;
    for (const OrganisationRate &Rate : m_Rates) {
      const base::OrganisationId &Organisation = Rate.m_Organisation;
      double Demand = 0;
      double Others = 0;
      std::size_t Live = 0;
      for (Instance &Each : m_Instances) {
        if (m_Fleet.now() >= Each.m_LeasedUntil)
          Each.m_InForce.clear();
        Live += Each.m_Demand.empty() ? 0 : 1;
        Demand += Each.m_Demand[Organisation];
        if (&Each != &Here)
          Others += Each.m_InForce[Organisation];
      }
      const double Floor =
          0.2 / static_cast<double>(std::max<std::size_t>(1, Live));
      const double Wanted =
          Demand <= 0 ? Floor * 5
                      : Floor + 0.8 * Here.m_Demand[Organisation] / Demand;
      Granted[Organisation] = std::min(Wanted, std::max(0.0, 1 - Others));
      // A cut counts only once it is confirmed.
      Here.m_InForce[Organisation] =
          std::max(Here.m_InForce[Organisation], Granted[Organisation]);
    }
    Here.m_LeasedUntil = m_Fleet.now() + Lease + 50'000;
    const TrueTime Until = m_Fleet.now() + Lease - 50'000;
    post(m_Coordinator, Node,
         [this, Node, Granted, Until] { apply(Node, Granted, Until); });
  }

  void apply(std::size_t Node, const Shares &Granted, TrueTime Until) {
    Instance &Here = m_Instances[Node];
    Here.m_Until = Until;
    for (const OrganisationRate &Rate : m_Rates) {
      const double Share = Granted.at(Rate.m_Organisation);
      const Slice Next = {
          .m_RatePerSecond =
              static_cast<MicroTokens>(Rate.m_RatePerSecond * Share * OneToken),
          .m_Burst = static_cast<MicroTokens>(Rate.m_Burst * Share * OneToken)};
      const auto Found =
          Here.m_Buckets.try_emplace(Rate.m_Organisation, Next, trueClock())
              .first;
      Found->second.setSlice(Next, trueClock());
    }
    post(Node, m_Coordinator,
         [this, Node, Granted] { m_Instances[Node].m_InForce = Granted; });
  }

  std::vector<OrganisationRate> m_Rates;
  std::vector<Instance> m_Instances;
  std::size_t m_Coordinator = 0;
  TrueTime m_LostAt = 0;
  std::uint64_t m_Sent = 0;
};

} // namespace psp::limits::testing

#endif
