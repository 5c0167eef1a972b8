/// \file
/// Allocates request tokens to organisations with a low rate, from one token
/// bucket each, at the leader of the control group.

#ifndef PSP_COORDINATOR_TOKENALLOCATOR_H
#define PSP_COORDINATOR_TOKENALLOCATOR_H

#include "base/Time.h"
#include "fleet/ServingConfiguration.h"

#include <map>
#include <string>

namespace psp::coordinator {

/// Load pattern: an organisation's rate is cut far below what it sends, and its
/// callers are spread unevenly over the entry instances, so that fixed shares
/// would reject calls within its rate.
///
/// A program needs a dozen calls, and fails with the first one that is
/// permanently rejected. So the last part of a bucket is reserved for programs
/// that have begun: if rejections were spread over all calls, nearly every
/// program would fail.
///
/// A new leader starts with empty buckets: the number of tokens that its
/// predecessor allocated isn't replicated, and the first fill takes as long as
/// the burst lasts.
class TokenAllocator {
public:
  /// Takes up to \p Wanted tokens for \p Requester and returns their number.
  /// \p NewProgram: for calls that begin a program.
  std::uint32_t allocate(const fleet::OrganisationSpec &Requester,
                         std::uint32_t Wanted, bool NewProgram,
                         base::TimePoint Now);
  /// Whole tokens of \p Organisation after its last call of allocate().
  std::uint64_t left(const std::string &Organisation) const;
  /// Empties all buckets, when this node has become the leader.
  void reset(base::TimePoint Now);

private:
  struct Bucket {
    double m_Tokens = 0;
    base::TimePoint m_FilledAt;
  };
  std::map<std::string, Bucket> m_Buckets;
  base::TimePoint m_LeaderSince;
};

} // namespace psp::coordinator

#endif
