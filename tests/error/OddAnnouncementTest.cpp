// Another writer may announce anything as an endpoint. One odd announcement is
// rejected with a short reason, and changes nothing.

#include "base/Error.h"
#include "platform/ControlDialect.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>

namespace psp::platform {
namespace {

namespace http = boost::beast::http;
using base::ErrorKind;

constexpr std::size_t MaxReasonBytes = 400;

web::Request announcement(const std::string &Body,
                          const std::string &Id = "i-7") {
  web::Request Received(http::verb::post,
                        "/pistachiospool/instances/" + Id + "/heartbeat", 11);
  Received.body() = Body;
  return Received;
}

std::string bodyWith(const std::string &Field, const std::string &Value) {
  const std::string Fields[][2] = {
      {"service", "\"m\""},  {"address", "\"10.0.0.9:80\""},
      {"zone", "\"z\""},     {"slots", "12"},
      {"seq", "4"},          {"born", "1799999999000"},
      {"state", "\"ready\""}};
  std::string Body;
  for (const auto &[Name, Usual] : Fields)
    Body += (Body.empty() ? "{\"" : ",\"") + Name +
            "\":" + (Name == Field ? Value : Usual);
  return Body + "}";
}

/// The reason for which \p Check rejects its input; empty if it doesn't.
std::string reasonOf(const std::function<void()> &Check) {
  try {
    Check();
  } catch (const base::UserError &Error) {
    EXPECT_EQ(Error.kind(), ErrorKind::BadRequest);
    return Error.what();
  }
  return "";
}

std::string reasonForBody(const std::string &Body) {
  return reasonOf([&] { ControlDialect().decode(announcement(Body)); });
}

std::string nested(std::size_t Levels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

/// Rejects \p Body in a process of its own, which a stack overflow would end.
void rejectAndExit(const std::string &Body) {
  const std::string Reason = reasonForBody(Body);
  std::exit(Reason.empty() || Reason.size() > MaxReasonBytes ? 1 : 0);
}

TEST(OddAnnouncementTest, DeepNestingDoesNotExhaustTheStack) {
  for (const std::size_t Levels : {100U, 30'000U, 2'000'000U})
    for (const char *Field : {"seq", "slots", "born", "service", "unknown"}) {
      SCOPED_TRACE(std::string(Field) + " of " + std::to_string(Levels));
      std::string Body = bodyWith(Field, nested(Levels));
      if (Field == std::string("unknown"))
        Body.insert(1, "\"unknown\":" + nested(Levels) + ",");
      EXPECT_EXIT(rejectAndExit(Body), testing::ExitedWithCode(0), "");
    }
}

TEST(OddAnnouncementTest, ReasonsAreShort) {
  const std::string Long = "\"" + std::string(60'000, 'x') + "\"";
  for (const char *Field : {"slots", "seq", "born", "state"}) {
    const std::string Reason = reasonForBody(bodyWith(Field, Long));
    EXPECT_NE(Reason, "") << Field;
    EXPECT_LT(Reason.size(), MaxReasonBytes) << Field;
  }
  EXPECT_NE(reasonForBody(bodyWith("service", "\"\xff\xfe\"")), "");
}

} // namespace
} // namespace psp::platform
