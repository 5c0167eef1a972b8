/// \file
/// Log lines have their prefix and fields; a value can't forge another line
/// or field.

#include "logging/Logging.h"

#include <gtest/gtest.h>

namespace psp::logging {
namespace {

TEST(LogLine, HasPrefixSentenceAndFields) {
  EXPECT_EQ(logLine(Part::Peers, "connection closed"),
            "peers: connection closed.");
  EXPECT_EQ(logLine(Part::Programs, "turn finished",
                    {{Field::Name::Program, "brum-a.01"},
                     {Field::Name::Turn, std::uint64_t(3)}}),
            "programs: turn finished. program=brum-a.01 turn=3");
}

TEST(LogLine, QuotesWhatCouldBeMisread) {
  const std::string Forged = "x\nprocess: all is well. turn=9\"";
  EXPECT_EQ(
      logLine(Part::Callers, "refused",
              {{Field::Name::Organisation, Forged}, {Field::Name::Kind, ""}}),
      "callers: refused. organisation=\"x?process: all is well. "
      "turn?9?\" kind=\"\"");
}

} // namespace
} // namespace psp::logging
