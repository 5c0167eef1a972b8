#include "ctl/Table.h"

#include "operators/JsonValues.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <string_view>
#include <utility>

namespace psp::ctl {
namespace {

constexpr std::size_t ColumnGap = 2;
constexpr std::uint64_t SecondMicros = 1000000;
constexpr std::string_view WallTimeSuffix = "_us";

} // namespace

Table::Table(std::vector<std::string> Titles) {
  m_Rows.push_back(std::move(Titles));
}

void Table::add(std::vector<std::string> Cells) {
  m_Rows.push_back(std::move(Cells));
}

std::string Table::str() const {
  std::vector<std::size_t> Widths(m_Rows.front().size(), 0);
  for (const auto &Row : m_Rows) {
    for (std::size_t I = 0; I < Row.size() && I < Widths.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  }
  std::string Text;
  for (const auto &Row : m_Rows) {
    std::string Line;
    for (std::size_t I = 0; I < Row.size() && I < Widths.size(); ++I) {
      Line += Row[I];
      Line.append(Widths[I] - Row[I].size() + ColumnGap, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text.append(Line).append("\n");
  }
  return Text;
}

std::string makeTable(const Json::Value &Items,
                      const std::vector<std::string> &Members) {
  Table Result(Members);
  for (const Json::Value &Item : Items) {
    std::vector<std::string> Cells;
    for (const std::string &Member : Members) {
      const bool IsTime = std::string_view(Member).ends_with(WallTimeSuffix);
      const Json::Value &Value = Item[Member];
      Cells.push_back(IsTime && Value.isUInt64()
                          ? wallTimeText(Value.asUInt64())
                          : cellText(Value));
    }
    Result.add(std::move(Cells));
  }
  return Result.str();
}

std::string cellText(const Json::Value &Value) {
  if (Value.isNull())
    return "-";
  if (Value.isString())
    return Value.asString().empty() ? "-" : Value.asString();
  if (!Value.isArray())
    return operators::writeJson(Value);
  std::string Text;
  for (const Json::Value &Item : Value)
    Text += (Text.empty() ? "" : ",") + cellText(Item);
  return Text.empty() ? "-" : Text;
}

std::string wallTimeText(std::uint64_t Micros) {
  const auto Seconds = static_cast<std::time_t>(Micros / SecondMicros);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Buffer{};
  const std::size_t Length =
      std::strftime(Buffer.data(), Buffer.size(), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return {Buffer.data(), Length};
}

} // namespace psp::ctl
