// While no leader is known, only one call searches for it, however many wait.

#include "gateway/LeaderSearch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

namespace psp::gateway {
namespace {

namespace asio = boost::asio;
using WaitResult = LeaderSearch::WaitResult;

class LeaderSearchTest : public ::testing::Test {
protected:
  void startCall(base::Duration Timeout = base::seconds(10)) {
    asio::co_spawn(
        m_Io,
        [this, Timeout]() -> asio::awaitable<void> {
          const WaitResult Result = co_await m_Search.waitForLeader(Timeout);
          m_Proceeded += Result == WaitResult::LeaderKnown ? 1 : 0;
          m_Searches += Result == WaitResult::Search ? 1 : 0;
          m_TimedOut += Result == WaitResult::TimedOut ? 1 : 0;
        },
        asio::detached);
    runReadyHandlers();
  }
  void runReadyHandlers() {
    m_Io.restart();
    m_Io.poll();
  }

  asio::io_context m_Io;
  LeaderSearch m_Search{m_Io};
  int m_Proceeded = 0;
  int m_Searches = 0;
  int m_TimedOut = 0;
};

TEST_F(LeaderSearchTest, OneOfManyCallsSearchesForTheLeader) {
  for (int Call = 0; Call < 200; ++Call)
    startCall();
  EXPECT_EQ(m_Searches, 1);
  EXPECT_EQ(m_Proceeded, 0);
  {
    SCOPED_TRACE("its search fails: another call searches");
    m_Search.finishSearch();
    runReadyHandlers();
    EXPECT_EQ(m_Searches, 2);
    EXPECT_EQ(m_Proceeded, 0);
  }
  {
    SCOPED_TRACE("the leader is found: all calls proceed");
    m_Search.confirmLeader("history-1", base::readMonotonic());
    m_Search.finishSearch();
    runReadyHandlers();
    EXPECT_EQ(m_Searches, 2);
    EXPECT_EQ(m_Proceeded, 198);
    startCall();
    EXPECT_EQ(m_Proceeded, 199);
  }
  {
    SCOPED_TRACE("a late failure of another node changes nothing");
    m_Search.clearLeader("history-2");
    EXPECT_EQ(m_Search.leader(), "history-1");
  }
  {
    SCOPED_TRACE(
        "the leader is lost: one call searches again, at the hinted node");
    m_Search.clearLeader("history-1");
    m_Search.setHint("history-2");
    startCall();
    startCall();
    EXPECT_EQ(m_Searches, 3);
    EXPECT_EQ(m_Search.hint(), "history-2");
  }
}

TEST_F(LeaderSearchTest, AWaitingCallTimesOut) {
  startCall();
  startCall(base::Duration(0));
  EXPECT_EQ(m_Searches, 1);
  EXPECT_EQ(m_TimedOut, 1);
}

} // namespace
} // namespace psp::gateway
