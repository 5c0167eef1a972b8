/// \file
/// Interface that tells which endpoints can be used without opening a
/// connection.

#ifndef PSP_GATEWAY_IDLECONNECTIONS_H
#define PSP_GATEWAY_IDLECONNECTIONS_H

#include <string>

namespace psp::gateway {

class IdleConnections {
public:
  virtual ~IdleConnections() = default;

  /// Whether an open, idle connection to \p Address is available.
  virtual bool hasIdle(const std::string &Address) const = 0;
};

} // namespace psp::gateway

#endif
