/// \file
/// Operators' orders to endpoints (load a model, change a role). Each carries
/// a fencing number from the control log, so that a later order wins.
///
/// Some endpoints ignore the number. Their orders are kept in sequence by time:
/// an order may be sent only within SendWindow after its number was
/// *requested*, by the sender's own clock, and the sender of a later order
/// waits until the window and the maximum write time of every earlier order
/// have passed.

#ifndef PSP_ENTRY_ENDPOINTORDERS_H
#define PSP_ENTRY_ENDPOINTORDERS_H

#include "base/Ids.h"
#include "base/Time.h"
#include "messages/EndpointMessages.h"
#include "schedule/EndpointRegistry.h"

#include <map>
#include <string>
#include <vector>

namespace psp::entry {

/// An order as the operator submits it.
struct EndpointOrder {
  base::EndpointId m_Endpoint;
  std::string m_Order; ///< load_model, load_adapter or set_role.
  std::string m_Name;
  std::string m_Version;

  auto operator<=>(const EndpointOrder &) const = default;
};

struct EndpointOrderOutcome {
  std::uint64_t m_Ticket = 0;
  bool m_Done = false;
  std::uint64_t m_FencingNumber = 0;
  std::string m_Detail;

  auto operator<=>(const EndpointOrderOutcome &) const = default;
};

class EndpointOrders {
public:
  static constexpr base::Duration SendWindow = base::seconds(2);
  static constexpr base::Duration MaxWriteTime = base::seconds(2);

  EndpointOrders(const schedule::EndpointRegistry &Endpoints,
                 messages::ExchangeNumber &NextExchange);

  /// The caller must request a number from the control log immediately after
  /// this call.
  void start(std::uint64_t Ticket, EndpointOrder Order, base::TimePoint Now);
  /// Handles the control log's answer; zero means that it granted no number.
  void onNumber(std::uint64_t Ticket, std::uint64_t Number,
                base::TimePoint Now);
  void onTick(base::TimePoint Now);
  /// Returns true when \p Event belongs to an order.
  bool onEvent(const messages::EndpointEvent &Event);
  std::vector<messages::EndpointCommand> takeCommands();
  std::vector<EndpointOrderOutcome> takeOutcomes();

private:
  struct Pending {
    EndpointOrder m_Order;
    base::TimePoint m_WindowStart;
    std::uint64_t m_Number = 0;
    bool m_HasNumber = false;
    bool m_Sent = false;
    base::TimePoint m_SendAt;
    messages::ExchangeNumber m_Exchange = 0;
    unsigned m_Status = 0;
  };

  void send(std::uint64_t Ticket, Pending &Next, base::TimePoint Now);
  void settle(std::uint64_t Ticket, bool Succeeded, const std::string &Detail);

  const schedule::EndpointRegistry &m_Endpoints;
  messages::ExchangeNumber &m_NextExchange;
  std::map<std::uint64_t, Pending> m_Pending;
  std::vector<messages::EndpointCommand> m_Commands;
  std::vector<EndpointOrderOutcome> m_Outcomes;
};

} // namespace psp::entry

#endif
