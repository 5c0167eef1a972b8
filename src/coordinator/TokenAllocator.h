/// \file
/// Allocates request tokens to organisations with a low rate, from one token
/// bucket each, at the leader of the control group.

#ifndef PSP_COORDINATOR_TOKENALLOCATOR_H
#define PSP_COORDINATOR_TOKENALLOCATOR_H

#include "base/Time.h"
#include "coordinator/ProgramAllowance.h"
#include "fleet/ServingConfiguration.h"

#include <map>
#include <string>

namespace psp::coordinator {

struct TokenRequest {
  std::uint32_t m_Wanted = 1;
  /// As far as the instance knows, the call begins its program.
  bool m_NewProgram = false;
  /// An empty program: a call outside programs, or an instance of an earlier
  /// version.
  ProgramAllowance::Asking m_Asking;
  base::Duration m_CallTimeLeft{0}; ///< Zero: unknown.
};

struct TokenGrant {
  std::uint32_t m_Count = 0;
  /// Of granted tokens: when they may be used. Otherwise: when the caller
  /// should come back; zero means unknown.
  base::Duration m_Wait{0};

  bool operator==(const TokenGrant &) const = default;
};

/// Load pattern: an organisation's rate is cut far below what it sends, and its
/// callers are spread unevenly over the entry instances, so that fixed shares
/// would reject calls within its rate.
///
/// A program needs many calls, and fails with the first one that is permanently
/// rejected. So tokens are kept for programs that have begun
/// (ProgramAllowance), new ones begin only if they are covered, and a token
/// that accrues sooner than a rejected caller would be back is granted in
/// advance.
///
/// A new leader starts with empty buckets: the number of tokens that its
/// predecessor allocated isn't replicated, and the first fill takes as long as
/// the burst lasts.
class TokenAllocator {
public:
  TokenGrant request(const fleet::OrganisationSpec &Requester,
                     const TokenRequest &Asked, base::TimePoint Now);
  /// Takes up to \p Wanted tokens for \p Requester and returns their number.
  /// \p NewProgram: for calls that begin a program that isn't named.
  std::uint32_t allocate(const fleet::OrganisationSpec &Requester,
                         std::uint32_t Wanted, bool NewProgram,
                         base::TimePoint Now);
  /// Whole tokens of \p Organisation after its last request.
  std::uint64_t left(const std::string &Organisation) const;
  /// The programs of \p Organisation; null if none has asked yet.
  const ProgramAllowance *programs(const std::string &Organisation) const;
  /// Empties all buckets, when this node has become the leader.
  void reset(base::TimePoint Now);

private:
  struct Bucket {
    explicit Bucket(ProgramDemand &Demand) : m_Programs(Demand) {}

    double m_Tokens = 0; ///< Below zero: granted in advance.
    base::TimePoint m_FilledAt;
    ProgramAllowance m_Programs;
  };
  /// What a bucket earns, and the most that it holds.
  struct Limit {
    double m_RatePerSecond = 0;
    double m_Burst = 0;
  };

  ProgramDemand &demandOf(const fleet::OrganisationSpec &Requester);
  static Limit limitOf(const fleet::OrganisationSpec &Requester);
  Bucket &refill(const fleet::OrganisationSpec &Requester, base::TimePoint Now);
  TokenGrant beginProgram(Bucket &Filled,
                          const fleet::OrganisationSpec &Requester,
                          const TokenRequest &Asked, base::TimePoint Now);
  /// For calls that no running program needs to end.
  TokenGrant serveLast(Bucket &Filled, const fleet::OrganisationSpec &Requester,
                       const TokenRequest &Asked, base::TimePoint Now);
  TokenGrant continueProgram(Bucket &Filled, const Limit &Bound,
                             const TokenRequest &Asked, base::TimePoint Now);

  ProgramDemand m_Demand;
  /// Of organisations whose programs use shares of the instances as well, and
  /// so take fewer tokens here.
  ProgramDemand m_DividedDemand;
  std::map<std::string, Bucket> m_Buckets;
  base::TimePoint m_LeaderSince;
};

} // namespace psp::coordinator

#endif
