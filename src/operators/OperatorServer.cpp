#include "operators/OperatorServer.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "logging/Logging.h"
#include "operators/HttpConnector.h"
#include "operators/JsonValues.h"
#include "program/HashChain.h"
#include "records/Schema.h"

#include <glog/logging.h>
#include <jsonrpccpp/server.h>

#include <algorithm>
#include <utility>

namespace psp::operators {
namespace {

using FieldName = logging::Field::Name;

constexpr std::size_t MaxOperatorNameLength = 64;
constexpr std::size_t MaxRequestIdLength = 128;
constexpr std::size_t MaxInspectBytes = 16U << 20U;
/// Outside the range that JSON-RPC and the library keep for themselves.
constexpr int UserErrorCode = 1;

OperatorCall callFrom(const Json::Value &Input) {
  OperatorCall Call = {.m_Operator = requireString(Input, "operator"),
                       .m_RequestId = requireString(Input, "request_id")};
  if (Call.m_Operator.empty() || Call.m_Operator.size() > MaxOperatorNameLength)
    throw base::UserError(base::ErrorKind::BadRequest,
                          "operator: expected 1 to 64 bytes");
  if (Call.m_RequestId.empty() || Call.m_RequestId.size() > MaxRequestIdLength)
    throw base::UserError(base::ErrorKind::BadRequest,
                          "request_id: expected 1 to 128 bytes");
  return Call;
}

/// The member that is set, such as `give_key`.
std::string changeName(const messages::ControlCommand &Command) {
  const auto *Change =
      messages::ControlCommand::descriptor()->FindOneofByName("change");
  const auto *Set =
      Command.GetReflection()->GetOneofFieldDescriptor(Command, Change);
  if (Set == nullptr)
    throw base::UserError(base::ErrorKind::BadRequest,
                          "command: expected a change, found none");
  return Set->name();
}

void requireKeptSchemas(OperatorHandler &Handler,
                        const messages::Configuration &Next) {
  const auto Broken =
      records::findBreakingSchemaChanges(Handler.configuration(), Next);
  if (!Broken.empty())
    throw base::UserError(base::ErrorKind::InvalidConfiguration,
                          Broken.front());
}

/// The records of \p Histories that pass, and the state of each chain.
Json::Value
inspectHistories(const std::vector<records::ProgramHistory> &Histories,
                 const messages::Configuration &Current,
                 const records::RecordFilter &Filter, bool WithContent) {
  Json::Value Result;
  Result["records"] = Json::Value(Json::arrayValue);
  Result["chains"] = Json::Value(Json::arrayValue);
  Result["truncated"] = false;
  std::size_t Bytes = 0;
  for (const records::ProgramHistory &History : Histories) {
    bool HasMatch = false;
    for (const records::Record &Each : makeRecords(History, Current)) {
      if (!records::matches(Each, Filter))
        continue;
      HasMatch = true;
      Bytes += WithContent ? Each.m_Content.size() : 0;
      if (Result["records"].size() >= Filter.m_MaxRecords ||
          Bytes > MaxInspectBytes)
        Result["truncated"] = true;
      else
        Result["records"].append(toJson(Each, WithContent));
    }
    if (!HasMatch)
      continue;
    const auto Fault = program::verifyChain(History.m_Entries);
    Json::Value Chain;
    Chain["program"] = History.m_Program.str();
    Chain["entries"] = Json::UInt64(History.m_Entries.size());
    Chain["verified"] = !Fault.has_value();
    Chain["fault"] = Fault ? Fault->m_Reason : "";
    Result["chains"].append(Chain);
  }
  return Result;
}

/// Binds the methods and turns errors into JSON-RPC errors with a kind.
class Methods : public jsonrpc::AbstractServer<Methods> {
public:
  Methods(jsonrpc::AbstractServerConnector &Connector, const std::string &Token,
          OperatorHandler &Handler)
      : AbstractServer(Connector), m_Token(base::sha256(Token)),
        m_Handler(Handler) {
    bind("status", &Methods::status);
    bind("dump", &Methods::dump);
    bind("metrics", &Methods::metrics);
    bind("configuration", &Methods::configuration);
    bind("submit", &Methods::submit);
    bind("inspect", &Methods::inspect);
    bind("endpoint_list", &Methods::endpointList);
    bind("endpoint_drain", &Methods::endpointDrain);
    bind("endpoint_order", &Methods::endpointOrder);
    bind("order_list_unknown", &Methods::orderListUnknown);
    bind("order_resolve", &Methods::orderResolve);
    bind("key_list", &Methods::keyList);
    bind("withdraw_key", &Methods::withdrawKey);
  }

  // NOLINTNEXTLINE(readability-identifier-naming)
  void HandleMethodCall(jsonrpc::Procedure &Called, const Json::Value &Input,
                        Json::Value &Output) override {
    try {
      authenticate(Input);
      AbstractServer::HandleMethodCall(Called, Input, Output);
    } catch (const base::UserError &Error) {
      fail(Error.kind(), Error.what());
    } catch (const base::InternalError &Error) {
      LOG(ERROR) << logging::logLine(logging::Part::Operators,
                                     "a call met an internal error",
                                     {{FieldName::Kind, Error.what()}});
      fail(base::ErrorKind::Internal, Error.what());
    }
  }

private:
  void bind(const std::string &Name, methodPointer_t Method) {
    bindAndAddMethod(jsonrpc::Procedure(Name, jsonrpc::PARAMS_BY_NAME,
                                        jsonrpc::JSON_OBJECT, "operator",
                                        jsonrpc::JSON_STRING, "token",
                                        jsonrpc::JSON_STRING, NULL),
                     Method);
  }

  /// Digests are compared, so that the time tells nothing about the token.
  void authenticate(const Json::Value &Input) const {
    const auto Given = base::sha256(requireString(Input, "token"));
    if (!base::equalDigests(Given, m_Token))
      throw base::UserError(base::ErrorKind::Unauthenticated,
                            "the operator token is wrong");
  }

  [[noreturn]] static void fail(base::ErrorKind Kind, const char *Message) {
    Json::Value Data;
    Data["kind"] = std::string(base::errorAnswer(Kind).m_Name);
    Data["detail"] = Message; // The library puts its own words before it.
    throw jsonrpc::JsonRpcException(UserErrorCode, Message, Data);
  }

  static void log(const OperatorCall &Call, const char *Method,
                  const std::string &Subject) {
    LOG(INFO) << logging::logLine(logging::Part::Operators, "command received",
                                  {{FieldName::Method, Method},
                                   {FieldName::Operator, Call.m_Operator},
                                   {FieldName::RequestId, Call.m_RequestId},
                                   {FieldName::Subject, Subject}});
  }

  void status(const Json::Value & /*Input*/, Json::Value &Output) {
    Output = parseJson(m_Handler.status());
  }
  void dump(const Json::Value & /*Input*/, Json::Value &Output) {
    Output = parseJson(m_Handler.dump());
  }
  void metrics(const Json::Value & /*Input*/, Json::Value &Output) {
    Output["text"] = m_Handler.metrics();
  }
  void configuration(const Json::Value & /*Input*/, Json::Value &Output) {
    Output = toJson(m_Handler.configuration());
  }
  void keyList(const Json::Value & /*Input*/, Json::Value &Output) {
    Output["keys"] = keysToJson(m_Handler.keys());
  }
  void endpointList(const Json::Value & /*Input*/, Json::Value &Output) {
    Output["endpoints"] = Json::Value(Json::arrayValue);
    for (const auto &Each : m_Handler.endpoints())
      Output["endpoints"].append(toJson(Each));
  }
  void orderListUnknown(const Json::Value & /*Input*/, Json::Value &Output) {
    Output["orders"] = unknownOrdersToJson(m_Handler.unknownOrders());
  }

  void submit(const Json::Value &Input, Json::Value &Output) {
    const OperatorCall Call = callFrom(Input);
    messages::ControlCommand Command;
    fromJson(Input["command"], Command);
    Command.set_request_id(Call.m_RequestId);
    Command.set_operator_name(Call.m_Operator);
    if (Command.has_put_configuration())
      requireKeptSchemas(m_Handler, Command.put_configuration());
    log(Call, "submit", changeName(Command));
    const auto Result = m_Handler.submit(Call, Command);
    if (!Result.accepted())
      throw base::UserError(base::errorKindFromName(Result.error_kind())
                                .value_or(base::ErrorKind::Internal),
                            Result.detail());
    Output = toJson(Result);
  }

  void inspect(const Json::Value &Input, Json::Value &Output) {
    const records::RecordFilter Filter = filterFromJson(Input);
    const bool WithContent = Input.get("content", false).asBool();
    Output = inspectHistories(m_Handler.histories(Filter),
                              m_Handler.configuration(), Filter, WithContent);
  }

  void endpointDrain(const Json::Value &Input, Json::Value &Output) {
    const OperatorCall Call = callFrom(Input);
    const std::string Endpoint = requireString(Input, "endpoint");
    const bool Draining = Input.get("draining", true).asBool();
    log(Call, "endpoint_drain", Endpoint);
    m_Handler.drainEndpoint(Call, base::EndpointId(Endpoint), Draining);
    Output["endpoint"] = Endpoint;
    Output["draining"] = Draining;
  }

  void endpointOrder(const Json::Value &Input, Json::Value &Output) {
    const OperatorCall Call = callFrom(Input);
    const EndpointOrder Order = endpointOrderFromJson(Input);
    log(Call, "endpoint_order", Order.m_Endpoint.str());
    Output = toJson(m_Handler.orderEndpoint(Call, Order));
  }

  void orderResolve(const Json::Value &Input, Json::Value &Output) {
    const OperatorCall Call = callFrom(Input);
    const OrderResolution Resolution = resolutionFromJson(Input);
    log(Call, "order_resolve", Resolution.m_Program.str());
    m_Handler.resolveOrder(Call, Resolution);
    Output["program"] = Resolution.m_Program.str();
    Output["turn"] = Json::UInt64(Resolution.m_Turn);
  }

  void withdrawKey(const Json::Value &Input, Json::Value &Output) {
    const OperatorCall Call = callFrom(Input);
    const std::string Key = requireString(Input, "key_id");
    log(Call, "withdraw_key", Key);
    m_Handler.withdrawKey(Call, base::KeyId(Key));
    Output["key_id"] = Key;
    Output["withdrawn"] = true;
    const std::string Problem = recordWithdrawal(Call, Key);
    Output["recorded"] = Problem.empty();
    Output["detail"] = Problem;
  }

  /// Puts the withdrawal into the control log too, without which it would be
  /// forgotten once every instance that heard of it had restarted. Returns
  /// what went wrong, or nothing; a data centre that is cut off can't do it.
  std::string recordWithdrawal(const OperatorCall &Call,
                               const std::string &Key) {
    messages::ControlCommand Command;
    Command.set_request_id(Call.m_RequestId);
    Command.set_operator_name(Call.m_Operator);
    Command.mutable_withdraw_key()->set_key_id(Key);
    try {
      const auto Result = m_Handler.submit(Call, Command);
      return Result.accepted() ? ""
                               : Result.error_kind() + ": " + Result.detail();
    } catch (const base::UserError &Error) {
      return std::string(base::errorAnswer(Error.kind()).m_Name) + ": " +
             Error.what();
    }
  }

  base::Digest m_Token;
  OperatorHandler &m_Handler;
};

} // namespace

class OperatorServer::Impl {
public:
  Impl(const OperatorServerOptions &Options, OperatorHandler &Handler)
      : m_Connector({.m_Address = Options.m_Address,
                     .m_MaxBodyBytes = Options.m_MaxBodyBytes,
                     .m_MaxConnections = Options.m_MaxConnections,
                     .m_IdleTimeout = Options.m_IdleTimeout}),
        m_Methods(m_Connector, Options.m_Token, Handler) {}
  ~Impl() { m_Connector.StopListening(); }

  HttpConnector m_Connector;
  Methods m_Methods;
};

OperatorServer::OperatorServer(const OperatorServerOptions &Options,
                               OperatorHandler &Handler)
    : m_Impl(std::make_unique<Impl>(Options, Handler)) {}

OperatorServer::~OperatorServer() = default;

void OperatorServer::start() { m_Impl->m_Connector.StartListening(); }

void OperatorServer::stop() { m_Impl->m_Connector.StopListening(); }

std::uint16_t OperatorServer::port() const {
  return m_Impl->m_Connector.port();
}

} // namespace psp::operators
