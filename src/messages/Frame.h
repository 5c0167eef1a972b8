/// \file
/// The frame that carries one envelope between two processes: a length, an
/// HMAC under the connection's key, and the serialised envelope.
///
/// Both ends derive the connection's key from the fleet secret and a nonce of
/// each end, and number the frames of each direction, so that a frame of
/// another connection, or one that was replayed, fails the check.

#ifndef PSP_MESSAGES_FRAME_H
#define PSP_MESSAGES_FRAME_H

#include "base/Hash.h"
#include "generated/peer.pb.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace psp::messages {

/// Length of a frame's head in bytes: 4 for the body's length (big endian)
/// and 32 for the HMAC.
inline constexpr std::size_t FrameHeadBytes = 36;

/// Longest body that is accepted, in bytes.
inline constexpr std::size_t MaxFrameBodyBytes = 16U << 20U;

/// Length of the nonce that each end sends first, in bytes.
inline constexpr std::size_t NonceBytes = 16;

/// One direction of one connection.
class FrameCodec {
public:
  /// \p SenderNonce is the nonce of the end that sends in this direction.
  FrameCodec(std::string_view FleetSecret, std::string_view SenderNonce,
             std::string_view ReceiverNonce);

  /// Seals the next frame of this direction.
  std::string encode(const Envelope &Message);

  /// The length in \p Head. Throws UserError when it is over the limit.
  static std::size_t bodyLength(std::string_view Head);

  /// Opens the next frame. Throws UserError when the HMAC or the body is
  /// wrong; the connection can't be used after that.
  Envelope decode(std::string_view Head, std::string_view Body);

private:
  base::Digest authenticate(std::string_view Body) const;

  std::string m_Key;
  std::uint64_t m_Sequence = 0;
};

} // namespace psp::messages

#endif
