/// \file
/// The HTTP/1.1 server for callers, endpoints' announcements and the platform,
/// built on Boost.Beast.

#ifndef PSP_NET_CALLERSERVER_H
#define PSP_NET_CALLERSERVER_H

#include "base/Time.h"
#include "messages/CallerMessages.h"
#include "net/IoThread.h"
#include "settings/Settings.h"

#include <functional>
#include <memory>

namespace psp::net {

struct CallerServerOptions {
  settings::Address m_Listen;
  std::size_t m_MaxBodyBytes = 0;
  std::size_t m_MaxHeaderBytes = 0;
  std::size_t m_MaxConnections = 10000;
  base::Duration m_IdleTimeout = base::seconds(30);
};

/// Accepts connections and serves one request at a time on each. All members
/// except the constructor and busy() must run on the given thread.
class CallerServer {
public:
  /// Returns false when the event can't be queued; the request is then answered
  /// with `overloaded`.
  using Receiver = std::function<bool(messages::CallerEvent)>;

  CallerServer(CallerServerOptions Options, IoThread &Thread, Receiver Receive);
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;
  ~CallerServer();

  /// Binds the address and starts accepting connections. Throws when the
  /// address can't be bound.
  void start();

  /// Accepts no further connections. Each open connection is closed after its
  /// current or next answer, or at its idle timeout.
  void drain();

  /// Sends one reply. A reply whose request has ended is dropped.
  void reply(messages::CallerReply Reply);

  /// Number of requests in progress, including those whose answer is not yet
  /// completely written. May be called on any thread.
  std::size_t busy() const;

private:
  struct Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace psp::net

#endif
