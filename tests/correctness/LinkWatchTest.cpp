#include "link/LinkManager.h"
#include "support/LinkEncoding.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace psp::link {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t PeerCount = 8;
/// In which all links connect, and read what has arrived, on a busy machine.
constexpr auto ConnectTime = 250ms;

class LinkWatchTest : public testing::Test {
protected:
  LinkWatchTest() {
    NodeState Self;
    Self.set_name("self");
    m_Manager.setSelf(Self);
    std::set<PeerAddress> Addresses;
    for (std::size_t I = 0; I < PeerCount; ++I) {
      m_Acceptors.emplace_back(
          m_Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
      Addresses.insert({.m_Host = "127.0.0.1",
                        .m_Port = m_Acceptors.back().local_endpoint().port()});
    }
    m_Manager.dial(Addresses);
    m_Io.run_for(ConnectTime);
    for (std::size_t I = 0; I < PeerCount; ++I) {
      m_Peers.push_back(m_Acceptors[I].accept());
      LinkMessage Hello;
      Hello.mutable_hello()->mutable_node()->set_name("peer-" +
                                                      std::to_string(I));
      asio::write(m_Peers.back(), asio::buffer(encode(Hello)));
    }
    m_Io.run_for(ConnectTime);
  }

  void sendPings() {
    LinkMessage Ping;
    Ping.mutable_ping();
    for (tcp::socket &Peer : m_Peers)
      asio::write(Peer, asio::buffer(encode(Ping)));
  }

  asio::io_context m_Io;
  LinkManager m_Manager{
      m_Io,
      {},
      {.m_OnMessage = [](const auto &, auto &) {},
       .m_OnConnected = [](const auto &) {},
       .m_OnDisconnected = [](const auto &, const auto &) {}}};
  std::vector<tcp::acceptor> m_Acceptors;
  std::vector<tcp::socket> m_Peers;
};

TEST_F(LinkWatchTest, IdleLinksGetPingsAndSilentOnesAreClosed) {
  ASSERT_EQ(m_Manager.connectedNodes().size(), PeerCount);
  std::vector<std::size_t> Greeted;
  for (tcp::socket &Peer : m_Peers)
    Greeted.push_back(Peer.available());
  m_Io.run_for(900ms);
  for (std::size_t I = 0; I < PeerCount; ++I)
    EXPECT_GT(m_Peers[I].available(), Greeted[I]) << I;
  sendPings();
  m_Io.run_for(1500ms);
  EXPECT_EQ(m_Manager.connectedNodes().size(), PeerCount)
      << "heard within the timeout";
  m_Io.run_for(1000ms);
  EXPECT_EQ(m_Manager.connectedNodes().size(), 0U);
}

TEST_F(LinkWatchTest, WhatArrivedDuringAStallOfThisProcessCounts) {
  ASSERT_EQ(m_Manager.connectedNodes().size(), PeerCount);
  sendPings();
  std::this_thread::sleep_for(2000ms);
  m_Io.run_for(300ms);
  EXPECT_EQ(m_Manager.connectedNodes().size(), PeerCount);
}

} // namespace
} // namespace psp::link
