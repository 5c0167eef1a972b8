#include "programs/standin/CallLedger.h"

#include "base/Error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>

namespace psp::standin {
namespace {

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Text;
}

bool showsKey(const ServerRequest &Request) {
  if (Request.m_Body.find("Bearer") != std::string::npos)
    return true;
  return std::any_of(Request.m_Headers.begin(), Request.m_Headers.end(),
                     [](const ServerHeader &Each) {
                       return lowerCase(Each.m_Name) == "authorization" ||
                              Each.m_Value.find("Bearer") != std::string::npos;
                     });
}

} // namespace

CallRun startRun(const std::string &Service, const ServerRequest &Request) {
  CallRun Run;
  Run.m_Service = Service;
  Run.m_Program = Request.header("Program-Id");
  Run.m_Turn = Request.header("Program-Turn");
  Run.m_CallId = Request.header("Call-Id");
  Run.m_IdempotencyKey = Request.header("Idempotency-Key");
  Run.m_FencingNumber = Request.header("Fencing-Number");
  Run.m_Start = base::readClocks().m_Wall;
  for (const ServerHeader &Each : Request.m_Headers)
    Run.m_HeaderNames.push_back(Each.m_Name);
  Run.m_SawKey = showsKey(Request);
  return Run;
}

CallLedger::CallLedger(std::string Endpoint, const std::string &Path)
    : m_Endpoint(std::move(Endpoint)) {
  if (Path.empty())
    return;
  m_File.open(Path, std::ios::app);
  if (!m_File)
    throw base::UserError(base::ErrorKind::BadRequest,
                          "expected a writable ledger file, found " + Path);
}

void CallLedger::append(const CallRun &Run) {
  ++m_Count;
  if (!m_File.is_open())
    return;
  const nlohmann::json Line = {
      {"id", m_Endpoint},
      {"service", Run.m_Service},
      {"program", Run.m_Program},
      {"turn", Run.m_Turn},
      {"call_id", Run.m_CallId},
      {"idempotency_key", Run.m_IdempotencyKey},
      {"fencing_number", Run.m_FencingNumber},
      {"start_us", Run.m_Start},
      {"end_us", Run.m_End},
      {"since_leave_ms", Run.m_SinceLeaveMs},
      {"headers", Run.m_HeaderNames},
      {"saw_key", Run.m_SawKey},
  };
  m_File << Line.dump() << std::endl;
}

} // namespace psp::standin
