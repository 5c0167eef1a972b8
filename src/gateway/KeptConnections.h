/// \file
/// Interface that tells which endpoints can be used without opening a
/// connection.

#ifndef PSP_GATEWAY_KEPTCONNECTIONS_H
#define PSP_GATEWAY_KEPTCONNECTIONS_H

#include <string>

namespace psp::gateway {

class KeptConnections {
public:
  virtual ~KeptConnections() = default;

  /// Whether an open, idle connection to \p Address is available.
  virtual bool hasKept(const std::string &Address) const = 0;
};

} // namespace psp::gateway

#endif
