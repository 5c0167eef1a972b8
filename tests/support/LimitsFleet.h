/// \file
/// An event-driven simulation of a fleet with RateLimits: instances with
/// drifting clocks, messages with delay, loss and duplication, crashes, freezes
/// and network partitions. It records every decision in true time. A run is
/// determined by its seed.

#ifndef PSP_TESTS_SUPPORT_LIMITSFLEET_H
#define PSP_TESTS_SUPPORT_LIMITSFLEET_H

#include "limits/RateLimits.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace psp::limits::testing {

/// Microseconds of true time since the start of the run.
using TrueTime = std::int64_t;

struct LinkOptions {
  TrueTime m_LocalDelay = 200;   ///< One way, within a data centre.
  TrueTime m_RemoteDelay = 1500; ///< One way, between data centres.
  double m_Jitter = 0.2;         ///< Maximum addition, relative to the delay.
  double m_LossProbability = 0;
  double m_DuplicateProbability = 0;
};

struct FleetOptions {
  std::uint64_t m_Seed = 1;
  std::vector<Member> m_Members; ///< The real location of the instances.
  /// The members that the instances are configured with, if they differ from
  /// m_Members.
  std::vector<Member> m_ConfiguredMembers = {};
  LimitOptions m_Limits; ///< Fields of the instance itself are filled in.
  LinkOptions m_Links;
  TrueTime m_TickInterval = 5000;
  double m_MaxClockDrift = 0; ///< Maximum relative error of a clock.
};

/// A decision as an outside observer sees it, in true time.
struct ObservedDecision {
  TrueTime m_DecidedAt = 0;
  TrueTime m_RequestedAt = 0;
  std::size_t m_Instance = 0;
  base::OrganisationId m_Organisation;
  LimitDecision m_Decision;
};

class LimitsFleet {
public:
  explicit LimitsFleet(FleetOptions Options)
      : m_Options(std::move(Options)), m_Random(m_Options.m_Seed) {
    for (const Member &Configured : m_Options.m_Members) {
      std::uniform_real_distribution<double> Drift(-m_Options.m_MaxClockDrift,
                                                   m_Options.m_MaxClockDrift);
      std::uniform_int_distribution<TrueTime> Offset(0, 1'000'000'000);
      SimulatedInstance &Added = m_Instances.emplace_back();
      Added.m_Member = Configured;
      Added.m_ClockRate = 1 + Drift(m_Random);
      Added.m_ClockOffset = Offset(m_Random);
      m_LastReceivedAt.emplace_back(m_Options.m_Members.size(), 0);
    }
    for (std::size_t Instance = 0; Instance < m_Instances.size(); ++Instance)
      start(Instance);
    schedule(HeartbeatInterval, [this] { heartbeat(); });
  }

  TrueTime now() const { return m_Now; }
  std::size_t size() const { return m_Instances.size(); }
  const Member &member(std::size_t Instance) const {
    return m_Instances[Instance].m_Member;
  }
  std::mt19937_64 &random() { return m_Random; }
  bool isUp(std::size_t Instance) const {
    return m_Instances[Instance].m_Limits != nullptr;
  }
  RateLimits &limits(std::size_t Instance) {
    return *m_Instances[Instance].m_Limits;
  }
  std::uint64_t messages() const { return m_Messages; }
  std::uint64_t messageBytes() const { return m_Bytes; }
  std::vector<ObservedDecision> takeDecisions() {
    return std::exchange(m_Decisions, {});
  }

  base::TimePoint clock(std::size_t Instance) const {
    const auto Reading = static_cast<TrueTime>(
        static_cast<double>(m_Now) * m_Instances[Instance].m_ClockRate);
    return base::TimePoint(
        base::Duration(Reading + m_Instances[Instance].m_ClockOffset));
  }

  /// Must be called before the first runUntil.
  void setClockRate(std::size_t Instance, double Rate) {
    m_Instances[Instance].m_ClockRate = Rate;
  }

  void schedule(TrueTime Delay, std::function<void()> Callback) {
    m_Events.push({.m_At = m_Now + Delay,
                   .m_Order = ++m_Order,
                   .m_Callback = std::move(Callback)});
  }

  void runUntil(TrueTime End) {
    while (!m_Events.empty() && m_Events.top().m_At <= End) {
      Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_Callback();
    }
    m_Now = End;
  }

  /// Draws the delay of one message.
  TrueTime delay(std::size_t From, std::size_t To) {
    std::uniform_real_distribution<double> Chance(0, 1);
    const LinkOptions &Links = m_Options.m_Links;
    const bool Local = member(From).m_DataCentre == member(To).m_DataCentre;
    const auto Base =
        static_cast<double>(Local ? Links.m_LocalDelay : Links.m_RemoteDelay);
    return static_cast<TrueTime>(Base *
                                 (1 + Links.m_Jitter * Chance(m_Random)));
  }

  void admit(std::size_t Instance, const base::OrganisationId &Organisation,
             TrueTime Timeout) {
    if (!isUp(Instance) || isFrozen(Instance))
      return;
    const std::uint64_t Ticket = ++m_LastTicket;
    m_PendingRequests[Ticket] = {m_Now, Organisation};
    invoke(Instance,
           [&](RateLimits &Limits, base::TimePoint Now, messages::Outbox &Out) {
             Limits.admit(Ticket, Organisation, Now + base::Duration(Timeout),
                          Now, Out);
           });
  }

  void setRates(std::size_t Instance, std::uint64_t ConfigurationNumber,
                const std::vector<OrganisationRate> &Rates) {
    m_Instances[Instance].m_ConfigurationNumber = ConfigurationNumber;
    m_Rates.emplace(ConfigurationNumber, Rates);
    if (isUp(Instance))
      m_Instances[Instance].m_Limits->setRates(ConfigurationNumber, Rates,
                                               clock(Instance));
  }

  void crash(std::size_t Instance) {
    m_Instances[Instance].m_Limits.reset();
    ++m_Instances[Instance].m_Incarnation;
  }
  void start(std::size_t Instance) {
    if (isUp(Instance))
      return;
    LimitOptions Options = m_Options.m_Limits;
    Options.m_Members = m_Options.m_ConfiguredMembers.empty()
                            ? m_Options.m_Members
                            : m_Options.m_ConfiguredMembers;
    Options.m_Self = member(Instance).m_Instance;
    Options.m_DataCentre = Options.m_Members[Instance].m_DataCentre;
    Options.m_IsEntry = member(Instance).m_IsEntry;
    m_Instances[Instance].m_Limits =
        std::make_unique<RateLimits>(Options, clock(Instance));
    m_Instances[Instance].m_Limits->setRates(
        m_Instances[Instance].m_ConfigurationNumber,
        m_Rates[m_Instances[Instance].m_ConfigurationNumber], clock(Instance));
    const std::uint64_t Incarnation = m_Instances[Instance].m_Incarnation;
    std::uniform_int_distribution<TrueTime> Phase(0, m_Options.m_TickInterval);
    schedule(Phase(m_Random),
             [this, Instance, Incarnation] { tick(Instance, Incarnation); });
  }
  /// Stops the process for \p Length. Messages that arrive meanwhile are
  /// handled when it resumes.
  void freeze(std::size_t Instance, TrueTime Length) {
    m_Instances[Instance].m_FrozenUntil =
        std::max(m_Instances[Instance].m_FrozenUntil, m_Now + Length);
  }
  void release(std::size_t Instance) {
    if (isUp(Instance))
      invoke(Instance, [](RateLimits &Limits, base::TimePoint Now,
                          messages::Outbox &Out) { Limits.release(Now, Out); });
  }
  /// Partitions \p DataCentre from the others, or heals the partition.
  void setPartitioned(const base::DataCentreId &DataCentre, bool Partitioned) {
    if (Partitioned)
      m_PartitionedDataCentres.insert(DataCentre);
    else
      m_PartitionedDataCentres.erase(DataCentre);
  }
  /// Isolates one instance from all others, or reconnects it.
  void setIsolated(std::size_t Instance, bool Isolated) {
    if (Isolated)
      m_Isolated.insert(Instance);
    else
      m_Isolated.erase(Instance);
  }

  bool isFrozen(std::size_t Instance) const {
    return m_Now < m_Instances[Instance].m_FrozenUntil;
  }

  bool isPartitioned(std::size_t From, std::size_t To) const {
    if (From != To && (m_Isolated.contains(From) || m_Isolated.contains(To)))
      return true;
    const auto &Source = member(From).m_DataCentre;
    const auto &Target = member(To).m_DataCentre;
    return Source != Target && (m_PartitionedDataCentres.contains(Source) ||
                                m_PartitionedDataCentres.contains(Target));
  }

private:
  static constexpr TrueTime HeartbeatInterval = 200'000;
  static constexpr TrueTime PeerTimeout = 1'500'000;

  struct SimulatedInstance {
    Member m_Member;
    double m_ClockRate = 1;
    TrueTime m_ClockOffset = 0;
    std::unique_ptr<RateLimits> m_Limits;
    std::uint64_t m_Incarnation = 0; ///< Distinguishes runs of the process.
    TrueTime m_FrozenUntil = 0;
    std::uint64_t m_ConfigurationNumber = 0;
  };
  struct Event {
    TrueTime m_At = 0;
    std::uint64_t m_Order = 0;
    std::function<void()> m_Callback;

    bool operator<(const Event &Other) const {
      return std::pair(m_At, m_Order) > std::pair(Other.m_At, Other.m_Order);
    }
  };

  void heartbeat() {
    for (std::size_t To = 0; To < size(); ++To) {
      if (!isUp(To) || isFrozen(To))
        continue;
      std::vector<base::InstanceId> Live;
      for (std::size_t From = 0; From < size(); ++From) {
        if (isUp(From) && !isFrozen(From) && !isPartitioned(From, To))
          m_LastReceivedAt[To][From] = m_Now;
        if (m_Now - m_LastReceivedAt[To][From] < PeerTimeout)
          Live.push_back(member(From).m_Instance);
      }
      m_Instances[To].m_Limits->setLivePeers(Live, clock(To));
    }
    schedule(HeartbeatInterval, [this] { heartbeat(); });
  }

  void tick(std::size_t Instance, std::uint64_t Incarnation) {
    if (Incarnation != m_Instances[Instance].m_Incarnation)
      return;
    if (!isFrozen(Instance))
      invoke(Instance, [](RateLimits &Limits, base::TimePoint Now,
                          messages::Outbox &Out) { Limits.onTick(Now, Out); });
    schedule(m_Options.m_TickInterval,
             [this, Instance, Incarnation] { tick(Instance, Incarnation); });
  }

  template <typename Action>
  void invoke(std::size_t Instance, Action Callback) {
    messages::Outbox Out;
    RateLimits &Limits = limits(Instance);
    Callback(Limits, clock(Instance), Out);
    for (const LimitDecision &Decision : Limits.takeDecisions()) {
      const auto &[RequestedAt, Organisation] =
          m_PendingRequests.at(Decision.m_Ticket);
      m_Decisions.push_back({.m_DecidedAt = m_Now,
                             .m_RequestedAt = RequestedAt,
                             .m_Instance = Instance,
                             .m_Organisation = Organisation,
                             .m_Decision = Decision});
      m_PendingRequests.erase(Decision.m_Ticket);
    }
    for (messages::Outgoing &Message : Out.take())
      send(Instance, Message);
  }

  void send(std::size_t From, const messages::Outgoing &Message) {
    std::size_t To = 0;
    while (member(To).m_Instance != Message.m_To)
      ++To;
    ++m_Messages;
    m_Bytes += Message.m_Message.ByteSizeLong();
    std::uniform_real_distribution<double> Chance(0, 1);
    const LinkOptions &Links = m_Options.m_Links;
    const int Copies = Chance(m_Random) < Links.m_DuplicateProbability ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      if (isPartitioned(From, To) || Chance(m_Random) < Links.m_LossProbability)
        continue;
      const bool Local = member(From).m_DataCentre == member(To).m_DataCentre;
      const auto Base =
          static_cast<double>(Local ? Links.m_LocalDelay : Links.m_RemoteDelay);
      const auto Delay =
          static_cast<TrueTime>(Base * (1 + Links.m_Jitter * Chance(m_Random)));
      schedule(Delay, [this, From, To, Body = Message.m_Message.limit()] {
        deliver(From, To, Body);
      });
    }
  }

  void deliver(std::size_t From, std::size_t To,
               const messages::LimitMessage &Body) {
    if (!isUp(To))
      return;
    if (isFrozen(To)) {
      schedule(m_Instances[To].m_FrozenUntil - m_Now,
               [this, From, To, Body] { deliver(From, To, Body); });
      return;
    }
    invoke(To,
           [&](RateLimits &Limits, base::TimePoint Now, messages::Outbox &Out) {
             Limits.onMessage(member(From).m_Instance, Body, Now, Out);
           });
  }

  FleetOptions m_Options;
  std::mt19937_64 m_Random;
  TrueTime m_Now = 0;
  std::uint64_t m_Order = 0;
  std::priority_queue<Event> m_Events;
  std::vector<SimulatedInstance> m_Instances;
  std::map<std::uint64_t, std::vector<OrganisationRate>>
      m_Rates; ///< By configuration number.
  std::vector<std::vector<TrueTime>>
      m_LastReceivedAt; ///< By receiver and sender.
  std::set<base::DataCentreId> m_PartitionedDataCentres;
  std::set<std::size_t> m_Isolated;
  std::uint64_t m_LastTicket = 0;
  std::map<std::uint64_t, std::pair<TrueTime, base::OrganisationId>>
      m_PendingRequests;
  std::vector<ObservedDecision> m_Decisions;
  std::uint64_t m_Messages = 0;
  std::uint64_t m_Bytes = 0;
};

/// Returns the members of \p DataCentres data centres, each with \p Entries
/// entry instances and \p Ledgers ledgers.
inline std::vector<Member>
makeMembers(std::size_t DataCentres, std::size_t Entries, std::size_t Ledgers) {
  std::vector<Member> Members;
  for (std::size_t D = 0; D < DataCentres; ++D) {
    const std::string Name = "dc" + std::to_string(D);
    for (std::size_t I = 0; I < Entries + Ledgers; ++I)
      Members.push_back(
          {.m_Instance = base::InstanceId(Name + "-" + std::to_string(I)),
           .m_DataCentre = base::DataCentreId(Name),
           .m_IsEntry = I < Entries});
  }
  return Members;
}

} // namespace psp::limits::testing

#endif
