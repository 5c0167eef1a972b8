/// \file
/// Reads the body of a request, as far as there is memory for it.

#ifndef PSP_GATEWAY_REQUESTBODYREADER_H
#define PSP_GATEWAY_REQUESTBODYREADER_H

#include "gateway/CallMemory.h"
#include "gateway/CallProtocol.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace psp::gateway {

class Gateway;

/// Load pattern: many callers send long bodies at once, announce bodies that
/// don't come, or send them slowly. A little of a body is read, and the rest
/// once there is room for all of it; without room the caller waits, in the
/// system's small receive buffer, and is then refused.
class RequestBodyReader {
public:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// \p Head has read the head of a request with a body of up to
  /// \p MaxBodyBytes.
  RequestBodyReader(Gateway &Owner, boost::asio::ip::tcp::socket &Caller,
                    boost::beast::flat_buffer &Buffer, Parser &Head,
                    std::uint64_t MaxBodyBytes);

  /// Returns whether the body was read. Otherwise it was refused, or reading
  /// failed.
  boost::asio::awaitable<bool> read();
  const std::optional<Refusal> &refusal() const { return m_Refusal; }
  const CallMetadata &metadata() const { return m_Metadata; }
  boost::system::error_code error() const { return m_Error; }
  /// The memory of the body that was read.
  CallMemory::Hold takeHold() { return std::move(m_Held); }

private:
  /// Gets room for a body of \p Bytes, unless the caller is refused.
  boost::asio::awaitable<bool> demand(std::uint64_t Bytes);
  boost::asio::awaitable<bool> awaitRoom(std::uint64_t Bytes,
                                         std::string Organisation);
  boost::asio::awaitable<void> readPieces();
  void refuse(base::ErrorKind Kind, std::string_view Reason,
              std::uint64_t Bytes);
  std::string organisation() const;
  /// How often a body of this request is held at the most.
  std::uint64_t copies() const;

  Gateway &m_Gateway;
  boost::asio::ip::tcp::socket &m_Socket;
  boost::beast::flat_buffer &m_Buffer;
  Parser &m_Parser;
  const std::uint64_t m_MaxBodyBytes;
  CallMemory::Hold m_Held;
  CallMetadata m_Metadata;
  std::optional<Refusal> m_Refusal;
  boost::system::error_code m_Error;
};

} // namespace psp::gateway

#endif
