#include "coordinator/TokenAllocator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace psp::coordinator {

namespace {

/// Number of tokens reserved for programs that have begun: the calls of one
/// program, but no more than the share of the bucket.
constexpr double CallsPerProgram = 12;
constexpr double ReservedShare = 0.6;
/// A call of a program that has begun waits this long for a token: less than a
/// rejected caller would be away, and a part of the time that the call has.
constexpr base::Duration MaxTokenWait = base::milliseconds(400);
constexpr int MaxWaitPartOfCall = 4;
/// A new program waits only this long, since its caller loses nothing yet by
/// coming back.
constexpr base::Duration MaxBeginWait = base::milliseconds(150);
/// A rejected caller is told to come back after a time between these.
constexpr base::Duration MinRetryAfter = base::milliseconds(100);
constexpr base::Duration MaxRetryAfter = base::seconds(3);

double reserveOf(double Burst) {
  return std::min(CallsPerProgram, ReservedShare * Burst);
}

/// Time in which a bucket earns \p Tokens; the longest if it never does.
base::Duration accrualTime(double Tokens, double RatePerSecond) {
  const double Seconds = std::max(0.0, Tokens) / RatePerSecond;
  const double Longest = std::chrono::duration<double>(MaxRetryAfter).count();
  // Rounded up, so that no token is used before it has accrued.
  return base::Duration(
      static_cast<std::int64_t>(std::ceil(1e6 * std::min(Seconds, Longest))));
}

base::Duration shortened(base::Duration Wait, const TokenRequest &Asked) {
  return Asked.m_CallTimeLeft > base::Duration(0)
             ? std::min(Wait, Asked.m_CallTimeLeft / MaxWaitPartOfCall)
             : Wait;
}

TokenGrant reject(base::Duration Wait) {
  return {.m_Count = 0,
          .m_Wait = std::clamp(Wait, MinRetryAfter, MaxRetryAfter)};
}

} // namespace

ProgramDemand &
TokenAllocator::demandOf(const fleet::OrganisationSpec &Requester) {
  return Requester.dividedShare() > 0 ? m_DividedDemand : m_Demand;
}

TokenAllocator::Limit
TokenAllocator::limitOf(const fleet::OrganisationSpec &Requester) {
  const double UndividedShare = 1 - Requester.dividedShare();
  return {.m_RatePerSecond = UndividedShare * Requester.m_RatePerSecond,
          .m_Burst = UndividedShare * Requester.m_Burst};
}

TokenAllocator::Bucket &
TokenAllocator::refill(const fleet::OrganisationSpec &Requester,
                       base::TimePoint Now) {
  const auto [It, IsNew] =
      m_Buckets.try_emplace(Requester.m_Name, demandOf(Requester));
  Bucket &Refilled = It->second;
  if (IsNew)
    Refilled.m_FilledAt = m_LeaderSince;
  const Limit Bound = limitOf(Requester);
  const double Seconds =
      std::chrono::duration<double>(Now - Refilled.m_FilledAt).count();
  Refilled.m_FilledAt = Now;
  Refilled.m_Tokens =
      std::min(std::max(Bound.m_Burst, 1.0),
               Refilled.m_Tokens + Seconds * Bound.m_RatePerSecond);
  Refilled.m_Programs.setDemand(demandOf(Requester));
  Refilled.m_Programs.expire(Now);
  return Refilled;
}

std::uint32_t TokenAllocator::allocate(const fleet::OrganisationSpec &Requester,
                                       std::uint32_t Wanted, bool NewProgram,
                                       base::TimePoint Now) {
  Bucket &Refilled = refill(Requester, Now);
  const double Burst = limitOf(Requester).m_Burst;
  const double Reserved = NewProgram ? reserveOf(Burst) : 0;
  const double Available = std::max(0.0, Refilled.m_Tokens - Reserved);
  const auto Allocated = static_cast<std::uint32_t>(
      std::min<double>(Wanted, std::floor(Available)));
  Refilled.m_Tokens -= Allocated;
  return Allocated;
}

TokenGrant TokenAllocator::request(const fleet::OrganisationSpec &Requester,
                                   const TokenRequest &Asked,
                                   base::TimePoint Now) {
  const Limit Bound = limitOf(Requester);
  // The instance may still go by an earlier configuration with a limit.
  if (Bound.m_RatePerSecond <= 0)
    return {.m_Count = Asked.m_Wanted};
  Bucket &Refilled = refill(Requester, Now);
  const std::string &Program = Asked.m_Asking.m_Program;
  if (Program.empty() || Refilled.m_Programs.isOverrunning(Program))
    return serveLast(Refilled, Requester, Asked, Now);
  if (Asked.m_NewProgram && !Refilled.m_Programs.hasBegun(Program))
    return beginProgram(Refilled, Requester, Asked, Now);
  return continueProgram(Refilled, Bound, Asked, Now);
}

/// Others keep what they need, up to the reserve.
TokenGrant TokenAllocator::serveLast(Bucket &Filled,
                                     const fleet::OrganisationSpec &Requester,
                                     const TokenRequest &Asked,
                                     base::TimePoint Now) {
  const Limit Bound = limitOf(Requester);
  double Reserved = std::min(Filled.m_Programs.remainingNeed(Now) +
                                 Filled.m_Programs.needOfDue(Now),
                             ReservedShare * Bound.m_Burst);
  // A program that overruns comes after new ones, too.
  if (!Asked.m_Asking.m_Program.empty())
    Reserved = std::clamp(Reserved + reserveOf(Bound.m_Burst), 0.0,
                          std::max(0.0, Bound.m_Burst - 1));
  const std::string &Program = Asked.m_Asking.m_Program;
  if (Filled.m_Tokens < 1 + Reserved) {
    Filled.m_Programs.onRefused(Program);
    return reject(
        accrualTime(1 + Reserved - Filled.m_Tokens, Bound.m_RatePerSecond));
  }
  if (Program.empty())
    return {.m_Count =
                allocate(Requester, Asked.m_Wanted, Asked.m_NewProgram, Now)};
  Filled.m_Tokens -= 1;
  Filled.m_Programs.use(Asked.m_Asking, 1, Now);
  return {.m_Count = 1};
}

TokenGrant
TokenAllocator::beginProgram(Bucket &Filled,
                             const fleet::OrganisationSpec &Requester,
                             const TokenRequest &Asked, base::TimePoint Now) {
  const Limit Bound = limitOf(Requester);
  ProgramAllowance &Programs = Filled.m_Programs;
  // The fixed reserve, with nothing that accrues, until programs are known.
  const ProgramDemand::Need Own =
      demandOf(Requester)
          .expected(Asked.m_Asking.m_Caller.m_Route)
          .value_or(ProgramDemand::Need{.m_Tokens = CallsPerProgram + 1});
  // What accrues while it runs. Some of it comes later than it is needed, which
  // calls wait for.
  const double Covering =
      Bound.m_RatePerSecond * std::chrono::duration<double>(Own.m_Time).count();
  // A program that is larger than the bucket has to begin as well.
  const double OwnNeed = std::clamp(
      Own.m_Tokens, 1.0, std::max(1.0, ReservedShare * Bound.m_Burst));
  const ProgramAllowance::NeedBefore Before =
      Programs.needBefore(Asked.m_Asking, Now);
  const double Needed = OwnNeed + Programs.remainingNeed(Now) - Covering;
  const auto TimeUntil = [&](double Tokens) {
    return accrualTime(Tokens - Filled.m_Tokens, Bound.m_RatePerSecond);
  };
  // Beside what is expected, a reserve stays for programs that take more, and
  // tokens for refused programs that should be back: a part of the bucket at
  // most, since they may not come.
  const double Due = std::min(Before.m_Due, ReservedShare * Bound.m_Burst);
  const base::Duration Wait = std::max(
      TimeUntil(Needed), TimeUntil(1 + reserveOf(Bound.m_Burst) + Due));
  if (Wait > shortened(MaxBeginWait, Asked)) {
    const TokenGrant Rejection =
        reject(std::max(Wait, TimeUntil(Needed + Before.m_All)));
    Programs.enqueue(Asked.m_Asking, Rejection.m_Wait, Now);
    return Rejection;
  }
  Filled.m_Tokens -= 1;
  Programs.begin(Asked.m_Asking, Now);
  return {.m_Count = 1, .m_Wait = Wait};
}

TokenGrant TokenAllocator::continueProgram(Bucket &Filled, const Limit &Bound,
                                           const TokenRequest &Asked,
                                           base::TimePoint Now) {
  const std::string &Program = Asked.m_Asking.m_Program;
  if (Filled.m_Tokens >= 1) {
    const auto Count = static_cast<std::uint32_t>(std::min<double>(
        std::max(1U, Asked.m_Wanted), std::floor(Filled.m_Tokens)));
    Filled.m_Tokens -= Count;
    Filled.m_Programs.use(Asked.m_Asking, Count, Now);
    return {.m_Count = Count};
  }
  const base::Duration Wait =
      accrualTime(1 - Filled.m_Tokens, Bound.m_RatePerSecond);
  if (Wait > shortened(MaxTokenWait, Asked)) {
    Filled.m_Programs.onRefused(Program);
    return reject(Wait);
  }
  Filled.m_Tokens -= 1;
  Filled.m_Programs.use(Asked.m_Asking, 1, Now);
  return {.m_Count = 1, .m_Wait = Wait};
}

std::uint64_t TokenAllocator::left(const std::string &Organisation) const {
  const auto It = m_Buckets.find(Organisation);
  return It == m_Buckets.end()
             ? 0
             : static_cast<std::uint64_t>(std::max(0.0, It->second.m_Tokens));
}

const ProgramAllowance *
TokenAllocator::programs(const std::string &Organisation) const {
  const auto It = m_Buckets.find(Organisation);
  return It == m_Buckets.end() ? nullptr : &It->second.m_Programs;
}

void TokenAllocator::reset(base::TimePoint Now) {
  m_Buckets.clear();
  m_LeaderSince = Now;
}

} // namespace psp::coordinator
