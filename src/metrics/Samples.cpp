#include "metrics/Samples.h"

#include "base/Error.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace psp::metrics {
namespace {

[[noreturn]] void refuse(const std::string &Line) {
  throw base::UserError(base::ErrorKind::BadRequest,
                        "expected a Prometheus sample, found '" + Line + "'");
}

/// Reads `name="value"` pairs from the opening brace on; returns the position
/// behind the closing one.
std::size_t readLabels(const std::string &Line, std::size_t At,
                       std::vector<Label> &Labels) {
  ++At;
  while (At < Line.size() && Line[At] != '}') {
    Label Next;
    const std::size_t Equals = Line.find("=\"", At);
    if (Equals == std::string::npos)
      refuse(Line);
    Next.m_Name = Line.substr(At, Equals - At);
    At = Equals + 2;
    for (; At < Line.size() && Line[At] != '"'; ++At) {
      if (Line[At] == '\\' && At + 1 < Line.size())
        Next.m_Value += Line[++At] == 'n' ? '\n' : Line[At];
      else
        Next.m_Value += Line[At];
    }
    Labels.push_back(Next);
    ++At;
    if (At < Line.size() && Line[At] == ',')
      ++At;
  }
  if (At >= Line.size())
    refuse(Line);
  return At + 1;
}

Sample parseSample(const std::string &Line) {
  Sample Result;
  std::size_t At = Line.find_first_of("{ ");
  if (At == std::string::npos)
    refuse(Line);
  Result.m_Name = Line.substr(0, At);
  if (Line[At] == '{')
    At = readLabels(Line, At, Result.m_Labels);
  std::sort(Result.m_Labels.begin(), Result.m_Labels.end());
  char *End = nullptr;
  Result.m_Value = std::strtod(Line.c_str() + At, &End);
  if (End == Line.c_str() + At)
    refuse(Line);
  return Result;
}

} // namespace

std::string Sample::label(const std::string &Name) const {
  for (const Label &Each : m_Labels) {
    if (Each.m_Name == Name)
      return Each.m_Value;
  }
  return "";
}

std::vector<Sample> parseSamples(const std::string &Text) {
  std::vector<Sample> Samples;
  std::istringstream Lines(Text);
  std::string Line;
  while (std::getline(Lines, Line)) {
    if (!Line.empty() && Line.front() != '#')
      Samples.push_back(parseSample(Line));
  }
  return Samples;
}

void Distribution::addBucket(double UpperBound, double Count) {
  const auto Place =
      std::lower_bound(m_Buckets.begin(), m_Buckets.end(), UpperBound,
                       [](const Bucket &Each, double Bound) {
                         return Each.m_UpperBound < Bound;
                       });
  if (Place != m_Buckets.end() && Place->m_UpperBound == UpperBound)
    Place->m_Count += Count;
  else
    m_Buckets.insert(Place, {.m_UpperBound = UpperBound, .m_Count = Count});
}

void Distribution::add(const std::vector<Sample> &Samples,
                       const std::string &Name, const std::string &LabelName,
                       const std::string &LabelValue) {
  // Counts are cumulative and ordered by bound within one set of labels; a
  // bound that isn't larger than the one before starts the next set.
  double Previous = 0;
  double PreviousBound = 0;
  for (const Sample &Each : Samples) {
    if (Each.m_Name != Name + "_bucket")
      continue;
    const double Bound = std::strtod(Each.label("le").c_str(), nullptr);
    if (Bound <= PreviousBound)
      Previous = 0;
    const double Count = Each.m_Value - Previous;
    Previous = Each.m_Value;
    PreviousBound = Bound;
    const bool IsWanted =
        LabelName.empty() || Each.label(LabelName) == LabelValue;
    if (IsWanted && Count > 0)
      addBucket(Bound, Count);
  }
}

double Distribution::count() const {
  double Total = 0;
  for (const Bucket &Each : m_Buckets)
    Total += Each.m_Count;
  return Total;
}

double Distribution::quantile(double Share) const {
  const double Total = count();
  double Seen = 0;
  for (const Bucket &Each : m_Buckets) {
    Seen += Each.m_Count;
    if (Seen >= Share * Total)
      return Each.m_UpperBound;
  }
  return 0;
}

} // namespace psp::metrics
