#include "ctl/Chart.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace psp::ctl {
namespace {

constexpr int RowHeight = 22;
constexpr int BarHeight = 14;
constexpr int LabelWidth = 200;
constexpr int BarWidth = 380;
constexpr int ValueWidth = 120;
constexpr int TextOffset = 12;
constexpr int Gap = 6;

std::string attribute(const char *Name, double Value) {
  return std::string(" ") + Name + "=\"" + shortNumber(Value) + "\"";
}

std::string textAt(double X, double Y, const std::string &Anchor,
                   const std::string &Text) {
  return "<text" + attribute("x", X) + attribute("y", Y) + " text-anchor=\"" +
         Anchor + "\">" + escapeHtml(Text) + "</text>";
}

} // namespace

std::string barChart(const std::vector<Bar> &Bars, const std::string &Unit) {
  if (Bars.empty())
    return "<p>no data</p>\n";
  double Largest = 0;
  for (const Bar &Each : Bars) {
    if (std::isfinite(Each.m_Value))
      Largest = std::max(Largest, Each.m_Value);
  }
  std::string Text =
      "<svg xmlns=\"http://www.w3.org/2000/svg\" role=\"img\"" +
      attribute("width", LabelWidth + BarWidth + ValueWidth) +
      attribute("height", RowHeight * static_cast<double>(Bars.size())) + ">\n";
  double Top = 0;
  for (const Bar &Each : Bars) {
    double Share = Largest > 0 ? Each.m_Value / Largest : 0;
    Share = std::clamp(Share, 0.0, 1.0); // An infinite value fills the chart.
    Text += textAt(LabelWidth - Gap, Top + TextOffset, "end", Each.m_Label);
    Text += "<rect" + attribute("x", LabelWidth) + attribute("y", Top) +
            attribute("width", Share * BarWidth) +
            attribute("height", BarHeight) + "/>";
    Text += textAt(LabelWidth + Share * BarWidth + Gap, Top + TextOffset,
                   "start", shortNumber(Each.m_Value) + Unit);
    Text += "\n";
    Top += RowHeight;
  }
  return Text + "</svg>\n";
}

std::string escapeHtml(const std::string &Text) {
  std::string Result;
  for (const char Character : Text) {
    if (Character == '<')
      Result += "&lt;";
    else if (Character == '>')
      Result += "&gt;";
    else if (Character == '&')
      Result += "&amp;";
    else if (Character == '"')
      Result += "&quot;";
    else
      Result += Character;
  }
  return Result;
}

std::string shortNumber(double Value) {
  std::array<char, 32> Buffer{};
  const bool IsWhole = Value == std::floor(Value) && std::abs(Value) < 1e15;
  const int Length = std::snprintf(Buffer.data(), Buffer.size(),
                                   IsWhole ? "%.0f" : "%.3g", Value);
  return {Buffer.data(), static_cast<std::size_t>(Length)};
}

} // namespace psp::ctl
