/// \file
/// A small event-driven harness around RateLimits: instances with drifting
/// clocks, messages with delay, loss and doubling, crashes, freezes and cuts.
/// It records every decision in true time. Everything follows from one seed.

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
  double m_Jitter = 0.2;         ///< Largest addition, as a part of the delay.
  double m_Loss = 0;
  double m_Doubling = 0;
};

struct FleetOptions {
  std::uint64_t m_Seed = 1;
  std::vector<Member> m_Members; ///< Where the instances really are.
  /// What the instances are told, if that is something else.
  std::vector<Member> m_ToldMembers = {};
  LimitOptions m_Limits; ///< The member's own fields are filled in.
  LinkOptions m_Links;
  TrueTime m_Tick = 5000;
  double m_Drift = 0; ///< Largest relative error of the instances' clocks.
};

/// One decision as seen from outside.
struct SeenDecision {
  TrueTime m_At = 0;
  TrueTime m_Asked = 0;
  std::size_t m_Instance = 0;
  base::OrganisationId m_Organisation;
  LimitDecision m_Decision;
};

class LimitsFleet {
public:
  explicit LimitsFleet(FleetOptions Options)
      : m_Options(std::move(Options)), m_Random(m_Options.m_Seed) {
    for (const Member &Each : m_Options.m_Members) {
      std::uniform_real_distribution<double> Drift(-m_Options.m_Drift,
                                                   m_Options.m_Drift);
      std::uniform_int_distribution<TrueTime> Offset(0, 1'000'000'000);
      Node &Added = m_Nodes.emplace_back();
      Added.m_Member = Each;
      Added.m_ClockRate = 1 + Drift(m_Random);
      Added.m_ClockOffset = Offset(m_Random);
      m_Heard.emplace_back(m_Options.m_Members.size(), 0);
    }
    for (std::size_t Node = 0; Node < m_Nodes.size(); ++Node)
      start(Node);
    schedule(HeartbeatInterval, [this] { heartbeat(); });
  }

  TrueTime now() const { return m_Now; }
  std::size_t size() const { return m_Nodes.size(); }
  const Member &member(std::size_t Node) const {
    return m_Nodes[Node].m_Member;
  }
  std::mt19937_64 &random() { return m_Random; }
  bool isUp(std::size_t Node) const {
    return m_Nodes[Node].m_Limits != nullptr;
  }
  RateLimits &limits(std::size_t Node) { return *m_Nodes[Node].m_Limits; }
  std::uint64_t messages() const { return m_Messages; }
  std::uint64_t messageBytes() const { return m_Bytes; }
  std::vector<SeenDecision> takeDecisions() {
    return std::exchange(m_Decisions, {});
  }

  base::TimePoint clock(std::size_t Node) const {
    const auto Reading = static_cast<TrueTime>(static_cast<double>(m_Now) *
                                               m_Nodes[Node].m_ClockRate);
    return base::TimePoint(
        base::Duration(Reading + m_Nodes[Node].m_ClockOffset));
  }

  /// To be called at the very beginning.
  void setClockRate(std::size_t Node, double Rate) {
    m_Nodes[Node].m_ClockRate = Rate;
  }

  void schedule(TrueTime Delay, std::function<void()> What) {
    m_Events.push({.m_At = m_Now + Delay,
                   .m_Order = ++m_Order,
                   .m_What = std::move(What)});
  }

  void runUntil(TrueTime End) {
    while (!m_Events.empty() && m_Events.top().m_At <= End) {
      Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_What();
    }
    m_Now = End;
  }

  /// Draws how long a message takes.
  TrueTime delay(std::size_t From, std::size_t To) {
    std::uniform_real_distribution<double> Chance(0, 1);
    const LinkOptions &Links = m_Options.m_Links;
    const bool Local = member(From).m_DataCentre == member(To).m_DataCentre;
    const auto Base =
        static_cast<double>(Local ? Links.m_LocalDelay : Links.m_RemoteDelay);
    return static_cast<TrueTime>(Base *
                                 (1 + Links.m_Jitter * Chance(m_Random)));
  }

  void admit(std::size_t Node, const base::OrganisationId &Organisation,
             TrueTime Patience) {
    if (!isUp(Node) || isFrozen(Node))
      return;
    const std::uint64_t Ticket = ++m_LastTicket;
    m_Asked[Ticket] = {m_Now, Organisation};
    act(Node,
        [&](RateLimits &Limits, base::TimePoint Now, messages::Outbox &Out) {
          Limits.admit(Ticket, Organisation, Now + base::Duration(Patience),
                       Now, Out);
        });
  }

  void setRates(std::size_t Node, std::uint64_t Number,
                const std::vector<OrganisationRate> &Rates) {
    m_Nodes[Node].m_Number = Number;
    m_Rates.emplace(Number, Rates);
    if (isUp(Node))
      m_Nodes[Node].m_Limits->setRates(Number, Rates, clock(Node));
  }

  void crash(std::size_t Node) {
    m_Nodes[Node].m_Limits.reset();
    ++m_Nodes[Node].m_Run;
  }
  void start(std::size_t Node) {
    if (isUp(Node))
      return;
    LimitOptions Options = m_Options.m_Limits;
    Options.m_Members = m_Options.m_ToldMembers.empty()
                            ? m_Options.m_Members
                            : m_Options.m_ToldMembers;
    Options.m_Self = member(Node).m_Instance;
    Options.m_DataCentre = Options.m_Members[Node].m_DataCentre;
    Options.m_IsEntry = member(Node).m_IsEntry;
    m_Nodes[Node].m_Limits = std::make_unique<RateLimits>(Options, clock(Node));
    m_Nodes[Node].m_Limits->setRates(
        m_Nodes[Node].m_Number, m_Rates[m_Nodes[Node].m_Number], clock(Node));
    const std::uint64_t Run = m_Nodes[Node].m_Run;
    std::uniform_int_distribution<TrueTime> Phase(0, m_Options.m_Tick);
    schedule(Phase(m_Random), [this, Node, Run] { tick(Node, Run); });
  }
  /// The process stands still; what arrives is handled when it goes on.
  void freeze(std::size_t Node, TrueTime Length) {
    m_Nodes[Node].m_FrozenUntil =
        std::max(m_Nodes[Node].m_FrozenUntil, m_Now + Length);
  }
  void release(std::size_t Node) {
    if (isUp(Node))
      act(Node, [](RateLimits &Limits, base::TimePoint Now,
                   messages::Outbox &Out) { Limits.release(Now, Out); });
  }
  /// Cuts \p DataCentre off from the others, or heals the cut.
  void setCut(const base::DataCentreId &DataCentre, bool Cut) {
    if (Cut)
      m_Cut.insert(DataCentre);
    else
      m_Cut.erase(DataCentre);
  }
  /// Cuts one instance off from all others, or heals that.
  void setIsolated(std::size_t Node, bool Isolated) {
    if (Isolated)
      m_Isolated.insert(Node);
    else
      m_Isolated.erase(Node);
  }

  bool isFrozen(std::size_t Node) const {
    return m_Now < m_Nodes[Node].m_FrozenUntil;
  }

  bool isCut(std::size_t From, std::size_t To) const {
    if (From != To && (m_Isolated.contains(From) || m_Isolated.contains(To)))
      return true;
    const auto &Source = member(From).m_DataCentre;
    const auto &Target = member(To).m_DataCentre;
    return Source != Target &&
           (m_Cut.contains(Source) || m_Cut.contains(Target));
  }

private:
  static constexpr TrueTime HeartbeatInterval = 200'000;
  static constexpr TrueTime PeerTimeout = 1'500'000;

  struct Node {
    Member m_Member;
    double m_ClockRate = 1;
    TrueTime m_ClockOffset = 0;
    std::unique_ptr<RateLimits> m_Limits;
    std::uint64_t m_Run = 0; ///< Tells runs of the process apart.
    TrueTime m_FrozenUntil = 0;
    std::uint64_t m_Number = 0;
  };
  struct Event {
    TrueTime m_At = 0;
    std::uint64_t m_Order = 0;
    std::function<void()> m_What;

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
        if (isUp(From) && !isFrozen(From) && !isCut(From, To))
          m_Heard[To][From] = m_Now;
        if (m_Now - m_Heard[To][From] < PeerTimeout)
          Live.push_back(member(From).m_Instance);
      }
      m_Nodes[To].m_Limits->setReachable(Live, clock(To));
    }
    schedule(HeartbeatInterval, [this] { heartbeat(); });
  }

  void tick(std::size_t Node, std::uint64_t Run) {
    if (Run != m_Nodes[Node].m_Run)
      return;
    if (!isFrozen(Node))
      act(Node, [](RateLimits &Limits, base::TimePoint Now,
                   messages::Outbox &Out) { Limits.onTick(Now, Out); });
    schedule(m_Options.m_Tick, [this, Node, Run] { tick(Node, Run); });
  }

  template <typename Action> void act(std::size_t Node, Action What) {
    messages::Outbox Out;
    RateLimits &Limits = limits(Node);
    What(Limits, clock(Node), Out);
    for (const LimitDecision &Each : Limits.takeDecisions()) {
      const auto &[Asked, Organisation] = m_Asked.at(Each.m_Ticket);
      m_Decisions.push_back({.m_At = m_Now,
                             .m_Asked = Asked,
                             .m_Instance = Node,
                             .m_Organisation = Organisation,
                             .m_Decision = Each});
      m_Asked.erase(Each.m_Ticket);
    }
    for (messages::Outgoing &Each : Out.take())
      send(Node, Each);
  }

  void send(std::size_t From, const messages::Outgoing &Message) {
    std::size_t To = 0;
    while (member(To).m_Instance != Message.m_To)
      ++To;
    ++m_Messages;
    m_Bytes += Message.m_Message.ByteSizeLong();
    std::uniform_real_distribution<double> Chance(0, 1);
    const LinkOptions &Links = m_Options.m_Links;
    const int Copies = Chance(m_Random) < Links.m_Doubling ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      if (isCut(From, To) || Chance(m_Random) < Links.m_Loss)
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
      schedule(m_Nodes[To].m_FrozenUntil - m_Now,
               [this, From, To, Body] { deliver(From, To, Body); });
      return;
    }
    act(To,
        [&](RateLimits &Limits, base::TimePoint Now, messages::Outbox &Out) {
          Limits.onMessage(member(From).m_Instance, Body, Now, Out);
        });
  }

  FleetOptions m_Options;
  std::mt19937_64 m_Random;
  TrueTime m_Now = 0;
  std::uint64_t m_Order = 0;
  std::priority_queue<Event> m_Events;
  std::vector<Node> m_Nodes;
  std::map<std::uint64_t, std::vector<OrganisationRate>>
      m_Rates;                                ///< By number.
  std::vector<std::vector<TrueTime>> m_Heard; ///< By receiver and sender.
  std::set<base::DataCentreId> m_Cut;
  std::set<std::size_t> m_Isolated;
  std::uint64_t m_LastTicket = 0;
  std::map<std::uint64_t, std::pair<TrueTime, base::OrganisationId>> m_Asked;
  std::vector<SeenDecision> m_Decisions;
  std::uint64_t m_Messages = 0;
  std::uint64_t m_Bytes = 0;
};

/// Members of \p DataCentres data centres with \p Entries entry instances
/// and \p Ledgers ledgers each.
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
