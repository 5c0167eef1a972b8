#include "web/AcceptLoop.h"

#include "base/Time.h"
#include "web/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace psp::web {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// The process may be out of descriptors or memory for a moment.
constexpr base::Duration RetryDelay = base::milliseconds(100);

asio::awaitable<void> acceptOne(tcp::acceptor &Acceptor,
                                const std::function<void(tcp::socket)> &Handle,
                                boost::system::error_code &Error) {
  tcp::socket Socket = co_await Acceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, Error));
  if (!Error)
    Handle(std::move(Socket));
}

} // namespace

asio::awaitable<void>
acceptConnections(tcp::acceptor &Acceptor, std::string_view Name,
                  std::function<void(tcp::socket)> Handle) {
  asio::steady_timer Timer(Acceptor.get_executor());
  while (Acceptor.is_open()) {
    boost::system::error_code Error;
    const std::exception_ptr Failure =
        co_await catchFailure(acceptOne(Acceptor, Handle, Error));
    if (Failure)
      reportFailure(Acceptor.get_executor(), Name, Failure);
    if ((!Failure && !Error) || !Acceptor.is_open())
      continue;
    Timer.expires_after(RetryDelay);
    co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Error));
  }
}

} // namespace psp::web
