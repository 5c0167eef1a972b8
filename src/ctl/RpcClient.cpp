#include "ctl/RpcClient.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

namespace psp {
namespace ctl {

Json::Value callRpc(const std::string &Target, const std::string &Method,
                    const Json::Value &Parameters, long TimeoutMilliseconds) {
  try {
    jsonrpc::HttpClient Connector("http://" + Target + "/");
    Connector.SetTimeout(TimeoutMilliseconds);
    jsonrpc::Client Client(Connector, jsonrpc::JSONRPC_CLIENT_V2);
    return Client.CallMethod(Method, Parameters);
  } catch (const jsonrpc::JsonRpcException &Error) {
    const bool CameFromServer =
        Error.GetCode() != jsonrpc::Errors::ERROR_CLIENT_CONNECTOR &&
        Error.GetCode() != jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
    if (!CameFromServer)
      throw RpcUnreachable(Target + ": " + Error.GetMessage());
    const Json::Value &Data = Error.GetData();
    if (!Data.isObject() || !Data["kind"].isString())
      throw RpcRefused("bad-request", Error.GetMessage());
    throw RpcRefused(Data["kind"].asString(), Data["detail"].asString());
  }
}

} // namespace ctl
} // namespace psp
