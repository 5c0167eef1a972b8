/// \file
/// The HTTP side of the operators' interface: a connector for libjsonrpccpp
/// on Boost.Beast. The library's own connector can't be bound to one address
/// and takes bodies of any size, which is why it isn't used.

#ifndef PSP_OPERATORS_HTTPCONNECTOR_H
#define PSP_OPERATORS_HTTPCONNECTOR_H

#include "base/Time.h"
#include "settings/Settings.h"

#include <jsonrpccpp/server/abstractserverconnector.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace psp::operators {

struct HttpConnectorOptions {
  settings::Address m_Address;
  std::size_t m_MaxBodyBytes = 0;
  std::size_t m_MaxConnections = 0;
  base::Duration m_IdleTimeout{};
};

/// Answers `POST /` on one thread of its own, one call after the other.
/// Connections over the limit are closed at once.
class HttpConnector : public jsonrpc::AbstractServerConnector {
public:
  explicit HttpConnector(HttpConnectorOptions Options);
  ~HttpConnector() override;

  /// Throws base::UserError when the address can't be bound.
  bool StartListening() override; // NOLINT(readability-identifier-naming)
  bool StopListening() override;  // NOLINT(readability-identifier-naming)
  /// Unused: each answer is returned by its handler.
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool SendResponse(const std::string &Response, void *Info) override;

  std::uint16_t port() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace psp::operators

#endif
