/// \file
/// The programs of one organisation that share its allowance.

#ifndef PSP_COORDINATOR_PROGRAMALLOWANCE_H
#define PSP_COORDINATOR_PROGRAMALLOWANCE_H

#include "base/Time.h"
#include "coordinator/ProgramDemand.h"
#include "fleet/RankOrder.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace psp::coordinator {

/// Load pattern: an organisation sends several times what its limit allows, or
/// the limit is lowered while its programs run. If refusals were spread over
/// all requests, nearly every program would fail at one of them. So running
/// programs are covered first, new ones begin only if they are covered as well,
/// and those that were refused get their turn in an order.
///
/// Knows no tokens; TokenAllocator has the bucket.
class ProgramAllowance {
public:
  struct Asking {
    std::string m_Program;
    fleet::RankOrder::Caller m_Caller;
    /// Until the program should have ended; empty: unknown.
    std::optional<base::Duration> m_ProgramTimeLeft;
  };

  explicit ProgramAllowance(ProgramDemand &Demand) : m_Demand(&Demand) {}

  /// Goes by \p Demand from now on.
  void setDemand(ProgramDemand &Demand) { m_Demand = &Demand; }

  bool hasBegun(const std::string &Program) const {
    return m_Running.contains(Program);
  }
  /// The new program \p New takes its first token.
  void begin(const Asking &New, base::TimePoint Now);
  /// Whether \p Program has taken several times what its class takes. It may
  /// have no end, so others come first.
  bool isOverrunning(const std::string &Program) const;
  /// Counts \p Tokens for a program that has begun, here or under an earlier
  /// leader.
  void use(const Asking &User, std::uint32_t Tokens, base::TimePoint Now);
  /// A running program was refused.
  void onRefused(const std::string &Program);
  /// Tokens that running programs are still expected to take; zero while it
  /// isn't known what programs take.
  double remainingNeed(base::TimePoint Now) const;
  /// Tokens that refused programs take that should be back now.
  double needOfDue(base::TimePoint Now) const;
  /// Tokens that the refused programs take that come before \p New.
  struct NeedBefore {
    double m_Due = 0; ///< Of those that should be back now.
    double m_All = 0;
  };
  NeedBefore needBefore(const Asking &New, base::TimePoint Now) const;
  /// The new program \p New has to come back after \p Wait.
  void enqueue(const Asking &New, base::Duration Wait, base::TimePoint Now);
  /// Removes programs that have ended and refused ones that didn't come back.
  void expire(base::TimePoint Now);

  /// Programs that have ended so far, and those of them whose last request was
  /// refused.
  std::uint64_t ended() const { return m_Ended; }
  std::uint64_t brokenOff() const { return m_BrokenOff; }
  std::size_t running() const { return m_Running.size(); }
  std::size_t waiting() const { return m_Line.size(); }

private:
  struct Running {
    std::string m_Route;
    double m_Used = 0;
    base::TimePoint m_BegunAt;
    base::TimePoint m_UsedAt{};
    bool m_BeganHere = false;  ///< All that it took is counted.
    bool m_WasRefused = false; ///< Its last request.
  };
  struct Refused {
    std::uint64_t m_Rank = 0;
    bool m_Late = false;       ///< Has lost much of its time to refusals.
    base::TimePoint m_AskedAt; ///< First.
    base::TimePoint m_BackAt;
    std::string m_Route;

    bool isBefore(const Refused &Other) const;
  };
  double expectedTokens(const std::string &Route) const;
  static base::Duration maxIdleTime(const Running &Begun);
  Refused describe(const Asking &New, base::TimePoint Now) const;

  ProgramDemand *m_Demand;
  fleet::RankOrder m_Ranks;
  std::map<std::string, Running, std::less<>> m_Running;
  std::map<std::string, Refused, std::less<>> m_Line;
  base::TimePoint m_ExpiredAt;
  std::uint64_t m_Ended = 0;
  std::uint64_t m_BrokenOff = 0;
};

} // namespace psp::coordinator

#endif
