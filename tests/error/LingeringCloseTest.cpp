// Connections that are closed while their callers go on sending. They must end,
// however much and however long the callers send.

#include "gateway/LingeringClose.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <string>
#include <vector>

namespace psp::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr base::Duration LongTime = base::seconds(20);
constexpr base::Duration Slack = base::seconds(2);

/// An accepted connection and its caller.
struct Connection {
  explicit Connection(asio::io_context &Io) : m_Caller(Io), m_Accepted(Io) {
    tcp::acceptor Acceptor(Io,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    m_Caller.connect(Acceptor.local_endpoint());
    Acceptor.accept(m_Accepted);
  }

  tcp::socket m_Caller;
  tcp::socket m_Accepted;
};

/// Sends until the connection ends; returns the bytes sent.
asio::awaitable<std::size_t> sendEndlessly(tcp::socket &Caller) {
  const std::string Bytes(4096, 'x');
  std::size_t Sent = 0;
  boost::system::error_code Error;
  while (!Error)
    Sent += co_await asio::async_write(
        Caller, asio::buffer(Bytes),
        asio::redirect_error(asio::use_awaitable, Error));
  co_return Sent;
}

TEST(LingeringCloseTest, CallerReadsWhatWasWrittenBeforeItsBytesWereRead) {
  asio::io_context Io;
  Connection Tested(Io);
  LingeringClose Closer;
  const std::string Answer(100'000, 'a');
  asio::write(Tested.m_Caller, asio::buffer("unread", 6));
  asio::write(Tested.m_Accepted, asio::buffer(Answer));
  asio::co_spawn(Io, Closer.close(Tested.m_Accepted), asio::detached);
  Io.poll();
  asio::write(Tested.m_Caller, asio::buffer("later", 5));
  Io.poll();
  EXPECT_EQ(Closer.connectionCount(), 1U);
  std::string Received;
  boost::system::error_code Error;
  asio::read(Tested.m_Caller, asio::dynamic_buffer(Received), Error);
  EXPECT_EQ(Error, asio::error::eof);
  EXPECT_EQ(Received, Answer);
  Tested.m_Caller.close();
  Io.run();
  EXPECT_EQ(Closer.connectionCount(), 0U);
  EXPECT_FALSE(Tested.m_Accepted.is_open());
}

TEST(LingeringCloseTest, ConnectionEndsThoughItsCallerDoesNotEndIt) {
  asio::io_context Io;
  Connection Tested(Io);
  LingeringClose Closer({.m_MaxTime = base::milliseconds(50)});
  asio::co_spawn(Io, Closer.close(Tested.m_Accepted), asio::detached);
  const base::TimePoint Start = base::readMonotonic();
  Io.run();
  EXPECT_GE(base::readMonotonic() - Start, base::milliseconds(50));
  EXPECT_LT(base::readMonotonic() - Start, Slack);
  EXPECT_FALSE(Tested.m_Accepted.is_open());
}

TEST(LingeringCloseTest, ConnectionEndsThoughItsCallerSendsWithoutEnd) {
  constexpr std::size_t MaxBytes = 1'000'000;
  asio::io_context Io;
  Connection Tested(Io);
  LingeringClose Closer({.m_MaxTime = LongTime, .m_MaxBytes = MaxBytes});
  asio::co_spawn(Io, Closer.close(Tested.m_Accepted), asio::detached);
  auto Sent =
      asio::co_spawn(Io, sendEndlessly(Tested.m_Caller), asio::use_future);
  const base::TimePoint Start = base::readMonotonic();
  Io.run();
  EXPECT_LT(base::readMonotonic() - Start, Slack);
  EXPECT_GE(Sent.get(), MaxBytes);
  EXPECT_FALSE(Tested.m_Accepted.is_open());
}

TEST(LingeringCloseTest, ConnectionsBeyondTheirNumberAreClosedAtOnce) {
  asio::io_context Io;
  std::vector<std::unique_ptr<Connection>> Connections;
  LingeringClose Closer({.m_MaxTime = LongTime, .m_MaxConnections = 2});
  for (int Index = 0; Index < 3; ++Index) {
    Connections.push_back(std::make_unique<Connection>(Io));
    asio::co_spawn(Io, Closer.close(Connections.back()->m_Accepted),
                   asio::detached);
  }
  Io.poll();
  EXPECT_EQ(Closer.connectionCount(), 2U);
  EXPECT_TRUE(Connections[1]->m_Accepted.is_open());
  EXPECT_FALSE(Connections[2]->m_Accepted.is_open());
  for (const auto &Open : Connections)
    Open->m_Caller.close();
  Io.run();
  EXPECT_EQ(Closer.connectionCount(), 0U);
}

TEST(LingeringCloseTest, ClosedConnectionStaysClosed) {
  asio::io_context Io;
  Connection Tested(Io);
  Tested.m_Accepted.close();
  LingeringClose Closer;
  asio::co_spawn(Io, Closer.close(Tested.m_Accepted), asio::detached);
  Io.run();
  EXPECT_EQ(Closer.connectionCount(), 0U);
}

} // namespace
} // namespace psp::gateway
