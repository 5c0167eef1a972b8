#include "messages/CallerMessages.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace psp::messages {

CallerAnswer problemAnswer(RequestNumber Request, base::ErrorKind Kind,
                           const std::string &Detail,
                           base::Duration RetryAfter) {
  const base::ErrorAnswer &Row = base::errorAnswer(Kind);
  const nlohmann::ordered_json Body = {
      {"type", "about:blank"},
      {"title", std::string(Row.m_Meaning)},
      {"status", Row.m_HttpStatus},
      {"detail", Detail},
      {"kind", std::string(Row.m_Name)},
      {"run", std::string(base::runStateName(Row.m_Run))},
  };
  const auto Replace = nlohmann::ordered_json::error_handler_t::replace;
  CallerAnswer Answer = {
      .m_Request = Request,
      .m_Status = Row.m_HttpStatus,
      .m_ContentType = "application/problem+json",
      .m_Headers = {},
      .m_Body = Body.dump(-1, ' ', false, Replace) + "\n",
  };
  const auto Asked = std::chrono::ceil<std::chrono::seconds>(RetryAfter);
  const auto Seconds =
      std::max<std::int64_t>(Asked.count(), Row.m_RetryAfterSeconds);
  if (Seconds > 0)
    Answer.m_Headers.push_back({"Retry-After", std::to_string(Seconds)});
  return Answer;
}

} // namespace psp::messages
