/// \file
/// What is known of a call that may have ended its endpoint.

#ifndef PSP_GATEWAY_LOSTCALL_H
#define PSP_GATEWAY_LOSTCALL_H

#include "base/Time.h"
#include "generated/fleet.pb.h"

#include <string>

namespace psp::gateway {

/// A call that an endpoint may have executed when it ended.
struct LostCall {
  enum class Kind {
    Lost,      ///< Its connection ended before the response.
    Abandoned, ///< Its caller left, or its deadline passed.
  };

  Kind m_Kind = Kind::Lost;
  messages::fleet::EndpointCrash m_Crash; ///< Without times.
  std::string m_Address;
  base::TimePoint m_SentAt;
  base::TimePoint m_LostAt;
};

} // namespace psp::gateway

#endif
