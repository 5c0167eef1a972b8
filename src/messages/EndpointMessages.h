/// \file
/// What passes between the deciding thread and the thread that talks HTTP to
/// the endpoints.

#ifndef PSP_MESSAGES_ENDPOINTMESSAGES_H
#define PSP_MESSAGES_ENDPOINTMESSAGES_H

#include "base/Time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace psp::messages {

/// Names one HTTP exchange with an endpoint, for as long as the process lives.
using ExchangeNumber = std::uint64_t;

/// A header of a request to an endpoint.
struct EndpointHeader {
  std::string m_Name;
  std::string m_Value;

  auto operator<=>(const EndpointHeader &) const = default;
};

/// Sends one HTTP request.
struct StartExchange {
  ExchangeNumber m_Exchange = 0;
  std::string m_Address; ///< IP number and port.
  std::string m_Method = "POST";
  std::string m_Target;
  std::vector<EndpointHeader> m_Headers;
  std::string m_Body;
  /// Longest silence of the endpoint before the exchange fails.
  base::Duration m_IdleTimeout = base::seconds(20);
};

/// Closes the connection of an exchange. No further event follows for it.
struct CancelExchange {
  ExchangeNumber m_Exchange = 0;
};

using EndpointCommand =
    std::variant<std::monostate, StartExchange, CancelExchange>;

/// The head of the response has arrived.
struct ExchangeHead {
  ExchangeNumber m_Exchange = 0;
  unsigned m_Status = 0;
  std::string m_ContentType;
};

/// The next bytes of the response's body.
struct ExchangeData {
  ExchangeNumber m_Exchange = 0;
  std::string m_Data;
};

/// The response is whole.
struct ExchangeEnd {
  ExchangeNumber m_Exchange = 0;
};

/// The exchange failed.
struct ExchangeFailed {
  ExchangeNumber m_Exchange = 0;
  /// False only when the connection was never established, so that not one
  /// byte can have reached the endpoint.
  bool m_MayHaveBeenSent = true;
  bool m_TimedOut = false;
  std::string m_Detail;
};

using EndpointEvent = std::variant<std::monostate, ExchangeHead, ExchangeData,
                                   ExchangeEnd, ExchangeFailed>;

/// The number of the exchange that \p Event is about; zero for none.
inline ExchangeNumber exchangeOf(const EndpointEvent &Event) {
  return std::visit(
      [](const auto &Value) -> ExchangeNumber {
        if constexpr (requires { Value.m_Exchange; })
          return Value.m_Exchange;
        else
          return 0;
      },
      Event);
}

} // namespace psp::messages

#endif
