// Another writer may announce anything as an endpoint. One odd announcement is
// rejected with a short reason, and changes nothing.

#include "base/Error.h"
#include "fleet/AnnouncementCheck.h"
#include "platform/ControlDialect.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <limits>

namespace psp::platform {
namespace {

namespace http = boost::beast::http;
using base::ErrorKind;
using fleet::checkAnnouncement;
using messages::fleet::EndpointState;

constexpr std::uint64_t NowMs = 1'800'000'000'000;
constexpr std::size_t MaxReasonBytes = 400;
constexpr std::uint64_t MaxNumber = std::numeric_limits<std::uint64_t>::max();

web::Request announcement(const std::string &Body,
                          const std::string &Id = "i-7") {
  web::Request Received(http::verb::post,
                        "/pistachiospool/instances/" + Id + "/heartbeat", 11);
  Received.body() = Body;
  return Received;
}

std::string bodyWith(const std::string &Field, const std::string &Value) {
  const std::string Fields[][2] = {
      {"service", "\"m\""},   {"address", "\"10.0.0.9:80\""},
      {"zone", "\"z\""},      {"slots", "12"},
      {"seq", "4"},           {"born", "1799999999000"},
      {"state", "\"ready\""}, {"version", "\"v1\""}};
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
  return reasonOf([&] {
    const auto Call = ControlDialect().decode(announcement(Body));
    checkAnnouncement(std::get<coordinator::AnnounceCall>(Call).m_State, NowMs);
  });
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

TEST(OddAnnouncementTest, NumbersAreNotCutAndNotTooLarge) {
  EXPECT_EQ(reasonForBody(bodyWith("", "")), "");
  for (const char *Value :
       {"-1", "1.5", "4294967296", "4294967308", "18446744073709551615",
        "18446744073709551616", "1e400", "70000", "true", "null", "\"12\""})
    EXPECT_NE(reasonForBody(bodyWith("slots", Value)), "") << Value;
  for (const char *Value : {"-1", "1e18", "18446744073709551615",
                            "9223372036854775807", "1900000000000000000"})
    EXPECT_NE(reasonForBody(bodyWith("seq", Value)), "") << Value;
  for (const char *Value :
       {"-1", "1e18", "18446744073709551615", "1800000400000"})
    EXPECT_NE(reasonForBody(bodyWith("born", Value)), "") << Value;
}

TEST(OddAnnouncementTest, ReasonsAreShort) {
  const std::string Long = "\"" + std::string(60'000, 'x') + "\"";
  for (const char *Field : {"service", "address", "zone", "slots", "seq",
                            "born", "state", "version"}) {
    const std::string Reason = reasonForBody(bodyWith(Field, Long));
    EXPECT_NE(Reason, "") << Field;
    EXPECT_LT(Reason.size(), MaxReasonBytes) << Field;
    EXPECT_NE(reasonForBody(bodyWith(Field, "\"\"")), "") << Field;
  }
  EXPECT_NE(reasonForBody(bodyWith("service", "\"\xff\xfe\"")), "");
}

TEST(OddAnnouncementTest, TheSoftwareVersionIsText) {
  for (const char *Value : {"1", "1.1", "null", "[]", "{}", "true"})
    EXPECT_NE(reasonForBody(bodyWith("version", Value)), "") << Value;
  const std::string Body = bodyWith("", "");
  const std::string Field = ",\"version\":\"v1\"";
  ASSERT_NE(Body.find(Field), std::string::npos);
  EXPECT_NE(
      reasonForBody(std::string(Body).erase(Body.find(Field), Field.size())),
      "")
      << "without a version";
}

TEST(OddAnnouncementTest, AddressIsIpv4WithAPort) {
  for (const char *Address :
       {"10.0.0.9", "10.0.0.9:", "10.0.0.9:0", "10.0.0.9:65536",
        "10.0.0.9:4294967376", "10.0.0.9:-1", "10.0.0.9:80x", "10.0.0.256:80",
        "10.0.0:80", ":80", "[::1]:80", "host:80", "0.0.0.0:80", "10.0.0.9:8 0",
        "10.0.0.9:99999999999999999999"})
    EXPECT_NE(
        reasonForBody(bodyWith("address", std::string("\"") + Address + "\"")),
        "")
        << Address;
}

TEST(OddAnnouncementTest, IdFitsIntoAHeader) {
  const auto ReasonForId = [](const std::string &Id) {
    return reasonOf([&] {
      const auto Call =
          ControlDialect().decode(announcement(bodyWith("", ""), Id));
      checkAnnouncement(std::get<coordinator::AnnounceCall>(Call).m_State,
                        NowMs);
    });
  };
  EXPECT_EQ(ReasonForId("i-7f3a91c2"), "");
  for (const std::string &Id :
       {std::string(), std::string(300, 'i'), std::string("i\r\nX: y"),
        std::string("i\xc3\xa4")})
    EXPECT_NE(ReasonForId(Id), "") << Id;
}

TEST(OddAnnouncementTest, UsualAnnouncementsAreAcceptedWhateverTheClocks) {
  EndpointState State;
  State.set_id("i-7");
  State.set_service("m");
  State.set_address("10.0.0.9:65535");
  State.set_data_centre("z");
  State.set_software("v1");
  const auto Accepts = [&](std::uint64_t Born, std::uint64_t Sequence) {
    State.set_born(Born);
    State.set_sequence(Sequence);
    return reasonOf([&] { checkAnnouncement(State, NowMs); }).empty();
  };
  EXPECT_TRUE(Accepts(0, 0)) << "without a start, and with no slots";
  EXPECT_TRUE(Accepts(NowMs + 60'000, 20)) << "its clock is ahead";
  EXPECT_TRUE(Accepts(NowMs - 86'400'000, 86'400)) << "it has run for a day";
  EXPECT_TRUE(Accepts(NowMs, NowMs * 1'000'000)) << "it counts by its clock";
  EXPECT_FALSE(Accepts(NowMs, MaxNumber));
  EXPECT_FALSE(Accepts(MaxNumber, 1));
}

} // namespace
} // namespace psp::platform
