/// \file
/// Decides which turns may begin while the engines are full.

#ifndef PSP_TURNS_TURNADMISSION_H
#define PSP_TURNS_TURNADMISSION_H

#include "base/Time.h"
#include "generated/fleet.pb.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace psp::turns {

struct TurnAdmissionOptions {
  /// New programs begin while less than this share of the slots runs. Turns
  /// on a fuller engine take too long for programs to end in time, and above
  /// a half no place is left empty.
  double m_NewProgramShare = 0.6;
  /// Later turns begin while less than this share of the slots runs.
  double m_LaterTurnShare = 1.0;
  /// A later turn waits this long for a place before it is asked to come
  /// again: below the time after which an entry instance doubts its leader.
  base::Duration m_LongestWait = base::milliseconds(180);
  /// Refused callers come back after this long, and up to half as long again,
  /// so that they don't come together: a turn's time, so that a program that
  /// is let in then can still end in time.
  base::Duration m_RetryAfter = base::milliseconds(300);
  std::uint64_t m_Seed = 0;
};

/// Load pattern: many programs come at once. Engines that take all of them slow
/// every program, and none ends in time; so programs that have begun go on at
/// full speed, and new ones are refused at once with a time to come back.
class TurnAdmission {
public:
  enum class Decision { Begin, Wait, Refuse };

  struct Offer {
    std::string m_Node;
    messages::fleet::Request m_Request;
    bool m_NewProgram = false;
    base::TimePoint m_ArrivedAt;
  };
  struct Load {
    std::size_t m_Running = 0; ///< With those about to begin.
    std::size_t m_Slots = 0;
  };

  explicit TurnAdmission(TurnAdmissionOptions Options)
      : m_Options(Options), m_Random(Options.m_Seed) {}

  /// An offer that waits comes back from takeReady() or takeOverdue().
  Decision decide(const Offer &Asked, const Load &Now);
  /// Those of the service that \p Now is of that may begin now, the most
  /// urgent first.
  std::vector<Offer> takeReady(Load Now);
  /// Those that have waited too long.
  std::vector<Offer> takeOverdue(base::TimePoint Now);
  std::vector<Offer> takeAll();
  /// When a refused caller should come back.
  base::Duration retryAfter();
  std::size_t waiting() const { return m_Waiting.size(); }
  /// Service of the offer that waits longest; empty if none waits.
  std::string nextService() const {
    return m_Waiting.empty() ? std::string()
                             : m_Waiting.front().m_Request.begin().service();
  }

private:
  bool fits(const Load &Now, double Share) const;

  TurnAdmissionOptions m_Options;
  std::mt19937_64 m_Random;
  std::vector<Offer> m_Waiting;
};

} // namespace psp::turns

#endif
