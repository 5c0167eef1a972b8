/// \file
/// Parses a caller's HTTP request into a route, or reports one of the defined
/// error kinds.

#ifndef PSP_ENTRY_ROUTE_H
#define PSP_ENTRY_ROUTE_H

#include "base/Time.h"
#include "generated/program.pb.h"
#include "messages/CallerMessages.h"

#include <optional>
#include <string>

namespace psp::entry {

enum class RouteKind {
  CreateProgram, ///< POST /v1/programs
  EndProgram,    ///< DELETE /v1/programs/ID
  RunCall,       ///< POST /v1/chat/completions, POST /v1/services/NAME...
  Announce,      ///< POST /v1/endpoints/announce
  Leave,         ///< POST /v1/endpoints/leave
  Live,          ///< GET /healthz
  Ready,         ///< GET /readyz
  Metrics,       ///< GET /metrics
};

/// A successfully parsed request.
struct Route {
  RouteKind m_Kind = RouteKind::Live;
  /// For RunCall; for EndProgram only the program is set.
  messages::CallRequest m_Call;
  bool m_Chat = false;
  std::optional<base::Duration> m_Deadline;
};

/// Throws UserError when the request is invalid or matches no route.
Route parseRoute(const messages::CallerRequest &Request);

} // namespace psp::entry

#endif
