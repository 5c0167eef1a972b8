/// \file
/// Admission control: decides which turns may begin while the engines are full.

#ifndef PSP_TURNS_TURNADMISSION_H
#define PSP_TURNS_TURNADMISSION_H

#include "base/Time.h"
#include "fleet/RankOrder.h"
#include "fleet/ReplyAddress.h"
#include "generated/fleet.pb.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace psp::turns {

struct TurnAdmissionOptions {
  /// Whether turns of a higher rank come first.
  bool m_UsesRanks = true;
  /// New programs begin while less than a share of the slots is in use. The
  /// share moves between these two limits with the speed of the engines. Below
  /// half of the slots, slots would stay empty without any benefit.
  double m_MinNewProgramShare = 0.5;
  double m_MaxNewProgramShare = 0.8;
  /// Engines that hardly slow down under load take new programs up to their
  /// last slots. While at least m_HighLoadShare of the slots is in use, the
  /// maximum share rises up to m_LowSlowdownShare if events arrive less than
  /// m_LowSlowdown times slower than at best, and falls back if they
  /// arrive slower.
  double m_HighLoadShare = 0.7;
  double m_LowSlowdown = 1.25;
  double m_LowSlowdownShare = 1.0;
  /// A new program waits this long for a slot before it is rejected: slots
  /// become free every few milliseconds, while a rejected program retries
  /// after m_RetryAfter at the earliest.
  base::Duration m_MaxNewProgramWait = base::milliseconds(150);
  /// At most as many new programs wait as this share of the slots: about as
  /// many as begin within m_MaxNewProgramWait. Beyond it, the last one in order
  /// is rejected at once.
  double m_MaxWaitingShare = 0.25;
  /// Engines are too slow for programs to end in time when events arrive this
  /// many times slower than at best: callers allow 1.3 to 1.5 times the time on
  /// idle engines, delays and tool calls included.
  double m_MaxSlowdown = 1.5;
  /// The share is multiplied by the first value with each event gap over the
  /// limit and increased by the second with each gap below it. So it falls from
  /// the maximum to the minimum within a second of a few hundred turns.
  double m_ShareDecreaseFactor = 0.99;
  double m_ShareIncrease = 0.002;
  /// A new program that has lost more than this share of its time to rejections
  /// is unlikely to end in time: callers allow 1.3 to 1.5 times the time on
  /// idle engines, so about a quarter of it may be lost in all.
  double m_MaxRejectedTimeShare = 0.2;
  /// Where engines slow down before their last slots are in use, the share of
  /// such programs is lower by this value, since they would slow down those
  /// that can still end in time.
  double m_LateProgramMargin = 0.15;
  /// How long the first rejection of a program is stored.
  base::Duration m_RejectionRetentionTime = base::seconds(8);
  /// Later turns, which are those of programs that have begun, begin while less
  /// than this share of the slots is in use.
  double m_LaterTurnShare = 1.0;
  /// A later turn waits this long for a slot before its requester has to
  /// repeat the request: less than the time after which an entry instance
  /// suspects that its leader has failed.
  base::Duration m_MaxLaterTurnWait = base::milliseconds(180);
  /// Rejected callers retry after this time plus a random part of up to half of
  /// it, so that they don't all retry at once. It is about the duration of a
  /// turn, so that a program admitted then can still end in time.
  base::Duration m_RetryAfter = base::milliseconds(300);
  /// While turns of higher ranks wait, rejected callers retry later by this
  /// factor, since the slots that become free until then go to those.
  double m_OutrankedRetryFactor = 1.5;
  std::uint64_t m_Seed = 0;
};

/// Load pattern: many programs arrive at once. Engines that took all of them
/// would slow down every program, and none would end in time. So programs that
/// have begun continue at full speed, and new ones get the slots that become
/// free. A few of them wait for a slot, so that no slot stays empty; the others
/// are rejected at once with a time to retry. The shortest begin first, since
/// that serves most callers. Programs that retry again and again would take the
/// slots of others that can still end in time, so that all end late: they come
/// after these. Two classes of different rank that burst together: the higher
/// rank comes first, both among new programs and among those that have begun,
/// and the lower one keeps a floor (fleet::RankOrder).
class TurnAdmission {
public:
  enum class Decision { Begin, Wait };

  struct PendingTurn {
    fleet::ReplyAddress m_From;
    messages::fleet::Request m_Request;
    bool m_NewProgram = false;
    base::TimePoint m_ArrivedAt;
    std::uint64_t m_Rank = 0; ///< Set by TurnAdmission; lower comes first.
  };
  struct Load {
    std::size_t m_Running = 0; ///< Includes turns that are about to begin.
    std::size_t m_Slots = 0;
  };

  explicit TurnAdmission(TurnAdmissionOptions Options)
      : m_Options(Options), m_Random(Options.m_Seed),
        m_NewProgramShare(Options.m_MaxNewProgramShare),
        m_MaxShare(Options.m_MaxNewProgramShare) {}

  /// If the turn of \p Repeated waits already, directs its answer to the last
  /// requester and returns true.
  bool coalesce(const PendingTurn &Repeated);
  /// Removes \p Turn if it waits.
  void cancel(const std::string &Turn);
  /// Whether \p Turn may begin under load \p Current. A turn that has to wait
  /// is stored and returned later by one of the take functions.
  Decision decide(const PendingTurn &Turn, const Load &Current);
  /// Removes and returns the waiting turns that may begin under load
  /// \p Current: later turns before new programs, and the most urgent first.
  std::vector<PendingTurn> takeReady(Load Current);
  /// Removes and returns later turns that have waited for m_MaxLaterTurnWait.
  std::vector<PendingTurn> takeOverdue(base::TimePoint Now);
  /// Removes and returns new programs that get no slot in time, for a service
  /// with \p Slots.
  std::vector<PendingTurn> takeRejected(std::size_t Slots, base::TimePoint Now);
  /// Removes and returns all waiting turns.
  std::vector<PendingTurn> takeAll();
  /// Adjusts the shares to the mean time between the events of a turn that has
  /// ended under load \p Current; zero means unknown.
  void observeEventGap(std::uint32_t GapUs, const Load &Current);
  /// Share of the slots up to which new programs begin.
  double newProgramShare() const { return m_NewProgramShare; }
  /// Time after which a rejected caller should retry.
  base::Duration retryAfter();
  /// The same for the caller of \p Rejected.
  base::Duration retryAfter(const PendingTurn &Rejected);
  std::size_t waiting() const { return m_Waiting.size(); }
  /// Service of the turn that has waited longest; empty if none waits.
  std::string oldestWaitingService() const {
    return m_Waiting.empty() ? std::string()
                             : m_Waiting.front().m_Request.begin().service();
  }

private:
  /// The order of ranks among new programs, or among later turns.
  fleet::RankOrder &rankOrder(const PendingTurn &Turn);
  void recordBegin(const PendingTurn &Begun, base::TimePoint Now);
  bool isBelowShare(const Load &Current, double Share) const;
  /// \p Share after one more observed turn.
  double adjustedShare(double Share, bool Increase) const;
  /// Share of the slots up to which \p Turn is admitted.
  double admissionShare(const PendingTurn &Turn) const;
  bool isBefore(const PendingTurn &Left, const PendingTurn &Right) const;
  bool isLikelyToMissDeadline(const PendingTurn &Turn) const;
  std::size_t waitingNewPrograms() const;
  template <typename Condition>
  std::vector<PendingTurn> takeIf(Condition Matches);
  void recordRejection(const PendingTurn &Rejected);

  TurnAdmissionOptions m_Options;
  std::mt19937_64 m_Random;
  std::vector<PendingTurn> m_Waiting;
  fleet::RankOrder m_NewProgramRanks;
  fleet::RankOrder m_LaterTurnRanks;
  std::map<std::string, base::TimePoint> m_FirstRejectedAt; ///< By program.
  base::TimePoint m_NextCleanupAt;
  double m_NewProgramShare;
  double m_MaxShare;          ///< Limit of m_NewProgramShare, by the slowdown.
  double m_EventGapUs = 0;    ///< Smoothed.
  double m_MinEventGapUs = 0; ///< Minimum, which rises slowly.
};

} // namespace psp::turns

#endif
