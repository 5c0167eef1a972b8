#include "ctl/Session.h"

#include "base/Hash.h"
#include "ctl/RpcClient.h"
#include "ctl/Table.h"
#include "operators/JsonValues.h"

#include <fstream>

namespace psp::ctl {
namespace {

constexpr std::size_t RequestIdBytes = 8;

std::string readToken(const std::string &File) {
  if (File.empty())
    throw UsageError("--token_file is missing");
  std::ifstream Input(File);
  std::string Token;
  if (!(Input >> Token))
    throw UsageError("--token_file: " + File + " can't be read or is empty");
  return Token;
}

} // namespace

Session::Session(const CommandOptions &Options, std::ostream &Out,
                 std::ostream &Error)
    : m_Options(Options), m_Out(Out), m_Error(Error),
      m_RequestId(Options.m_RequestId),
      m_Token(readToken(Options.m_TokenFile)) {
  if (Options.m_Targets.empty())
    throw UsageError("--target is missing: expected IP:PORT,...");
  if (Options.m_Operator.empty())
    throw UsageError("--operator is missing: expected your name");
  if (m_RequestId.empty())
    m_RequestId = "r-" + base::toHex(base::randomBytes(RequestIdBytes));
}

Json::Value Session::callTarget(const std::string &Target,
                                const std::string &Method,
                                const Json::Value &Parameters) const {
  Json::Value Full = Parameters;
  Full["operator"] = m_Options.m_Operator;
  Full["token"] = m_Token;
  Full["request_id"] = m_RequestId;
  return callRpc(Target, Method, Full, m_Options.m_TimeoutMilliseconds);
}

Json::Value Session::call(const std::string &Method,
                          const Json::Value &Parameters) const {
  for (const std::string &Target : m_Options.m_Targets) {
    try {
      return callTarget(Target, Method, Parameters);
    } catch (const RpcUnreachable &Error) {
      m_Error << "pspctl: " << Error.what() << "\n";
    }
  }
  throw RpcUnreachable("no target answered");
}

void Session::announceRequest() const {
  // Printed before the call, so that a resend after a lost answer is possible.
  m_Error << "pspctl: request_id " << m_RequestId
          << " (a resend with --request_id=" << m_RequestId
          << " is not carried out twice)\n";
}

Json::Value Session::submit(const std::string &Change,
                            const Json::Value &Value) const {
  announceRequest();
  Json::Value Parameters;
  Parameters["command"][Change] = Value;
  return call("submit", Parameters);
}

void Session::show(const Json::Value &Value, const std::string &Rows,
                   const std::vector<std::string> &Members) const {
  if (m_Options.m_Output == OutputFormat::Json)
    m_Out << operators::writeIndentedJson(Value);
  else
    m_Out << makeTable(Value[Rows], Members);
}

void Session::showLine(const Json::Value &Value,
                       const std::string &Line) const {
  if (m_Options.m_Output == OutputFormat::Json)
    m_Out << operators::writeIndentedJson(Value);
  else
    m_Out << Line << "\n";
}

} // namespace psp::ctl
