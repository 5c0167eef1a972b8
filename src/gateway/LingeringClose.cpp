#include "gateway/LingeringClose.h"

#include "web/OperationTimeout.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

namespace psp::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Bytes that are discarded at once.
constexpr std::size_t DiscardBytes = 4096;

} // namespace

asio::awaitable<void> LingeringClose::close(tcp::socket &Socket) {
  if (!Socket.is_open())
    co_return;
  boost::system::error_code Error;
  Socket.shutdown(tcp::socket::shutdown_send, Error);
  if (!Error && m_Connections < m_Options.m_MaxConnections) {
    struct Registration {
      std::size_t &m_Count;
      ~Registration() { --m_Count; }
    };
    const Registration Registered{++m_Connections};
    co_await discard(Socket);
  }
  Socket.close(Error); // It is released either way.
}

/// Until the caller ends its side, or a limit is reached.
asio::awaitable<void> LingeringClose::discard(tcp::socket &Socket) {
  web::OperationTimeout Timeout(Socket.get_executor());
  Timeout.set(m_Options.m_MaxTime, [&Socket] {
    boost::system::error_code Ignored; // The socket is closed then.
    Socket.close(Ignored);
  });
  std::array<char, DiscardBytes> Discarded{};
  std::size_t Total = 0;
  boost::system::error_code Error;
  while (!Error && Total < m_Options.m_MaxBytes)
    Total += co_await Socket.async_read_some(
        asio::buffer(Discarded),
        asio::redirect_error(asio::use_awaitable, Error));
}

} // namespace psp::gateway
