/// \file
/// Guards against the text of an error in the middle of a stream, and against
/// streams that break off and look complete.

#include "entry/EdgeCalls.h"
#include "entry/EventStream.h"

#include "base/Error.h"
#include "program/Outcome.h"

#include <gtest/gtest.h>

namespace psp::entry {
namespace {

using base::ErrorKind;
using base::InstanceId;
using base::TimePoint;
using messages::CallerAnswer;
using messages::StreamBegin;
using messages::StreamEnd;
using messages::StreamPart;

class SingleOwner : public OwnerDirectory {
public:
  std::optional<Owner> ownerOf(const base::ProgramId & /*Program*/,
                               TimePoint /*Now*/) const override {
    return Owner{.m_Instance = InstanceId("owner")};
  }
  bool isServing(const Owner & /*Who*/, TimePoint /*Now*/) const override {
    return true;
  }
};

class BrokenStreamTest : public ::testing::Test {
protected:
  void SetUp() override {
    EdgeCall Call;
    Call.m_Request = 7;
    Call.m_Call.set_program("p");
    Call.m_Call.set_turn(1);
    Call.m_Call.set_stream(true);
    Call.m_Chat = true;
    Call.m_Deadline = m_Now + base::seconds(3);
    m_Calls.start(std::move(Call), m_Now, m_Out);
  }

  void receive(const std::string &Text) {
    messages::ForwardChunk Chunk;
    Chunk.set_call(1);
    Chunk.set_data(Text);
    m_Calls.onChunk(InstanceId("owner"), Chunk, m_Now, m_Out);
  }

  void fail(ErrorKind Kind, const std::string &Detail) {
    messages::ForwardEnd End;
    End.set_call(1);
    *End.mutable_outcome() = program::failedOutcome(Kind, Detail);
    m_Calls.onEnd(InstanceId("owner"), End, m_Now, m_Out);
  }

  SingleOwner m_Owners;
  EdgeCalls m_Calls{m_Owners, 1};
  messages::Outbox m_Out;
  TimePoint m_Now{base::seconds(1)};
};

TEST_F(BrokenStreamTest, AFailureAfterTheFirstBytesIsAnEventAndNoEnd) {
  receive("some text");
  fail(ErrorKind::AnswerInterrupted, "status 500, not whole");
  const auto Replies = m_Calls.takeReplies();
  ASSERT_EQ(Replies.size(), 4U);
  EXPECT_TRUE(std::holds_alternative<StreamBegin>(Replies[0]));
  EXPECT_NE(std::get<StreamPart>(Replies[1]).m_Data.find("some text"),
            std::string::npos);
  EXPECT_TRUE(
      std::get<StreamPart>(Replies[2]).m_Data.starts_with("data: {\"error\":"));
  EXPECT_FALSE(std::get<StreamEnd>(Replies[3]).m_Whole);
}

TEST_F(BrokenStreamTest, AFailureBeforeTheFirstBytesIsOneAnswer) {
  fail(ErrorKind::EndpointFailed, "status 500");
  const auto Replies = m_Calls.takeReplies();
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_EQ(std::get<CallerAnswer>(Replies[0]).m_Status,
            base::errorAnswer(ErrorKind::EndpointFailed).m_HttpStatus);
}

/// Load pattern: an endpoint sends bytes that are no event.
TEST(GarbledStreamTest, TheFailureHasNoBytesOfTheEndpoint) {
  const std::string Garbage = "data: {\"text\":\"\xff\xfe";
  EventStream Events;
  try {
    Events.feed(Garbage + "\n");
    FAIL() << "the garbage was accepted";
  } catch (const base::UserError &Fault) {
    EXPECT_EQ(std::string(Fault.what()).find('\xff'), std::string::npos);
    messages::CallOutcome Read;
    EXPECT_TRUE(Read.ParseFromString(
        program::failedOutcome(ErrorKind::EndpointFailed, Fault.what())
            .SerializeAsString()))
        << "an entry with this outcome can't be read";
  }
}

} // namespace
} // namespace psp::entry
