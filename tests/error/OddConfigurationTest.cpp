// A configuration with numbers that the fields can't hold is refused, and not
// put in force with other numbers.

#include "base/Error.h"
#include "platform/ConfigurationFormat.h"

#include <gtest/gtest.h>

#include <limits>

namespace psp::platform {
namespace {

constexpr const char *Document = R"({"version":7,"routes":[
 {"name":"r","host":"h.example","path_prefix":"/p/","kind":"safe",
  "timeout_ms":"#timeout_ms","target_latency_ms":"#target_latency_ms",
  "priority":"#priority","attempts":"#attempts","retention_s":"#retention_s",
  "split":[{"service":"m","weight":"#weight"},{"service":"d","weight":1}]}],
 "services":[{"name":"m","connection_limit":"#connection_limit",
  "engine":{"slots":"#slots","tokens_per_event":"#tokens_per_event"}},
  {"name":"d"}],
 "limits":{"header_bytes":"#header_bytes","body_bytes":"#body_bytes",
  "header_timeout_ms":"#header_timeout_ms",
  "idle_timeout_ms":"#idle_timeout_ms"},
 "tenants":[{"name":"t","api_keys":["k"],"priority":"#rank",
  "rate_per_s":"#rate_per_s","burst":"#burst"}]})";

constexpr const char *Fields[] = {"timeout_ms",       "target_latency_ms",
                                  "priority",         "attempts",
                                  "retention_s",      "weight",
                                  "connection_limit", "slots",
                                  "tokens_per_event", "header_bytes",
                                  "body_bytes",       "header_timeout_ms",
                                  "idle_timeout_ms",  "rank",
                                  "rate_per_s",       "burst"};

/// The document with 7 in all fields but \p Odd.
std::string documentWith(const std::string &Odd, const std::string &Value) {
  std::string Text = Document;
  for (const std::string Field : Fields) {
    const std::string Mark = "\"#" + Field + "\"";
    Text.replace(Text.find(Mark), Mark.size(), Field == Odd ? Value : "7");
  }
  return Text;
}

bool isAccepted(const std::string &Text) {
  try {
    fleet::checkConfiguration(ConfigurationFormat().decode(Text));
    return true;
  } catch (const base::UserError &Error) {
    EXPECT_EQ(Error.kind(), base::ErrorKind::InvalidConfiguration);
    return false;
  }
}

TEST(OddConfigurationTest, NumbersOutOfRangeAreRefused) {
  EXPECT_TRUE(isAccepted(documentWith("", "")));
  for (const std::string Field : Fields) {
    for (const char *Value : {"-1", "-0.5", "1e300", "18446744073709551615"})
      EXPECT_FALSE(isAccepted(documentWith(Field, Value)))
          << Field << ' ' << Value;
    // An organisation without a rank may have any other value there.
    for (const char *Value : {"\"7\"", "null", "[]"})
      EXPECT_EQ(isAccepted(documentWith(Field, Value)), Field == "rank")
          << Field << ' ' << Value;
  }
  for (const char *Field : {"priority", "attempts", "weight", "slots", "rank",
                            "connection_limit", "header_bytes"})
    EXPECT_FALSE(isAccepted(documentWith(Field, "4294967297"))) << Field;
}

TEST(OddConfigurationTest, LargestNumbersAreKept) {
  const auto Decoded =
      ConfigurationFormat().decode(documentWith("weight", "4294967295"));
  EXPECT_EQ(Decoded.m_Routes[0].m_Targets[0].m_Weight,
            std::numeric_limits<std::uint32_t>::max());
  const auto Long =
      ConfigurationFormat().decode(documentWith("timeout_ms", "86400000.5"));
  EXPECT_EQ(Long.m_Routes[0].m_Timeout, base::microseconds(86'400'000'500));
}

TEST(OddConfigurationTest, DeepNestingIsRefused) {
  std::string Text = documentWith("", "");
  Text.insert(1, "\"unknown\":" + std::string(2'000'000, '[') +
                     std::string(2'000'000, ']') + ",");
  EXPECT_FALSE(isAccepted(Text));
}

} // namespace
} // namespace psp::platform
