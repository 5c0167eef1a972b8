/// \file
/// The file in which a stand-in endpoint notes every call it ran, one JSON
/// object a line, for tests that count runs and look for leaked keys.

#ifndef PSP_PROGRAMS_STANDIN_CALLLEDGER_H
#define PSP_PROGRAMS_STANDIN_CALLLEDGER_H

#include "base/Time.h"
#include "programs/standin/HttpServer.h"

#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

namespace psp::standin {

/// One run of one call.
struct CallRun {
  std::string m_Service;
  std::string m_Program;
  std::string m_Turn;
  std::string m_CallId;
  std::string m_IdempotencyKey;
  std::string m_FencingNumber;
  base::WallTime m_Start = 0;
  base::WallTime m_End = 0;
  std::int64_t m_SinceLeaveMs = -1; ///< Start after leaving; -1: before it.
  std::vector<std::string> m_HeaderNames;
  bool m_SawKey = false; ///< An Authorization header or the text "Bearer".
};

/// A run of \p Request that starts now.
CallRun startRun(const std::string &Service, const ServerRequest &Request);

class CallLedger {
public:
  /// Throws UserError when \p Path can't be opened. An empty path: nothing is
  /// written.
  CallLedger(std::string Endpoint, const std::string &Path);

  /// Appends \p Run and hands it to the operating system before it returns.
  void append(const CallRun &Run);

  std::uint64_t count() const { return m_Count; }

private:
  std::string m_Endpoint;
  std::ofstream m_File;
  std::uint64_t m_Count = 0;
};

} // namespace psp::standin

#endif
