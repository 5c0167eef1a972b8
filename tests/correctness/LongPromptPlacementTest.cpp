// Under load, the slots of the engine that caches a long prompt are taken by
// other programs between two of its turns. Prefilling the prompt elsewhere
// delays the turn and all others there, so it is worth a longer queue.

#include "turns/EnginePlacement.h"

#include <gtest/gtest.h>

namespace psp::turns {
namespace {

constexpr std::uint32_t LongPromptTokens = 4000;
constexpr std::uint32_t ShortPromptTokens = 100;
constexpr std::uint32_t LongestPromptTokens = 400'000;

class LongPromptPlacementTest : public testing::Test {
protected:
  void SetUp() override {
    for (const char *Id : {"a", "b"}) {
      fleet::EndpointState State;
      State.set_id(Id);
      State.set_service("models");
      State.set_address(std::string(Id) + ":80");
      State.set_slots(6);
      State.set_born(1);
      m_Directory.merge(State, false, m_Now);
    }
  }

  std::string place(const std::string &Program, std::uint32_t PromptTokens) {
    messages::fleet::Request BeginRequest;
    BeginRequest.set_prompt_tokens(PromptTokens);
    messages::fleet::BeginTurn &Begin = *BeginRequest.mutable_begin();
    Begin.set_turn(std::to_string(++m_Turns));
    Begin.set_program(Program);
    Begin.set_service("models");
    return m_Placement.place(BeginRequest, m_Directory, m_Now);
  }

  /// Begins \p Count turns of other programs on \p Engine.
  void fill(const std::string &Engine, int Count) {
    // Programs stay where their first turn ran while that engine is the less
    // loaded one, so the other one is avoided meanwhile.
    const base::TimePoint Restart = m_Now + base::seconds(2);
    m_Placement.avoid(Engine == "a" ? "b" : "a", m_Now);
    for (int Index = 0; Index < Count; ++Index)
      ASSERT_EQ(place("other" + std::to_string(m_Turns), ShortPromptTokens),
                Engine);
    m_Now = Restart;
  }

  /// Whether the second turn of a program runs where its first one ran, if
  /// other programs have taken all slots of that engine since.
  bool staysWhenItsEngineIsFull(std::uint32_t PromptTokens) {
    const std::string First = place("p", PromptTokens);
    m_Placement.finish(std::to_string(m_Turns), {}, m_Now);
    fill(First, 6);
    fill(First == "a" ? "b" : "a", 5);
    return place("p", PromptTokens) == First;
  }

  EnginePlacement m_Placement;
  fleet::EndpointDirectory m_Directory;
  base::TimePoint m_Now{base::seconds(10)};
  int m_Turns = 0;
};

TEST_F(LongPromptPlacementTest, LongPromptsWaitForTheEngineThatCachesThem) {
  EXPECT_TRUE(staysWhenItsEngineIsFull(LongPromptTokens));
}

TEST_F(LongPromptPlacementTest, ShortPromptsLeaveAFullEngine) {
  EXPECT_FALSE(staysWhenItsEngineIsFull(ShortPromptTokens));
}

TEST_F(LongPromptPlacementTest, TheLongestPromptsLeaveAnEngineOutOfReach) {
  const std::string First = place("p", LongestPromptTokens);
  m_Placement.finish(std::to_string(m_Turns), {}, m_Now);
  m_Placement.avoid(First, m_Now);
  EXPECT_NE(place("p", LongestPromptTokens), First);
}

TEST_F(LongPromptPlacementTest, TheLongestPromptsLeaveAnEngineThatFails) {
  const std::string First = place("p", LongestPromptTokens);
  for (int Turn = 0; Turn < 40; ++Turn)
    m_Placement.finish(std::to_string(m_Turns),
                       {.m_Endpoint = First, .m_Failed = true}, m_Now);
  EXPECT_NE(place("p", LongestPromptTokens), First);
}

} // namespace
} // namespace psp::turns
