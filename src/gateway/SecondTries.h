/// \file
/// Decides whether a call that takes long is sent to a second endpoint.

#ifndef PSP_GATEWAY_SECONDTRIES_H
#define PSP_GATEWAY_SECONDTRIES_H

#include "base/Time.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace psp::gateway {

struct SecondTriesOptions {
  /// Maximum second tries per request of a service. Zero: none are sent.
  double m_MaxShare = 0;
  /// A second try is sent once the first has taken longer than this share of
  /// the calls of its kind.
  double m_Quantile = 0.95;
  /// Calls of a kind that must have been answered before its times are known.
  std::uint32_t m_MinSamples = 40;
  /// Second tries that a service with few slow answers saves up.
  double m_MaxSaved = 3;
  /// After a refusal for want of capacity a service counts as full this long.
  base::Duration m_FullTime = base::seconds(1);
  /// A second try is of no use with less time than this share of the expected
  /// time left before the deadline.
  double m_MinTimeLeftShare = 0.5;
};

/// Calls that are expected to take about as long as each other.
struct CallClass {
  std::string m_Service;
  std::string m_Route;
  std::uint32_t m_SizeClass = 0; ///< See sizeClassOf().

  auto operator<=>(const CallClass &) const = default;
};

/// Class of a request's body by its length: one for each power of four.
std::uint32_t sizeClassOf(std::uint64_t Bytes);

/// The distribution of the times of calls, which follows changes of load.
class ResponseTimes {
public:
  void add(base::Duration Time);
  std::uint32_t count() const { return m_Count; }
  /// Time within which \p Share of the calls were answered, rounded up by at
  /// most a fifth. Needs a sample.
  base::Duration quantile(double Share) const;

private:
  /// Buckets grow by a factor of 2^(1/4), from a millisecond to minutes.
  static constexpr std::size_t BucketCount = 68;

  std::array<std::uint32_t, BucketCount> m_Buckets{};
  std::uint32_t m_Count = 0;
};

enum class SecondTryDecision {
  Send,
  ClassUnknown,  ///< Too few calls of its class have been answered.
  LimitReached,  ///< The share of second tries.
  ServiceFull,   ///< It has no capacity to spare.
  TooLate,       ///< The deadline is too close.
  NoAttemptLeft, ///< The route allows no further execution.
  NoEndpoint,    ///< None with room and without a higher cost.
  NoAllowance,   ///< The organisation has no token that is at hand.
};
std::string_view secondTryDecisionName(SecondTryDecision Decision);

/// Load pattern: a few endpoints are slow, paused or fail silently, so that a
/// few calls take many times longer than the others. A second try to another
/// endpoint ends most of these soon. When all endpoints are slow, since there
/// is too much work, second tries would add to it: the limit is a share of the
/// requests and is held by each instance for its own, so it holds for all
/// instances together, and a service that refuses calls gets none.
///
/// Decides without I/O.
class SecondTries {
public:
  explicit SecondTries(SecondTriesOptions Options = {}) : m_Options(Options) {}

  bool isEnabled() const { return m_Options.m_MaxShare > 0; }

  /// A request is sent for the first time.
  void onRequest(const std::string &Service);
  /// An endpoint answered, or was given up, after \p Time.
  void onEnded(const CallClass &Class, base::Duration Time);
  /// An endpoint of \p Service refused a call for want of capacity.
  void onFull(const std::string &Service, base::TimePoint Now);

  /// How long a call waits before a second try is considered; empty if that
  /// isn't known yet.
  std::optional<base::Duration> delay(const CallClass &Class) const;

  struct Candidate {
    CallClass m_Class;
    base::Duration m_TimeLeft{0};
    std::uint32_t m_Executions = 0;
    std::uint32_t m_MaxExecutions = 0;
    bool m_HasEndpoint = false;
  };
  /// Whether a second try may be sent now. The caller of this function takes
  /// the organisation's token and then calls onSent().
  SecondTryDecision decide(const Candidate &Considered,
                           base::TimePoint Now) const;
  void onSent(const std::string &Service);

private:
  struct ServiceState {
    double m_Saved = 0; ///< Second tries that may be sent.
    base::TimePoint m_FullUntil;
  };

  /// Classes beyond this number are not learned.
  static constexpr std::size_t MaxClasses = 512;

  SecondTriesOptions m_Options;
  std::map<CallClass, ResponseTimes> m_Times;
  std::map<std::string, ServiceState> m_Services;
};

} // namespace psp::gateway

#endif
