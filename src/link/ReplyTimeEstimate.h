/// \file
/// How long the replies of a node take.

#ifndef PSP_LINK_REPLYTIMEESTIMATE_H
#define PSP_LINK_REPLYTIMEESTIMATE_H

#include "base/Time.h"

namespace psp::link {

/// Load pattern: a node is overloaded, so all its replies are late. Requests
/// that are sent again then would add to its load, and keep it overloaded when
/// the burst has passed. So the timeout follows the replies, as that of TCP
/// does (RFC 6298).
class ReplyTimeEstimate {
public:
  /// \p ReplyTime: from the first send of a request to its reply.
  void observe(base::Duration ReplyTime);
  /// The time after which a reply is lost rather than late, within the limits.
  base::Duration timeout(base::Duration Min, base::Duration Max) const;

private:
  double m_MeanUs = 0; ///< Smoothed; zero before the first reply.
  double m_DeviationUs = 0;
};

} // namespace psp::link

#endif
