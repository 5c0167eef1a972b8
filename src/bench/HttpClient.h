/// \file
/// A small asynchronous HTTP client for the tools: one request on one
/// connection, with a time limit and, for event streams, the body as it
/// arrives.

#ifndef PSP_BENCH_HTTPCLIENT_H
#define PSP_BENCH_HTTPCLIENT_H

#include "base/Time.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace psp::bench {

struct HttpHeader {
  std::string m_Name;
  std::string m_Value;
};

struct ClientRequest {
  std::string m_Address; ///< IP number and port.
  std::string m_Method = "POST";
  std::string m_Target;
  std::vector<HttpHeader> m_Headers;
  std::string m_Body;
  base::Duration m_Timeout = base::seconds(5);
};

struct ClientResponse {
  bool m_Complete = false; ///< The whole response arrived.
  int m_Status = 0;        ///< Zero: not even its head arrived.
  std::string m_RetryAfter;
  std::string m_Body;
};

using ResponseHandler = std::function<void(const ClientResponse &)>;

/// Stops a request when asked to. Its handler isn't called then.
class PendingRequest {
public:
  virtual ~PendingRequest() = default;
  virtual void abandon() = 0;
};

/// Sends \p Request and calls \p Handle once, on the context's thread, with
/// whatever arrived. \p FirstByte, when given, is called with the first part
/// of the body.
std::shared_ptr<PendingRequest>
sendRequest(boost::asio::io_context &Context, ClientRequest Request,
            ResponseHandler Handle, std::function<void()> FirstByte = {});

} // namespace psp::bench

#endif
