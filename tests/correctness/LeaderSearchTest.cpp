// While no leader is known one call looks for it, however many wait.

#include "gateway/LeaderSearch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

namespace psp::gateway {
namespace {

namespace asio = boost::asio;
using Entry = LeaderSearch::Entry;

class LeaderSearchTest : public ::testing::Test {
protected:
  void call(base::Duration Limit = base::seconds(10)) {
    asio::co_spawn(
        m_Io,
        [this, Limit]() -> asio::awaitable<void> {
          const Entry Came = co_await m_Search.enter(Limit);
          m_Went += Came == Entry::Go ? 1 : 0;
          m_Sought += Came == Entry::Seek ? 1 : 0;
          m_GaveUp += Came == Entry::TimedOut ? 1 : 0;
        },
        asio::detached);
    settle();
  }
  void settle() {
    m_Io.restart();
    m_Io.poll();
  }

  asio::io_context m_Io;
  LeaderSearch m_Search{m_Io};
  int m_Went = 0;
  int m_Sought = 0;
  int m_GaveUp = 0;
};

TEST_F(LeaderSearchTest, OneOfManyCallsLooksForTheLeader) {
  for (int Each = 0; Each < 200; ++Each)
    call();
  EXPECT_EQ(m_Sought, 1);
  EXPECT_EQ(m_Went, 0);
  {
    SCOPED_TRACE("its try fails: another one looks");
    m_Search.leave();
    settle();
    EXPECT_EQ(m_Sought, 2);
    EXPECT_EQ(m_Went, 0);
  }
  {
    SCOPED_TRACE("the leader is found: all go on");
    m_Search.found("history-1", base::readMonotonic());
    m_Search.leave();
    settle();
    EXPECT_EQ(m_Sought, 2);
    EXPECT_EQ(m_Went, 198);
    call();
    EXPECT_EQ(m_Went, 199);
  }
  {
    SCOPED_TRACE("late news of another node change nothing");
    m_Search.lost("history-2");
    EXPECT_EQ(m_Search.leader(), "history-1");
  }
  {
    SCOPED_TRACE("the leader is lost: one looks again, where the hint points");
    m_Search.lost("history-1");
    m_Search.hint("history-2");
    call();
    call();
    EXPECT_EQ(m_Sought, 3);
    EXPECT_EQ(m_Search.hinted(), "history-2");
  }
}

TEST_F(LeaderSearchTest, AWaitingCallGivesUpInTime) {
  call();
  call(base::Duration(0));
  EXPECT_EQ(m_Sought, 1);
  EXPECT_EQ(m_GaveUp, 1);
}

} // namespace
} // namespace psp::gateway
