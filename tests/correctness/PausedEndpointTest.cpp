#include "gateway/EndpointSilence.h"

#include <gtest/gtest.h>

namespace psp::gateway {
namespace {

using base::milliseconds;

constexpr base::Duration MaxPause = base::seconds(2);

TEST(PausedEndpointTest, PauseWithoutNewConnectionsEndsNoAnswer) {
  EndpointSilence Silence = {.m_Connection = Reachability::Silent,
                             .m_Length = milliseconds(1400)};
  {
    SCOPED_TRACE("within a pause it is probed again");
    EXPECT_EQ(nextSilenceStep(Silence, MaxPause), SilenceStep::ProbeAgain);
  }
  {
    SCOPED_TRACE("a connection opens: it has only paused, however long");
    Silence.m_Connection = Reachability::Accepts;
    Silence.m_Length = milliseconds(2900);
    EXPECT_EQ(nextSilenceStep(Silence, MaxPause), SilenceStep::Wait);
  }
}

TEST(PausedEndpointTest, LostEndpointIsAbandoned) {
  const EndpointSilence Paused = {.m_Connection = Reachability::Silent,
                                  .m_Length = milliseconds(1400)};
  {
    SCOPED_TRACE("its process has ended");
    EndpointSilence Silence = Paused;
    Silence.m_Connection = Reachability::Refuses;
    EXPECT_EQ(nextSilenceStep(Silence, MaxPause), SilenceStep::Abandon);
  }
  {
    SCOPED_TRACE("longer than any pause");
    EndpointSilence Silence = Paused;
    Silence.m_Length = MaxPause;
    EXPECT_EQ(nextSilenceStep(Silence, MaxPause), SilenceStep::Abandon);
  }
  {
    SCOPED_TRACE("its data centre is cut off");
    EndpointSilence Silence = Paused;
    Silence.m_DataCentreSilent = true;
    EXPECT_EQ(nextSilenceStep(Silence, MaxPause), SilenceStep::Abandon);
  }
  {
    SCOPED_TRACE("another endpoint can answer");
    EndpointSilence Silence = Paused;
    Silence.m_CanRetry = true;
    EXPECT_EQ(nextSilenceStep(Silence, MaxPause), SilenceStep::Abandon);
  }
}

} // namespace
} // namespace psp::gateway
