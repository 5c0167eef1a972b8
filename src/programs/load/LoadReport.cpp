#include "programs/load/LoadReport.h"

#include "base/Error.h"

#include <boost/histogram.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>

namespace psp::load {
namespace {

namespace histogram = boost::histogram;

constexpr unsigned Bins = 200;
constexpr double ShortestSeconds = 0.0005;
constexpr double LongestSeconds = 600.0;
constexpr std::array<double, 4> Shares = {0.5, 0.9, 0.95, 0.99};

constexpr int PlotWidth = 640;
constexpr int PlotHeight = 320;
constexpr int PlotMargin = 40;
constexpr std::array<const char *, 5> Colours = {
    "#1f77b4", "#ff7f0e", "#2ca02c", "#d62728", "#9467bd"};

auto makeHistogram() {
  return histogram::make_histogram(
      histogram::axis::regular<double, histogram::axis::transform::log>(
          Bins, ShortestSeconds, LongestSeconds));
}

const char *nameOf(Timed What) {
  switch (What) {
  case Timed::Program:
    return "program";
  case Timed::Turn:
    return "turn";
  case Timed::FirstByte:
    return "first byte";
  case Timed::Order:
    return "order";
  case Timed::Alarm:
    return "alarm";
  }
  throw base::InternalError("expected something timed, found a number");
}

} // namespace

struct LoadReport::Series {
  decltype(makeHistogram()) m_Histogram = makeHistogram();
  std::uint64_t m_Count = 0;
  double m_Longest = 0.0;

  /// Upper edge of the bin in which the share of the values is reached.
  double percentile(double Share) const {
    const auto Wanted = static_cast<std::uint64_t>(
        std::ceil(Share * static_cast<double>(m_Count)));
    std::uint64_t Sum = 0;
    for (auto &&Bin :
         histogram::indexed(m_Histogram, histogram::coverage::all)) {
      Sum += static_cast<std::uint64_t>(*Bin);
      if (Sum >= Wanted)
        return std::min(Bin.bin().upper(), m_Longest);
    }
    return m_Longest;
  }
};

LoadReport::LoadReport() = default;
LoadReport::~LoadReport() = default;

LoadReport::Series &LoadReport::series(Timed What,
                                       const std::string &Organisation) {
  auto &Slot = m_Series[{What, Organisation}];
  if (!Slot)
    Slot = std::make_unique<Series>();
  return *Slot;
}

void LoadReport::noteTime(Timed What, const std::string &Organisation,
                          base::Duration Length) {
  const double Seconds = std::chrono::duration<double>(Length).count();
  for (const std::string &Each : {std::string(), Organisation}) {
    Series &Target = series(What, Each);
    Target.m_Histogram(Seconds);
    ++Target.m_Count;
    Target.m_Longest = std::max(Target.m_Longest, Seconds);
  }
}

void LoadReport::noteError(const std::string &Organisation,
                           const std::string &Kind) {
  ++m_Errors[Kind][Organisation];
}

void LoadReport::noteWrong(const std::string &What) {
  ++m_Wrong;
  LOG(ERROR) << "load: wrong answer: " << What;
}

void LoadReport::printTable(std::ostream &Out) const {
  Out << std::fixed << std::setprecision(3);
  Out << std::left << std::setw(12) << "what" << std::setw(16) << "organisation"
      << std::right << std::setw(8) << "count"
      << "     p50 s     p90 s     p95 s     p99 s     max s\n";
  for (const auto &[Index, Each] : m_Series) {
    const bool All = Index.m_Organisation.empty();
    Out << std::left << std::setw(12) << nameOf(Index.m_What) << std::setw(16)
        << (All ? "all" : Index.m_Organisation) << std::right << std::setw(8)
        << Each->m_Count;
    for (const double Share : Shares)
      Out << std::setw(10) << Each->percentile(Share);
    Out << std::setw(10) << Each->m_Longest << '\n';
  }
  Out << "programs: " << m_Started << " started, " << m_Ended << " ended, "
      << m_Abandoned << " abandoned, " << m_GivenUp << " given up, "
      << m_StoppedLoops << " loops stopped by a limit\n";
  for (const auto &[Kind, ByOrganisation] : m_Errors) {
    Out << "error " << Kind << ':';
    for (const auto &[Organisation, Count] : ByOrganisation)
      Out << ' ' << Organisation << '=' << Count;
    Out << '\n';
  }
  Out << "wrong answers: " << m_Wrong << '\n';
}

void LoadReport::writeCsv(std::ostream &Out) const {
  Out << "what,organisation,count,p50_s,p90_s,p95_s,p99_s,max_s\n";
  for (const auto &[Index, Each] : m_Series) {
    Out << nameOf(Index.m_What) << ',' << Index.m_Organisation << ','
        << Each->m_Count;
    for (const double Share : Shares)
      Out << ',' << Each->percentile(Share);
    Out << ',' << Each->m_Longest << '\n';
  }
  for (const auto &[Kind, ByOrganisation] : m_Errors) {
    for (const auto &[Organisation, Count] : ByOrganisation)
      Out << "error " << Kind << ',' << Organisation << ',' << Count
          << ",,,,,\n";
  }
}

void LoadReport::writeSvg(std::ostream &Out) const {
  const auto X = [](double Seconds) {
    const double Span = std::log(LongestSeconds / ShortestSeconds);
    const double Share =
        std::log(std::max(Seconds, ShortestSeconds) / ShortestSeconds) / Span;
    return PlotMargin + Share * (PlotWidth - 2 * PlotMargin);
  };
  const auto Y = [](double Share) {
    return PlotHeight - PlotMargin - Share * (PlotHeight - 2 * PlotMargin);
  };
  Out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << PlotWidth
      << "\" height=\"" << PlotHeight
      << "\" font-family=\"sans-serif\" font-size=\"11\">\n";
  for (const double Seconds : {0.001, 0.01, 0.1, 1.0, 10.0, 100.0})
    Out << "<line x1=\"" << X(Seconds) << "\" y1=\"" << Y(0) << "\" x2=\""
        << X(Seconds) << "\" y2=\"" << Y(1) << "\" stroke=\"#ddd\"/><text x=\""
        << X(Seconds) << "\" y=\"" << Y(0) + 14 << "\">" << Seconds
        << " s</text>\n";
  std::size_t Number = 0;
  for (const auto &[Index, Each] : m_Series) {
    if (!Index.m_Organisation.empty())
      continue;
    const char *Colour = Colours[Number % Colours.size()];
    Out << "<polyline fill=\"none\" stroke=\"" << Colour << "\" points=\"";
    for (int Percent = 1; Percent <= 100; ++Percent)
      Out << X(Each->percentile(Percent / 100.0)) << ',' << Y(Percent / 100.0)
          << ' ';
    Out << "\"/><text x=\"" << PlotMargin << "\" y=\""
        << PlotMargin + 14 * static_cast<int>(Number) << "\" fill=\"" << Colour
        << "\">" << nameOf(Index.m_What) << "</text>\n";
    ++Number;
  }
  Out << "</svg>\n";
}

} // namespace psp::load
