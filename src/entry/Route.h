/// \file
/// Turns a caller's HTTP request into what it asks for, or into a clear
/// error of the closed list.

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

/// A request that was understood.
struct Route {
  RouteKind m_Kind = RouteKind::Live;
  /// For RunCall; for EndProgram only the program is set.
  messages::CallRequest m_Call;
  bool m_Chat = false;
  std::optional<base::Duration> m_Deadline;
};

/// Throws UserError when the request isn't understood.
Route parseRoute(const messages::CallerRequest &Request);

} // namespace psp::entry

#endif
