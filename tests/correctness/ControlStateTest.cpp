// Concurrent, resent and invalid submissions of operators: every result
// follows from the order of the log, and a restored copy gives the same
// results from there on.

#include "control/ControlState.h"

#include <gtest/gtest.h>

namespace psp::control {
namespace {

class ControlStateTest : public testing::Test {
protected:
  static messages::Configuration configuration(std::uint64_t Number) {
    messages::Configuration Value;
    Value.set_number(Number);
    messages::Organisation &Guild = *Value.add_organisations();
    Guild.set_name("guild");
    Guild.set_rate_per_second(10);
    Guild.set_burst(20);
    messages::RecordSchema &Schema = *Value.add_schemas();
    Schema.set_name("report");
    Schema.set_version(1);
    Schema.add_required_fields("angle");
    return Value;
  }

  messages::ControlResult
  submit(const std::string &RequestId,
         const std::function<void(messages::ControlCommand &)> &Fill) {
    messages::ControlCommand Command;
    Command.set_request_id(RequestId);
    Fill(Command);
    return m_State.apply(m_State.appliedIndex() + 1, Command);
  }

  messages::ControlResult put(const std::string &RequestId,
                              const messages::Configuration &Value) {
    return submit(RequestId, [&](messages::ControlCommand &Command) {
      *Command.mutable_put_configuration() = Value;
    });
  }

  messages::ControlResult give(const std::string &RequestId,
                               const std::string &KeyId,
                               const std::string &RawKey) {
    return submit(RequestId, [&](messages::ControlCommand &Command) {
      messages::Key &Key = *Command.mutable_give_key()->mutable_key();
      Key.set_key_id(KeyId);
      Key.set_digest(base::toBytes(base::sha256(RawKey)));
      Key.set_organisation("guild");
    });
  }

  messages::ControlResult withdraw(const std::string &RequestId,
                                   const std::string &KeyId) {
    return submit(RequestId, [&](messages::ControlCommand &Command) {
      Command.mutable_withdraw_key()->set_key_id(KeyId);
    });
  }

  ControlState m_State;
};

TEST_F(ControlStateTest, EqualNumbersAndResends) {
  {
    SCOPED_TRACE("the first of two operators under number 3 is accepted");
    messages::ControlResult First = put("a", configuration(3));
    EXPECT_TRUE(First.accepted()) << First.detail();
    EXPECT_EQ(First.number(), 3U);
    EXPECT_EQ(First.index(), 1U);
  }
  {
    SCOPED_TRACE("the same content under the same number gets that answer");
    messages::ControlResult Again = put("b", configuration(3));
    EXPECT_TRUE(Again.accepted());
    EXPECT_EQ(Again.index(), 1U);
  }
  {
    SCOPED_TRACE("other content under the same number is a conflict");
    messages::Configuration Other = configuration(3);
    Other.mutable_organisations(0)->set_burst(21);
    EXPECT_EQ(put("c", Other).error_kind(), "version-conflict");
    EXPECT_EQ(put("d", configuration(2)).error_kind(), "version-conflict");
    EXPECT_EQ(m_State.configuration().organisations(0).burst(), 20);
  }
  {
    SCOPED_TRACE("a resend after later changes gets the recorded answer");
    ASSERT_TRUE(put("e", configuration(4)).accepted());
    messages::ControlResult Resent = put("a", configuration(3));
    EXPECT_TRUE(Resent.accepted());
    EXPECT_EQ(Resent.index(), 1U);
    EXPECT_EQ(Resent.number(), 3U);
    EXPECT_EQ(m_State.configuration().number(), 4U);
  }
  {
    SCOPED_TRACE("a request identifier can't be reused for another command");
    EXPECT_EQ(put("a", configuration(9)).error_kind(), "version-conflict");
    EXPECT_EQ(m_State.configuration().number(), 4U);
  }
}

TEST_F(ControlStateTest, InvalidConfigurationsNameTheField) {
  auto Refused = [&](const std::function<void(messages::Configuration &)> &Fill,
                     const std::string &Field) {
    messages::Configuration Value = configuration(5);
    Fill(Value);
    messages::ControlResult Answer = put("bad " + Field, Value);
    EXPECT_EQ(Answer.error_kind(), "invalid-configuration");
    EXPECT_NE(Answer.detail().find(Field), std::string::npos)
        << Answer.detail();
  };
  ASSERT_TRUE(put("good", configuration(1)).accepted());
  Refused([](auto &C) { *C.add_organisations() = C.organisations(0); },
          "organisations.name");
  Refused([](auto &C) { C.mutable_organisations(0)->set_rate_per_second(0); },
          "rate_per_second");
  Refused([](auto &C) { C.mutable_organisations(0)->set_burst(-1); }, "burst");
  Refused([](auto &C) { C.clear_schemas(); }, "schemas[report version 1]");
  Refused([](auto &C) { C.mutable_schemas(0)->add_required_fields("more"); },
          "required_fields");
  Refused(
      [](auto &C) {
        C.GetReflection()->MutableUnknownFields(&C)->AddVarint(900, 1);
      },
      "field number 900");
  EXPECT_EQ(m_State.configuration().number(), 1U);
}

TEST_F(ControlStateTest, WithdrawnKeysStayWithdrawn) {
  ASSERT_TRUE(put("configuration", configuration(1)).accepted());
  ASSERT_TRUE(give("give", "k1", "raw").accepted());
  const messages::Key *Key = m_State.findKey(base::sha256("raw"));
  ASSERT_NE(Key, nullptr);
  EXPECT_EQ(Key->organisation(), "guild");
  EXPECT_FALSE(m_State.isWithdrawn(base::KeyId("k1")));

  SCOPED_TRACE("the key is found, but marked, after it was withdrawn");
  EXPECT_TRUE(withdraw("withdraw", "k1").accepted());
  ASSERT_NE(m_State.findKey(base::sha256("raw")), nullptr);
  EXPECT_TRUE(m_State.findKey(base::sha256("raw"))->withdrawn());
  EXPECT_EQ(give("give again", "k1", "raw").error_kind(), "key-withdrawn");

  SCOPED_TRACE("an unknown identifier is withdrawn before its key is issued");
  EXPECT_TRUE(withdraw("early", "k2").accepted());
  EXPECT_TRUE(m_State.isWithdrawn(base::KeyId("k2")));
  EXPECT_EQ(give("late", "k2", "other").error_kind(), "key-withdrawn");

  SCOPED_TRACE("a withdrawn key can't come back under another identifier");
  EXPECT_EQ(give("renamed", "k3", "raw").error_kind(), "version-conflict");
}

TEST_F(ControlStateTest, SnapshotPreservesTheWholeState) {
  ASSERT_TRUE(put("configuration", configuration(1)).accepted());
  ASSERT_TRUE(give("give", "k1", "raw").accepted());
  ASSERT_TRUE(withdraw("early", "k2").accepted());
  base::DataCentreId Home("stoke-b");
  EXPECT_EQ(m_State.servedBy(Home), Home);
  auto Fence = [](messages::ControlCommand &Command) {
    Command.mutable_fence_data_centre()->set_data_centre("stoke-b");
    Command.mutable_fence_data_centre()->set_served_by("derby-c");
  };
  auto Number = [](messages::ControlCommand &Command) {
    Command.mutable_next_fencing_number()->set_endpoint("e1");
  };
  EXPECT_EQ(submit("fence", Fence).number(), 1U);
  EXPECT_EQ(submit("n1", Number).number(), 1U);
  EXPECT_EQ(submit("n2", Number).number(), 2U);
  EXPECT_EQ(submit("n1", Number).number(), 1U);
  EXPECT_EQ(m_State.servedBy(Home).str(), "derby-c");
  EXPECT_EQ(m_State.homeEpoch(Home), 1U);

  ControlState Copy;
  Copy.restore(m_State.snapshot());
  EXPECT_EQ(Copy.snapshot().SerializeAsString(),
            m_State.snapshot().SerializeAsString());
  messages::ControlCommand Resent;
  Resent.set_request_id("n2");
  Number(Resent);
  std::uint64_t Next = m_State.appliedIndex() + 1;
  EXPECT_EQ(Copy.apply(Next, Resent).number(), 2U);
  EXPECT_EQ(m_State.apply(Next, Resent).number(), 2U);
  EXPECT_EQ(Copy.digest(), m_State.digest());
}

TEST_F(ControlStateTest, OldRequestsAreDiscarded) {
  for (std::size_t I = 0; I <= MaxRetainedRequests; ++I)
    withdraw("request " + std::to_string(I), "k");
  EXPECT_EQ(static_cast<std::size_t>(m_State.snapshot().requests_size()),
            MaxRetainedRequests);
}

} // namespace
} // namespace psp::control
