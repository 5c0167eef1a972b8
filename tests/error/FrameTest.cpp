/// \file
/// Frames that are damaged, replayed, too long or random are refused with an
/// error, never accepted and never fatal.

#include "messages/Frame.h"
#include "base/Error.h"

#include <gtest/gtest.h>

#include <random>

namespace psp::messages {
namespace {

class FrameTest : public ::testing::Test {
protected:
  FrameCodec m_Sender{"secret", "nonce-a", "nonce-b"};
  FrameCodec m_Receiver{"secret", "nonce-a", "nonce-b"};

  static Envelope heartbeat() {
    Envelope Message;
    Message.set_sender("a");
    Message.mutable_heartbeat()->set_incarnation(7);
    return Message;
  }

  static Envelope open(FrameCodec &Codec, const std::string &Frame) {
    const std::string_view View(Frame);
    const auto Head = View.substr(0, FrameHeadBytes);
    return Codec.decode(Head, View.substr(FrameHeadBytes));
  }
};

TEST_F(FrameTest, OpensWhatWasSealedOnce) {
  const std::string First = m_Sender.encode(heartbeat());
  const std::string Second = m_Sender.encode(heartbeat());
  EXPECT_EQ(open(m_Receiver, First).heartbeat().incarnation(), 7U);
  {
    SCOPED_TRACE("a replayed frame fails");
    EXPECT_THROW(open(m_Receiver, First), base::UserError);
  }
  EXPECT_EQ(open(m_Receiver, Second).sender(), "a");
}

TEST_F(FrameTest, RefusesEveryFlippedByte) {
  const std::string Frame = m_Sender.encode(heartbeat());
  for (std::size_t I = 4; I < Frame.size(); ++I) {
    std::string Damaged = Frame;
    Damaged[I] = static_cast<char>(Damaged[I] ^ 1);
    FrameCodec Fresh("secret", "nonce-a", "nonce-b");
    EXPECT_THROW(open(Fresh, Damaged), base::UserError);
  }
}

TEST_F(FrameTest, RefusesAnotherSecretAndOverlongFrames) {
  FrameCodec Stranger("other", "nonce-a", "nonce-b");
  EXPECT_THROW(open(m_Receiver, Stranger.encode(heartbeat())), base::UserError);
  const std::string Head(FrameHeadBytes, '\xff');
  EXPECT_THROW(FrameCodec::bodyLength(Head), base::UserError);
}

TEST_F(FrameTest, RefusesRandomBytes) {
  std::mt19937_64 Random(20261204);
  for (int Run = 0; Run < 2000; ++Run) {
    std::string Bytes(FrameHeadBytes + Random() % 64, '\0');
    for (char &Byte : Bytes)
      Byte = static_cast<char>(Random());
    EXPECT_THROW(open(m_Receiver, Bytes), base::UserError);
  }
}

} // namespace
} // namespace psp::messages
