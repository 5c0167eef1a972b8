/// \file
/// The operators' interface: JSON-RPC 2.0 over HTTP on its own thread.

#ifndef PSP_OPERATORS_OPERATORSERVER_H
#define PSP_OPERATORS_OPERATORSERVER_H

#include "operators/OperatorHandler.h"
#include "settings/Settings.h"

#include <cstddef>
#include <memory>
#include <string>

namespace psp::operators {

struct OperatorServerOptions {
  settings::Address m_Address; ///< Port 0 takes any free one.
  std::string m_Token;         ///< What every call must carry.
  std::size_t m_MaxBodyBytes = 1U << 20U;
  std::size_t m_MaxConnections = 32;
  base::Duration m_IdleTimeout = base::seconds(30);
};

/// Serves from start() until it is destroyed. Calls run one after the other.
///
/// Example:
/// \code
///   OperatorServer Server({.m_Address = Address, .m_Token = Token}, Handler);
///   Server.start();
/// \endcode
class OperatorServer {
public:
  OperatorServer(const OperatorServerOptions &Options,
                 OperatorHandler &Handler);
  ~OperatorServer();
  OperatorServer(const OperatorServer &) = delete;
  OperatorServer &operator=(const OperatorServer &) = delete;

  /// Throws base::UserError when the address can't be bound.
  void start();
  /// Ends the thread; connections are closed. May be called twice.
  void stop();
  /// The port that is bound, after start().
  std::uint16_t port() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace psp::operators

#endif
