/// \file
/// Announcements that arrive late, twice or out of order must change nothing,
/// and an endpoint that left or whose lease expired must not be usable.

#include "support/ScheduleSupport.h"

#include "base/Error.h"

#include <gtest/gtest.h>

namespace psp::schedule {
namespace {

using support::at;
using support::endpoint;
using support::leavingEndpoint;

class EndpointRegistryTest : public ::testing::Test {
protected:
  EndpointRegistry m_Registry;
};

TEST_F(EndpointRegistryTest, LeaseExpiresUnlessRenewed) {
  EXPECT_EQ(m_Registry.announce(endpoint("e", 1), at(0)),
            AnnounceResult::Joined);
  {
    SCOPED_TRACE("a renewal extends the lease");
    EXPECT_EQ(m_Registry.announce(endpoint("e", 2), at(2)),
              AnnounceResult::Renewed);
    EXPECT_TRUE(m_Registry.expireLeases(at(4)).empty());
    EXPECT_EQ(m_Registry.usableEndpoints(at(4.9)).size(), 1U);
  }
  {
    SCOPED_TRACE("a repeated announcement doesn't extend it");
    EXPECT_EQ(m_Registry.announce(endpoint("e", 2), at(4)),
              AnnounceResult::Ignored);
    EXPECT_TRUE(m_Registry.usableEndpoints(at(5)).empty());
    EXPECT_EQ(m_Registry.expireLeases(at(5)).size(), 1U);
  }
  {
    SCOPED_TRACE("a newer announcement makes the endpoint usable again");
    EXPECT_EQ(m_Registry.announce(endpoint("e", 3), at(6)),
              AnnounceResult::Joined);
    EXPECT_EQ(m_Registry.usableEndpoints(at(6)).size(), 1U);
  }
}

TEST_F(EndpointRegistryTest, LeavingIsFinalForAnIncarnation) {
  m_Registry.announce(endpoint("e", 1), at(0));
  EXPECT_EQ(m_Registry.announce(leavingEndpoint("e", 5), at(1)),
            AnnounceResult::Left);
  EXPECT_TRUE(m_Registry.usableEndpoints(at(1)).empty());
  {
    SCOPED_TRACE("announcements that arrive after the leave are ignored");
    EXPECT_EQ(m_Registry.announce(endpoint("e", 4), at(1)),
              AnnounceResult::Ignored);
    EXPECT_EQ(m_Registry.announce(endpoint("e", 6), at(1)),
              AnnounceResult::Ignored);
  }
  {
    SCOPED_TRACE("a leave that arrives before any announcement applies too");
    EXPECT_EQ(m_Registry.announce(leavingEndpoint("f", 5), at(1)),
              AnnounceResult::Left);
    EXPECT_EQ(m_Registry.announce(endpoint("f", 4), at(1)),
              AnnounceResult::Ignored);
  }
  {
    SCOPED_TRACE("the next incarnation joins, whatever its sequence");
    auto Next = endpoint("e", 1);
    Next.set_incarnation(2);
    EXPECT_EQ(m_Registry.announce(Next, at(2)), AnnounceResult::Joined);
    EXPECT_EQ(m_Registry.announce(leavingEndpoint("e", 9), at(2)),
              AnnounceResult::Ignored);
  }
}

TEST_F(EndpointRegistryTest, RejectsAnnouncementWithoutAddress) {
  auto State = endpoint("e");
  State.clear_address();
  EXPECT_THROW(m_Registry.announce(State, at(0)), base::UserError);
}

} // namespace
} // namespace psp::schedule
