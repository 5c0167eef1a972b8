/// \file
/// Parses protobuf messages, with an exception for bytes that are none.

#ifndef PSP_MESSAGES_PARSE_H
#define PSP_MESSAGES_PARSE_H

#include "base/Error.h"

#include <string>
#include <string_view>

namespace psp::messages {

/// Throws UserError(Internal) that names \p Part.
template <typename Message>
Message parseMessage(std::string_view Bytes, const std::string &Part) {
  Message Read;
  if (!Read.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    throw base::UserError(base::ErrorKind::Internal,
                          Part + ": expected an encoded message of " +
                              std::to_string(Bytes.size()) +
                              " bytes, found other bytes");
  return Read;
}

} // namespace psp::messages

#endif
