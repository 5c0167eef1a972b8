/// \file
/// The bytes of a message between nodes, for tests that speak to a link.

#ifndef PSP_TESTS_SUPPORT_LINKENCODING_H
#define PSP_TESTS_SUPPORT_LINKENCODING_H

#include "generated/fleet.pb.h"

#include <boost/endian/conversion.hpp>

#include <cstdint>
#include <string>

namespace psp::link {

/// The message behind its length.
inline std::string encode(const messages::fleet::LinkMessage &Message) {
  std::string Bytes(4, '\0');
  boost::endian::store_big_u32(
      reinterpret_cast<unsigned char *>(Bytes.data()),
      static_cast<std::uint32_t>(Message.ByteSizeLong()));
  return Bytes + Message.SerializeAsString();
}

} // namespace psp::link

#endif
