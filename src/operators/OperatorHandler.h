/// \file
/// What a process answers to operators. OperatorServer does the transport,
/// the credentials and the JSON; entry instances and ledgers implement this.

#ifndef PSP_OPERATORS_OPERATORHANDLER_H
#define PSP_OPERATORS_OPERATORHANDLER_H

#include "base/Ids.h"
#include "base/Time.h"
#include "generated/control.pb.h"
#include "generated/peer.pb.h"
#include "records/ProgramHistory.h"

#include <cstdint>
#include <string>
#include <vector>

namespace psp::operators {

/// Who calls, and the identifier that a resend of the call carries again.
struct OperatorCall {
  std::string m_Operator;
  std::string m_RequestId;
};

enum class EndpointAction { LoadModel, LoadAdapter, ChangeRole };

/// An order to an endpoint; not a caller's request.
struct EndpointOrder {
  base::EndpointId m_Endpoint;
  EndpointAction m_Action = EndpointAction::LoadModel;
  std::string m_Name;    ///< Model, adapter or role.
  std::string m_Version; ///< Empty for a role.

  bool operator==(const EndpointOrder &) const = default;
};

struct EndpointOrderResult {
  bool m_Done = false;
  std::uint64_t m_FencingNumber = 0;
  std::string m_Detail;

  bool operator==(const EndpointOrderResult &) const = default;
};

/// A non-idempotent call that was sent and whose outcome is unknown.
struct UnknownOrder {
  base::OrganisationId m_Organisation{};
  base::ProgramId m_Program{};
  std::uint64_t m_Turn = 0;
  std::string m_Service{};
  base::EndpointId m_Endpoint{};
  std::string m_IdempotencyKey{};
  base::WallTime m_Sent = 0;

  bool operator==(const UnknownOrder &) const = default;
};

/// What became of a call by an operator's finding.
enum class OrderFinding { Done, NotDone };

struct OrderResolution {
  base::ProgramId m_Program;
  std::uint64_t m_Turn = 0;
  OrderFinding m_Finding = OrderFinding::Done;

  bool operator==(const OrderResolution &) const = default;
};

/// Called on the operators' thread; an implementation may block until the
/// thread that decides has answered, and must bound that wait. Faults are
/// base::UserError. A process that doesn't serve a method keeps the default,
/// which throws `not-found`.
class OperatorHandler {
public:
  virtual ~OperatorHandler() = default;

  // Queries.

  /// A JSON object: instance, role, data centre, configuration number in
  /// force, leases, and for each peer whether it can be reached.
  virtual std::string status() = 0;
  /// The whole state as a bounded JSON object with stable names.
  virtual std::string dump() = 0;
  /// Prometheus text, the same as /metrics.
  virtual std::string metrics();
  /// The configuration in force at this process.
  virtual messages::Configuration configuration();
  virtual std::vector<messages::Key> keys();
  virtual std::vector<messages::EndpointState> endpoints();
  virtual std::vector<UnknownOrder> unknownOrders();
  /// The committed histories that can hold a match for \p Filter; the server
  /// makes the records, filters and verifies them.
  virtual std::vector<records::ProgramHistory>
  histories(const records::RecordFilter &Filter);

  // Commands.

  /// Submits \p Command to the control log and waits for its result.
  virtual messages::ControlResult
  submit(const OperatorCall &Call, const messages::ControlCommand &Command);
  /// Withdraws a key at once, also while cut off, and spreads it.
  virtual void withdrawKey(const OperatorCall &Call, const base::KeyId &Key);
  /// Gives no new work to \p Endpoint, or gives it work again.
  virtual void drainEndpoint(const OperatorCall &Call,
                             const base::EndpointId &Endpoint, bool Draining);
  virtual EndpointOrderResult orderEndpoint(const OperatorCall &Call,
                                            const EndpointOrder &Order);
  virtual void resolveOrder(const OperatorCall &Call,
                            const OrderResolution &Resolution);
};

} // namespace psp::operators

#endif
