/// \file
/// The stand-in engine's cost model and cache, and answers that follow from
/// the conversation alone.

#include "bench/BatchEngine.h"
#include "bench/Conversation.h"
#include "bench/PrefixCache.h"

#include <gtest/gtest.h>

namespace psp::bench {
namespace {

TEST(BatchEngine, StepsGetLongerWithEachRunningCall) {
  BatchEngine Engine({.m_TokenTime = base::milliseconds(10),
                      .m_BatchCost = 0.1,
                      .m_PrefillTimePerToken = base::microseconds(10),
                      .m_PrefillTokensPerStep = 100,
                      .m_Slots = 2});
  EXPECT_EQ(Engine.beginStep(), base::Duration::zero());
  Engine.submit(1, 0, 1);
  EXPECT_EQ(Engine.beginStep(), base::milliseconds(10));
  ASSERT_EQ(Engine.endStep().size(), 1U);
  {
    SCOPED_TRACE("two run, the third waits; the prompt takes two steps");
    Engine.submit(2, 150, 1);
    Engine.submit(3, 0, 2);
    Engine.submit(4, 0, 1);
    EXPECT_EQ(Engine.beginStep(), base::milliseconds(12));
    EXPECT_EQ(Engine.waiting(), 1U);
    EXPECT_EQ(Engine.endStep().size(), 1U);
    EXPECT_EQ(Engine.beginStep(), base::microseconds(11500));
    EXPECT_EQ(Engine.endStep().size(), 2U);
    Engine.cancel(4);
    EXPECT_EQ(Engine.beginStep(), base::Duration::zero());
  }
}

TEST(PrefixCache, HoldsTheMostRecentlyUsedTokens) {
  const Conversation First = {{"user", std::string(400, 'a')}};
  Conversation Second = First;
  Second.push_back({"assistant", std::string(400, 'b')});
  PrefixCache Cache(250);
  Cache.insert("p", prefixesOf(First));
  EXPECT_EQ(Cache.cachedTokens(prefixesOf(Second)), 100U);
  Cache.insert("p", prefixesOf(Second));
  EXPECT_EQ(Cache.cachedTokens(prefixesOf(Second)), 200U);
  {
    SCOPED_TRACE("another program evicts the longer prefix first");
    Cache.insert("q", prefixesOf({{"user", std::string(400, 'c')}}));
    EXPECT_EQ(Cache.cachedTokens(prefixesOf(Second)), 100U);
  }
  Cache.release("p");
  EXPECT_EQ(Cache.cachedTokens(prefixesOf(Second)), 0U);
  EXPECT_EQ(Cache.heldTokens(), 100U);
}

TEST(Conversation, AnAnswerFollowsFromProgramTurnAndMessages) {
  const Conversation Messages = {{"user", "hello"}};
  const std::uint64_t Seed = answerSeed("p", "1", Messages);
  EXPECT_EQ(Seed, answerSeed("p", "1", Messages));
  EXPECT_NE(Seed, answerSeed("p", "2", Messages));
  EXPECT_NE(Seed, answerSeed("q", "1", Messages));
  EXPECT_EQ(answerText(Seed, 3).size(), 12U);
  EXPECT_EQ(answerText(Seed, 1), answerToken(Seed, 0));
}

} // namespace
} // namespace psp::bench
