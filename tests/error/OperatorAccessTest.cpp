/// \file
/// The operators' interface refuses what it should, with a kind of the closed
/// list, and goes on serving after junk.

#include "ctl/Command.h"
#include "ctl/RpcClient.h"
#include "operators/OperatorServer.h"
#include "support/FakeOperatorHandler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <random>

namespace psp::operators {
namespace {

constexpr const char *Token = "a-token-of-enough-bytes";
constexpr long TimeoutMilliseconds = 10000;

class OperatorAccessTest : public ::testing::Test {
protected:
  OperatorAccessTest() { m_Server.start(); }

  std::string target() const {
    return "127.0.0.1:" + std::to_string(m_Server.port());
  }
  Json::Value parameters() const {
    Json::Value Value;
    Value["operator"] = "ada";
    Value["token"] = Token;
    Value["request_id"] = "r-1";
    return Value;
  }
  std::string refusal(const std::string &Method, const Json::Value &Value) {
    try {
      ctl::callRpc(target(), Method, Value, TimeoutMilliseconds);
    } catch (const ctl::RpcRefused &Error) {
      return Error.kind();
    } catch (const ctl::RpcUnreachable &Error) {
      return std::string("unreachable: ") + Error.what();
    }
    return "accepted";
  }
  /// Sends raw bytes, then reads until the other side closes.
  std::string sendRaw(const std::string &Bytes) {
    boost::asio::io_context Context;
    boost::asio::ip::tcp::socket Socket(Context);
    Socket.connect(
        {boost::asio::ip::make_address("127.0.0.1"), m_Server.port()});
    boost::system::error_code Error;
    boost::asio::write(Socket, boost::asio::buffer(Bytes), Error);
    Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Error);
    std::string Answer;
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Answer), Error);
    return Answer;
  }

  tests::FakeOperatorHandler m_Handler;
  OperatorServer m_Server{{.m_Address = {.m_Ip = "127.0.0.1", .m_Port = 0},
                           .m_Token = Token,
                           .m_MaxBodyBytes = 4096},
                          m_Handler};
};

TEST_F(OperatorAccessTest, EveryMethodNeedsTheToken) {
  Json::Value Wrong = parameters();
  Wrong["token"] = "another-token-of-enough-bytes";
  for (const char *Method :
       {"status", "dump", "metrics", "configuration", "submit", "inspect",
        "endpoint_list", "endpoint_drain", "endpoint_order",
        "order_list_unknown", "order_resolve", "key_list", "withdraw_key"})
    EXPECT_EQ(refusal(Method, Wrong), "unauthenticated") << Method;
  EXPECT_TRUE(m_Handler.m_Withdrawn.empty());
  EXPECT_EQ(refusal("status", parameters()), "accepted");
}

TEST_F(OperatorAccessTest, FaultyParametersAreNamed) {
  EXPECT_EQ(refusal("withdraw_key", parameters()), "bad-request");
  EXPECT_EQ(refusal("no_such_method", parameters()), "bad-request");
  Json::Value Command = parameters();
  Command["command"]["put_colour"] = 1;
  EXPECT_EQ(refusal("submit", Command), "bad-request");
  {
    SCOPED_TRACE("a method that this process doesn't serve");
    EXPECT_EQ(refusal("endpoint_list", parameters()), "not-found");
  }
  {
    SCOPED_TRACE("a body over the limit");
    Json::Value Large = parameters();
    Large["padding"] = std::string(8192, 'x');
    EXPECT_NE(refusal("status", Large), "accepted");
  }
  EXPECT_EQ(refusal("status", parameters()), "accepted");
}

TEST_F(OperatorAccessTest, JunkIsRefusedAndServingGoesOn) {
  std::mt19937_64 Random(20261204);
  const std::string Head = "POST / HTTP/1.1\r\nHost: x\r\nConnection: close"
                           "\r\nContent-Length: 64\r\n\r\n";
  for (int Run = 0; Run < 100; ++Run) {
    std::string Body(64, '\0');
    for (char &Byte : Body)
      Byte = static_cast<char>(Random());
    sendRaw(Run % 2 == 0 ? Body : Head + Body);
  }
  EXPECT_NE(sendRaw("GET / HTTP/1.1\r\nHost: x\r\n\r\n").find(" 405 "),
            std::string::npos);
  const std::string Deep = std::string(2000, '[');
  sendRaw("POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
          "2000\r\n\r\n" +
          Deep);
  EXPECT_EQ(refusal("status", parameters()), "accepted");
}

} // namespace
} // namespace psp::operators
