#include "gateway/SecondTries.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <cmath>

namespace psp::gateway {

namespace {

constexpr double BucketsPerDoubling = 4;
/// Beyond this number older samples count half, so that the times of an earlier
/// load are forgotten.
constexpr std::uint32_t MaxSamples = 1024;

double milliseconds(base::Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

} // namespace

std::uint32_t sizeClassOf(std::uint64_t Bytes) {
  return static_cast<std::uint32_t>(std::bit_width(Bytes) + 1) / 2;
}

void ResponseTimes::add(base::Duration Time) {
  const double Position =
      BucketsPerDoubling * std::log2(std::max(1.0, milliseconds(Time)));
  const auto Bucket = static_cast<std::size_t>(
      std::min(Position, static_cast<double>(BucketCount - 1)));
  ++m_Buckets[Bucket];
  if (++m_Count < MaxSamples)
    return;
  m_Count = 0;
  for (std::uint32_t &Samples : m_Buckets) {
    Samples /= 2;
    m_Count += Samples;
  }
}

base::Duration ResponseTimes::quantile(double Share) const {
  const double Wanted = Share * m_Count;
  std::uint32_t Below = 0;
  std::size_t Bucket = 0;
  while (Bucket + 1 < BucketCount && Below + m_Buckets[Bucket] < Wanted)
    Below += m_Buckets[Bucket++];
  const double UpperMs =
      std::exp2(static_cast<double>(Bucket + 1) / BucketsPerDoubling);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(UpperMs));
}

std::string_view secondTryDecisionName(SecondTryDecision Decision) {
  switch (Decision) {
  case SecondTryDecision::Send:
    return "sent";
  case SecondTryDecision::ClassUnknown:
    return "class_unknown";
  case SecondTryDecision::LimitReached:
    return "limit_reached";
  case SecondTryDecision::ServiceFull:
    return "service_full";
  case SecondTryDecision::TooLate:
    return "too_late";
  case SecondTryDecision::NoAttemptLeft:
    return "no_attempt_left";
  case SecondTryDecision::NoEndpoint:
    return "no_endpoint";
  case SecondTryDecision::NoAllowance:
    return "no_allowance";
  }
  return "unknown";
}

void SecondTries::onRequest(const std::string &Service) {
  ServiceState &State = m_Services[Service];
  State.m_Saved =
      std::min(State.m_Saved + m_Options.m_MaxShare, m_Options.m_MaxSaved);
}

void SecondTries::onEnded(const CallClass &Class, base::Duration Time) {
  const auto It = m_Times.find(Class);
  if (It != m_Times.end())
    It->second.add(Time);
  else if (m_Times.size() < MaxClasses)
    m_Times[Class].add(Time);
}

void SecondTries::onFull(const std::string &Service, base::TimePoint Now) {
  m_Services[Service].m_FullUntil = Now + m_Options.m_FullTime;
}

std::optional<base::Duration> SecondTries::delay(const CallClass &Class) const {
  const auto It = m_Times.find(Class);
  if (It == m_Times.end() || It->second.count() < m_Options.m_MinSamples)
    return std::nullopt;
  return It->second.quantile(m_Options.m_Quantile);
}

SecondTryDecision SecondTries::decide(const Candidate &Considered,
                                      base::TimePoint Now) const {
  const auto Expected = delay(Considered.m_Class);
  if (!Expected)
    return SecondTryDecision::ClassUnknown;
  if (Considered.m_Executions >= Considered.m_MaxExecutions)
    return SecondTryDecision::NoAttemptLeft;
  if (milliseconds(Considered.m_TimeLeft) <
      m_Options.m_MinTimeLeftShare * milliseconds(*Expected))
    return SecondTryDecision::TooLate;
  const auto Service = m_Services.find(Considered.m_Class.m_Service);
  if (Service != m_Services.end() && Now < Service->second.m_FullUntil)
    return SecondTryDecision::ServiceFull;
  if (Service == m_Services.end() || Service->second.m_Saved < 1)
    return SecondTryDecision::LimitReached;
  if (!Considered.m_HasEndpoint)
    return SecondTryDecision::NoEndpoint;
  return SecondTryDecision::Send;
}

void SecondTries::onSent(const std::string &Service) {
  m_Services[Service].m_Saved -= 1;
}

} // namespace psp::gateway
