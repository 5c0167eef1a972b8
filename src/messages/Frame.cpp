#include "messages/Frame.h"

#include "base/Error.h"

#include <algorithm>

namespace psp::messages {

using base::Digest;
using base::ErrorKind;
using base::UserError;

FrameCodec::FrameCodec(std::string_view FleetSecret,
                       std::string_view SenderNonce,
                       std::string_view ReceiverNonce) {
  const std::string Nonces =
      std::string(SenderNonce) + std::string(ReceiverNonce);
  m_Key = base::toBytes(base::hmacSha256(FleetSecret, Nonces));
}

Digest FrameCodec::authenticate(std::string_view Body) const {
  std::string Signed(sizeof(m_Sequence), '\0');
  for (std::size_t I = 0; I < sizeof(m_Sequence); ++I)
    Signed[I] = static_cast<char>(m_Sequence >> (8 * I));
  Signed.append(Body);
  return base::hmacSha256(m_Key, Signed);
}

std::string FrameCodec::encode(const Envelope &Message) {
  const std::string Body = Message.SerializeAsString();
  base::checkInvariant(Body.size() <= MaxFrameBodyBytes,
                       "an envelope is longer than a frame may be");
  const auto Length = static_cast<std::uint32_t>(Body.size());
  std::string Frame;
  Frame.reserve(FrameHeadBytes + Body.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Frame.push_back(static_cast<char>(Length >> Shift));
  Frame += base::toBytes(authenticate(Body));
  Frame += Body;
  ++m_Sequence;
  return Frame;
}

std::size_t FrameCodec::bodyLength(std::string_view Head) {
  base::checkInvariant(Head.size() == FrameHeadBytes, "wrong head length");
  std::size_t Length = 0;
  for (std::size_t I = 0; I < 4; ++I)
    Length = Length << 8U | static_cast<unsigned char>(Head[I]);
  if (Length > MaxFrameBodyBytes) {
    throw UserError(ErrorKind::BodyTooLarge,
                    "frame of " + std::to_string(Length) +
                        " bytes, expected at most " +
                        std::to_string(MaxFrameBodyBytes));
  }
  return Length;
}

Envelope FrameCodec::decode(std::string_view Head, std::string_view Body) {
  Digest Found{};
  std::copy_n(Head.begin() + 4, Found.size(), Found.begin());
  if (!base::equalDigests(Found, authenticate(Body)))
    throw UserError(ErrorKind::Unauthenticated, "frame with a wrong HMAC");
  Envelope Message;
  if (!Message.ParseFromArray(Body.data(), static_cast<int>(Body.size())))
    throw UserError(ErrorKind::BadRequest, "frame that is not an envelope");
  ++m_Sequence;
  return Message;
}

} // namespace psp::messages
