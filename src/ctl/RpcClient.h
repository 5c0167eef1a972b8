/// \file
/// A call to one process's operators' interface. libjsonrpccpp's client uses
/// exception specifications that C++20 has no more, so the source of this
/// class is compiled as C++14 and this header keeps within C++14 too.

#ifndef PSP_CTL_RPCCLIENT_H
#define PSP_CTL_RPCCLIENT_H

#include <json/value.h>

#include <stdexcept>
#include <string>
#include <utility>

namespace psp {
namespace ctl {

/// The process answered with an error.
class RpcRefused : public std::runtime_error {
public:
  RpcRefused(std::string Kind, const std::string &Message)
      : std::runtime_error(Message), m_Kind(std::move(Kind)) {}

  /// A name of the closed list of error kinds.
  const std::string &kind() const { return m_Kind; }

private:
  std::string m_Kind;
};

/// No answer came: the call may or may not have been carried out.
class RpcUnreachable : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Calls \p Method at \p Target, an IP number and port. Throws RpcRefused or
/// RpcUnreachable.
Json::Value callRpc(const std::string &Target, const std::string &Method,
                    const Json::Value &Parameters, long TimeoutMilliseconds);

} // namespace ctl
} // namespace psp

#endif
