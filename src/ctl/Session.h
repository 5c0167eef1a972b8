/// \file
/// One run of pspctl: the options, the streams, and calls to the targets.

#ifndef PSP_CTL_SESSION_H
#define PSP_CTL_SESSION_H

#include "ctl/Command.h"

#include <json/value.h>

#include <ostream>
#include <string>
#include <vector>

namespace psp::ctl {

/// Example: `Session.show(Session.call("key_list", {})["keys"], {"key_id"});`
class Session {
public:
  Session(const CommandOptions &Options, std::ostream &Out,
          std::ostream &Error);

  const CommandOptions &options() const { return m_Options; }
  const std::string &requestId() const { return m_RequestId; }
  std::ostream &out() const { return m_Out; }
  std::ostream &error() const { return m_Error; }

  /// Calls the first target that answers. Throws RpcRefused, or RpcUnreachable
  /// when none does.
  Json::Value call(const std::string &Method,
                   const Json::Value &Parameters = Json::objectValue) const;
  /// Calls \p Target only.
  Json::Value callTarget(const std::string &Target, const std::string &Method,
                         const Json::Value &Parameters) const;
  /// Submits \p Change, a ControlCommand's member such as `give_key`.
  Json::Value submit(const std::string &Change, const Json::Value &Value) const;

  /// Prints \p Value as JSON, or its rows as a table of \p Members.
  void show(const Json::Value &Value, const std::string &Rows,
            const std::vector<std::string> &Members) const;
  /// Prints \p Value as JSON, or \p Line.
  void showLine(const Json::Value &Value, const std::string &Line) const;

private:
  void announceRequest() const;

  const CommandOptions &m_Options;
  std::ostream &m_Out;
  std::ostream &m_Error;
  std::string m_RequestId;
  std::string m_Token;
};

} // namespace psp::ctl

#endif
