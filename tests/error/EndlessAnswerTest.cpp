// Servers in trouble send bytes without end, in a head or a body, until the
// other side closes. Reading them ends, and memory stays bounded.

#include "gateway/EndpointChannel.h"
#include "gateway/EventStream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

namespace psp::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// What a reader may take of an answer that never ends: well above any head,
/// line or chunk header that a sound server sends.
constexpr std::size_t MostBytes = 4U << 20U;

/// Sends a start and then the same bytes again and again.
class EndlessServer {
public:
  EndlessServer(asio::io_context &Io, std::string Start, std::string Rest)
      : m_Acceptor(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        m_Start(std::move(Start)), m_Rest(std::move(Rest)) {
    asio::co_spawn(Io, serve(), asio::detached);
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
  }
  std::size_t sentBytes() const { return m_Sent; }

private:
  asio::awaitable<void> serve() {
    tcp::socket Socket = co_await m_Acceptor.async_accept(asio::use_awaitable);
    boost::system::error_code Error;
    std::string Next = m_Start;
    while (!Error && m_Sent < 16 * MostBytes) {
      m_Sent += co_await asio::async_write(
          Socket, asio::buffer(Next),
          asio::redirect_error(asio::use_awaitable, Error));
      Next = m_Rest;
    }
  }

  tcp::acceptor m_Acceptor;
  std::string m_Start;
  std::string m_Rest;
  std::size_t m_Sent = 0;
};

/// Reads an answer as far as the reader does, and returns how much it passed
/// on.
std::size_t readAll(const std::string &Start, const std::string &Rest,
                    std::size_t &Sent, bool &Complete) {
  asio::io_context Io;
  EndlessServer Server(Io, Start, Rest);
  EndpointChannel Channel(Io, Server.address());
  std::size_t Passed = 0;
  asio::co_spawn(
      Io,
      [&]() -> asio::awaitable<void> {
        EXPECT_TRUE(co_await Channel.connect(base::seconds(1)));
        Request Out;
        EXPECT_TRUE(co_await Channel.send(Out));
        if (co_await Channel.readHead())
          while (Passed < 2 * MostBytes) {
            const std::string_view Piece = co_await Channel.readSome();
            if (Piece.empty())
              break;
            Passed += Piece.size();
          }
        Complete = Channel.isComplete();
        Channel.abort();
      },
      asio::detached);
  Io.run();
  Sent = Server.sentBytes();
  return Passed;
}

TEST(EndlessAnswerTest, AHeadWithoutEndIsGivenUp) {
  std::size_t Sent = 0;
  bool Complete = true;
  for (const std::string &Rest :
       {std::string(1000, 'a'), "X: " + std::string(500, 'a') + "\r\n"}) {
    EXPECT_EQ(readAll("HTTP/1.1 200 OK\r\nX: ", Rest, Sent, Complete), 0U);
    EXPECT_LT(Sent, 2 * MostBytes);
  }
}

TEST(EndlessAnswerTest, NoiseInsteadOfAHeadIsGivenUp) {
  std::size_t Sent = 0;
  bool Complete = true;
  EXPECT_EQ(readAll("", std::string(1000, 'z'), Sent, Complete), 0U);
  EXPECT_LT(Sent, 2 * MostBytes);
}

TEST(EndlessAnswerTest, AChunkHeaderOrTrailerWithoutEndIsGivenUp) {
  const std::string Head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::size_t Sent = 0;
  bool Complete = true;
  {
    SCOPED_TRACE("an extension of a chunk");
    readAll(Head + "5;x=", std::string(1000, 'a'), Sent, Complete);
    EXPECT_FALSE(Complete);
    EXPECT_LT(Sent, 2 * MostBytes);
  }
  {
    SCOPED_TRACE("fields behind the last chunk");
    readAll(Head + "0\r\n", "X: " + std::string(500, 'a') + "\r\n", Sent,
            Complete);
    EXPECT_FALSE(Complete);
    EXPECT_LT(Sent, 2 * MostBytes);
  }
}

TEST(EndlessAnswerTest, AnEventWithoutEndIsNoticed) {
  EventStream Events(true);
  std::size_t Fed = 0;
  while (!Events.isOverlong() && Fed < 16 * MostBytes) {
    Events.feed(std::string(1000, 'a'));
    Fed += 1000;
  }
  EXPECT_LT(Fed, MostBytes);
  {
    SCOPED_TRACE("neither one of many lines");
    EventStream Lines(true);
    Fed = 0;
    while (!Lines.isOverlong() && Fed < 16 * MostBytes) {
      Lines.feed("data: " + std::string(100, 'a') + "\n");
      Fed += 107;
    }
    EXPECT_LT(Fed, MostBytes);
  }
  {
    SCOPED_TRACE("many sound events are none");
    EventStream Sound(false);
    for (int Each = 0; Each < 10'000; ++Each)
      Sound.feed("id: 1\ndata: " + std::string(1000, 'a') + "\n\n");
    EXPECT_FALSE(Sound.isOverlong());
    EXPECT_EQ(Sound.eventCount(), 10'000U);
  }
}

} // namespace
} // namespace psp::gateway
