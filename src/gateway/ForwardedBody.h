/// \file
/// The body of a request to an endpoint: bytes that the call holds already.

#ifndef PSP_GATEWAY_FORWARDEDBODY_H
#define PSP_GATEWAY_FORWARDEDBODY_H

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace psp::gateway {

/// Two parts that are sent one after another and must outlive the message. Load
/// pattern: long bodies, of which a copy for each endpoint that is tried would
/// double what an instance holds.
class BodyView {
public:
  BodyView() = default;
  BodyView(std::string_view First, std::string_view Second)
      : m_First(First), m_Second(Second) {}

  std::uint64_t size() const { return m_First.size() + m_Second.size(); }
  bool empty() const { return size() == 0; }
  std::string text() const {
    return std::string(m_First) + std::string(m_Second);
  }
  std::array<boost::asio::const_buffer, 2> buffers() const {
    return {boost::asio::buffer(m_First), boost::asio::buffer(m_Second)};
  }

private:
  std::string_view m_First;
  std::string_view m_Second;
};

/// Beast looks for these names.
// NOLINTBEGIN(readability-identifier-naming)
struct ForwardedBody {
  using value_type = BodyView;

  static std::uint64_t size(const value_type &Body) { return Body.size(); }

  class writer {
  public:
    using const_buffers_type = std::array<boost::asio::const_buffer, 2>;

    template <bool IsRequest, typename Fields>
    writer(const boost::beast::http::header<IsRequest, Fields> &,
           const value_type &Body)
        : m_Body(Body) {}

    void init(boost::system::error_code &Error) { Error = {}; }
    boost::optional<std::pair<const_buffers_type, bool>>
    get(boost::system::error_code &Error) {
      Error = {};
      return std::make_pair(m_Body.buffers(), false);
    }

  private:
    const value_type &m_Body;
  };
};
// NOLINTEND(readability-identifier-naming)

using OutgoingRequest = boost::beast::http::request<ForwardedBody>;

} // namespace psp::gateway

#endif
