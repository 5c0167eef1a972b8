/// \file
/// Hands out the requests that organisations with a low rate may send, from
/// one bucket each, at the leader of control.

#ifndef PSP_COORDINATOR_TOKENALLOCATOR_H
#define PSP_COORDINATOR_TOKENALLOCATOR_H

#include "base/Time.h"
#include "fleet/ServingConfiguration.h"

#include <map>
#include <string>

namespace psp::coordinator {

/// Load pattern: an organisation's rate is cut far below what it sends, and
/// its callers are spread unevenly over the entry instances, so that fixed
/// shares would refuse calls inside its rate.
///
/// A program needs a dozen calls, and fails with the first that is refused for
/// good. So the last part of a bucket is kept for programs that have begun:
/// spread over all calls, refusals would end nearly every program.
///
/// A new leader starts with empty buckets: what its predecessor handed out is
/// unknown to it, and the first fill takes as long as the burst lasts.
class TokenAllocator {
public:
  /// How many of \p Wanted tokens \p Asking may have now, \p NewProgram: for
  /// calls that begin a program.
  std::uint32_t take(const fleet::OrganisationSpec &Asking,
                     std::uint32_t Wanted, bool NewProgram,
                     base::TimePoint Now);
  /// This node has just become the leader.
  void reset(base::TimePoint Now);

private:
  struct Bucket {
    double m_Tokens = 0;
    base::TimePoint m_FilledAt;
  };
  std::map<std::string, Bucket> m_Buckets;
  base::TimePoint m_Since;
};

} // namespace psp::coordinator

#endif
