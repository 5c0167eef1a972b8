// A coroutine in the background that ends with an exception is reported, and an
// accept loop goes on.

#include "web/AcceptLoop.h"
#include "web/Spawn.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <stdexcept>
#include <vector>

namespace psp::web {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class CoroutineFailureTest : public testing::Test {
protected:
  CoroutineFailureTest() {
    setFailureReporter(
        m_Io, [this](std::string_view Name, const std::string &Reason) {
          m_Reports.push_back(std::string(Name) + ": " + Reason);
        });
  }

  asio::io_context m_Io;
  std::vector<std::string> m_Reports;
};

asio::awaitable<void> fail() {
  throw std::runtime_error("out of order");
  co_return;
}

TEST_F(CoroutineFailureTest, ExceptionIsReportedWithTheCoroutinesName) {
  spawn(m_Io.get_executor(), "first", fail());
  spawn(m_Io.get_executor(), "second", [] { return fail(); });
  spawn(m_Io.get_executor(), "third", []() -> asio::awaitable<void> {
    throw 7; // No std::exception.
    co_return;
  });
  bool Ended = false;
  spawn(m_Io.get_executor(), "sound", [&]() -> asio::awaitable<void> {
    Ended = true;
    co_return;
  });
  m_Io.run();
  EXPECT_TRUE(Ended);
  EXPECT_EQ(m_Reports, (std::vector<std::string>{"first: out of order",
                                                 "second: out of order",
                                                 "third: unknown exception"}));
}

TEST_F(CoroutineFailureTest, AcceptLoopGoesOnAfterAnException) {
  tcp::acceptor Acceptor(m_Io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  int Accepted = 0;
  spawn(m_Io.get_executor(), "accept",
        acceptConnections(Acceptor, "accept", [&](const tcp::socket &) {
          if (++Accepted == 1)
            throw std::runtime_error("no room");
          Acceptor.close();
        }));
  std::vector<tcp::socket> Callers;
  for (int Caller = 0; Caller < 2; ++Caller)
    Callers.emplace_back(m_Io).connect(Acceptor.local_endpoint());
  m_Io.run();
  EXPECT_EQ(Accepted, 2);
  EXPECT_EQ(m_Reports, std::vector<std::string>{"accept: no room"});
}

} // namespace
} // namespace psp::web
