/// \file
/// How many requests a cold endpoint gets, and from whom.

#ifndef PSP_FLEET_COLDBOUND_H
#define PSP_FLEET_COLDBOUND_H

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace psp::fleet {

/// The node that grants turns counts its grants over this time: any second of
/// sends, and the age that a grant may have when it is used.
inline constexpr base::Duration ColdGrantWindow = base::milliseconds(1600);
/// A grant older than this isn't used for a cold endpoint.
inline constexpr base::Duration MaxColdGrantAge = base::milliseconds(500);
/// An instance that sends by itself counts over this time.
inline constexpr base::Duration ColdSendWindow = base::milliseconds(1100);

/// Load pattern: a data centre comes back, all of its endpoints are cold, and
/// dozens of instances that don't ask each other find them idle. A message for
/// each request would cost more than the requests, and a lease that control
/// grants is missing just when control is out of reach. So the bound is divided
/// beforehand: a part for the node that grants turns, twice, since an old and a
/// new one may grant side by side; and a part for the instances, few of which
/// may use a cold endpoint at all if there are more of them than that part.
class ColdBound {
public:
  /// \p RatePerSecond and \p Overshoot and \p Slack as in the rule: a cold
  /// endpoint bears Rate x Overshoot + Slack requests within any second.
  ColdBound(double RatePerSecond, double Overshoot, double Slack);

  /// Requests within any second, from all instances together.
  std::size_t perSecond() const { return m_PerSecond; }
  /// Grants of one granting node within ColdGrantWindow.
  std::size_t granterPart() const;
  /// Requests of the instance \p Name within ColdSendWindow to the start
  /// \p Born of \p Endpoint, if there are \p Instances of them; zero if that is
  /// unknown.
  std::size_t instancePart(const std::string &Name, std::uint32_t Instances,
                           const std::string &Endpoint,
                           std::uint64_t Born) const;

  bool operator==(const ColdBound &) const = default;

private:
  std::size_t m_PerSecond;
};

/// Counts requests to each start of an endpoint over a sliding window.
class ColdWindow {
public:
  explicit ColdWindow(base::Duration Length) : m_Length(Length) {}

  /// Whether fewer than \p Most were taken within the window before \p Now.
  bool hasRoom(const std::string &Endpoint, std::uint64_t Born,
               std::size_t Most, base::TimePoint Now) const;
  /// Counts one, if there is room.
  bool take(const std::string &Endpoint, std::uint64_t Born, std::size_t Most,
            base::TimePoint Now);
  /// Forgets endpoints to which nothing was sent lately.
  void expire(base::TimePoint Now);
  std::size_t endpoints() const { return m_Taken.size(); }

private:
  struct Taken {
    std::uint64_t m_Born = 0;
    std::deque<base::TimePoint> m_At; ///< Of those in the window, oldest first.
  };

  base::Duration m_Length;
  std::map<std::string, Taken> m_Taken; ///< By endpoint.
};

} // namespace psp::fleet

#endif
