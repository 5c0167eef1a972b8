#include "ctl/Report.h"

#include "base/Error.h"
#include "base/Time.h"
#include "ctl/Chart.h"
#include "ctl/RpcClient.h"
#include "ctl/Table.h"
#include "metrics/Names.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <set>

namespace psp::ctl {
namespace {

using metrics::Distribution;
using metrics::Sample;
namespace names = metrics::names;

constexpr double Median = 0.5;
constexpr double P95 = 0.95;
constexpr double P99 = 0.99;
constexpr double Percent = 100;

const std::string PageHead =
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
    "<title>pistachiospool fleet report</title>\n<style>\n"
    "body{font:14px sans-serif;max-width:60em;margin:2em auto;color:#222}\n"
    "svg text{font:12px sans-serif;fill:#222} rect{fill:#3a6ea5}\n"
    "table{border-collapse:collapse} td,th{padding:2px 10px;"
    "text-align:right;border-bottom:1px solid #ddd}\n"
    "td:first-child,th:first-child{text-align:left}\n"
    "</style></head><body>\n<h1>Fleet report</h1>\n";

using Cells = std::vector<std::string>;

std::string htmlTable(const Cells &Titles, const std::vector<Cells> &Rows) {
  std::string Text = "<table><tr>";
  for (const std::string &Title : Titles)
    Text.append("<th>").append(escapeHtml(Title)).append("</th>");
  Text += "</tr>\n";
  for (const Cells &Row : Rows) {
    Text += "<tr>";
    for (const std::string &Cell : Row)
      Text.append("<td>").append(escapeHtml(Cell)).append("</td>");
    Text += "</tr>\n";
  }
  return Text + "</table>\n";
}

/// The samples of the whole fleet, with sums and distributions by label.
class FleetMetrics {
public:
  explicit FleetMetrics(const std::vector<InstanceMetrics> &Instances)
      : m_Instances(Instances) {
    for (const InstanceMetrics &Instance : Instances) {
      for (const Sample &Each : Instance.m_Samples) {
        const std::string Name = Each.label(names::OrganisationLabel);
        if (!Name.empty())
          m_Organisations.insert(Name);
      }
    }
  }

  const std::set<std::string> &organisations() const { return m_Organisations; }

  /// Sums of every counter, whatever its labels.
  std::map<std::string, double> counters() const {
    std::map<std::string, double> Result;
    for (const InstanceMetrics &Instance : m_Instances) {
      for (const Sample &Each : Instance.m_Samples) {
        if (Each.m_Name.ends_with("_total"))
          Result[Each.m_Name] += Each.m_Value;
      }
    }
    return Result;
  }

  /// Sums of a counter for each value of \p LabelName.
  std::map<std::string, double> sums(const metrics::MetricName &Name,
                                     const std::string &LabelName) const {
    std::map<std::string, double> Result;
    for (const InstanceMetrics &Instance : m_Instances) {
      for (const Sample &Each : Instance.m_Samples) {
        if (Each.m_Name == Name.m_Name)
          Result[Each.label(LabelName)] += Each.m_Value;
      }
    }
    return Result;
  }

  /// The distribution for one organisation, or for all with an empty one.
  Distribution distribution(const metrics::MetricName &Name,
                            const std::string &Organisation) const {
    Distribution Result;
    const std::string Label =
        Organisation.empty() ? "" : names::OrganisationLabel;
    for (const InstanceMetrics &Instance : m_Instances)
      Result.add(Instance.m_Samples, Name.m_Name, Label, Organisation);
    return Result;
  }

private:
  const std::vector<InstanceMetrics> &m_Instances;
  std::set<std::string> m_Organisations;
};

std::vector<Bar> toBars(const std::map<std::string, double> &Values) {
  std::vector<Bar> Bars;
  Bars.reserve(Values.size());
  for (const auto &[Label, Value] : Values)
    Bars.push_back(
        {.m_Label = Label.empty() ? "all" : Label, .m_Value = Value});
  return Bars;
}

std::string latencySection(const FleetMetrics &Fleet,
                           const metrics::MetricName &Name,
                           const std::string &Title) {
  std::vector<Bar> Bars;
  std::vector<Cells> Rows;
  const auto Add = [&](const std::string &Label, const std::string &Wanted) {
    const Distribution Values = Fleet.distribution(Name, Wanted);
    if (Values.count() == 0)
      return;
    Rows.push_back({Label, shortNumber(Values.count()),
                    shortNumber(Values.quantile(Median)),
                    shortNumber(Values.quantile(P95)),
                    shortNumber(Values.quantile(P99))});
    Bars.push_back({.m_Label = Label, .m_Value = Values.quantile(P95)});
  };
  Add("all", "");
  for (const std::string &Each : Fleet.organisations())
    Add(Each, Each);
  return "<h3>" + Title + ", 95th percentile</h3>\n" + barChart(Bars, " s") +
         htmlTable(
             {"organisation", "count", "median (s)", "95th (s)", "99th (s)"},
             Rows);
}

std::string refusalSection(const FleetMetrics &Fleet) {
  return "<h2>Refusals</h2>\n<h3>By kind</h3>\n" +
         barChart(toBars(Fleet.sums(names::Refusals, names::KindLabel)), "") +
         "<h3>Inside the organisation's rate</h3>\n" +
         barChart(toBars(Fleet.sums(names::RefusalsInsideRate,
                                    names::OrganisationLabel)),
                  "");
}

/// Fairness: the work that each organisation got, and how the one with the
/// worst latency fares against the one in the middle.
std::string fairnessSection(const FleetMetrics &Fleet) {
  std::vector<Bar> Waits;
  for (const std::string &Each : Fleet.organisations()) {
    const Distribution Values = Fleet.distribution(names::QueueTime, Each);
    if (Values.count() > 0)
      Waits.push_back({.m_Label = Each, .m_Value = Values.quantile(P95)});
  }
  std::string Text = "<h2>Fairness</h2>\n";
  if (!Waits.empty()) {
    std::vector<Bar> Ordered = Waits;
    std::sort(Ordered.begin(), Ordered.end(),
              [](const Bar &Left, const Bar &Right) {
                return Left.m_Value < Right.m_Value;
              });
    const Bar &Middle = Ordered[Ordered.size() / 2];
    Text += "<p>Worst served: " + escapeHtml(Ordered.back().m_Label) +
            " waits " + shortNumber(Ordered.back().m_Value) +
            " s at the 95th percentile; " + escapeHtml(Middle.m_Label) +
            ", in the middle, waits " + shortNumber(Middle.m_Value) +
            " s.</p>\n";
  }
  return Text + "<h3>Queue time, 95th percentile</h3>\n" +
         barChart(Waits, " s") + "<h3>Prompt tokens</h3>\n" +
         barChart(
             toBars(Fleet.sums(names::PromptTokens, names::OrganisationLabel)),
             "");
}

std::string cacheSection(const FleetMetrics &Fleet) {
  const auto Used = Fleet.sums(names::PromptTokens, names::OrganisationLabel);
  std::map<std::string, double> Shares;
  for (const auto &[Organisation, Recomputed] :
       Fleet.sums(names::RecomputedTokens, names::OrganisationLabel)) {
    const auto Total = Used.find(Organisation);
    if (Total != Used.end() && Total->second > 0)
      Shares[Organisation] = Percent * Recomputed / Total->second;
  }
  return "<h2>Cache waste</h2>\n<h3>Recomputed tokens in 100 prompt "
         "tokens</h3>\n" +
         barChart(toBars(Shares), " %");
}

} // namespace

std::string makeReport(const std::vector<InstanceMetrics> &Instances,
                       const std::vector<std::string> &Unreachable,
                       const std::string &Time) {
  const FleetMetrics Fleet(Instances);
  std::string Text = PageHead + "<p>" + Time + ", " +
                     std::to_string(Instances.size()) +
                     " instances answered. Counts run from each process's "
                     "start.</p>\n";
  for (const std::string &Target : Unreachable)
    Text += "<p><b>Not reachable: " + escapeHtml(Target) + "</b></p>\n";
  Text += "<h2>Latency</h2>\n" +
          latencySection(Fleet, names::ProgramLatency, "Programs") +
          latencySection(Fleet, names::CallLatency, "Calls");
  Text += refusalSection(Fleet);
  Text += fairnessSection(Fleet);
  Text += cacheSection(Fleet);
  Text += "<h2>Counters</h2>\n" + barChart(toBars(Fleet.counters()), "");
  return Text + "</body></html>\n";
}

ExitCode writeReport(const Session &Run) {
  const std::string &File = Run.options().m_ReportFile;
  if (File.empty())
    throw UsageError("report needs --report_file=FILE");
  std::vector<InstanceMetrics> Instances;
  std::vector<std::string> Unreachable;
  for (const std::string &Target : Run.options().m_Targets) {
    try {
      const Json::Value Answer =
          Run.callTarget(Target, "metrics", Json::objectValue);
      Instances.push_back(
          {.m_Target = Target,
           .m_Samples = metrics::parseSamples(Answer["text"].asString())});
    } catch (const RpcUnreachable &Error) {
      Unreachable.push_back(Target);
    } catch (const RpcRefused &Error) {
      if (Error.kind() != "not-found")
        throw;
      // A ledger serves no calls and has no metrics of them.
      Run.error() << "pspctl: " << Target << ": " << Error.what() << "\n";
    }
  }
  const std::string Page = makeReport(Instances, Unreachable,
                                      wallTimeText(base::readClocks().m_Wall));
  std::ofstream Output(File, std::ios::binary);
  Output << Page;
  Output.close();
  if (!Output)
    throw base::UserError(base::ErrorKind::BadRequest,
                          "--report_file: " + File + " can't be written");
  Run.out() << "report of " << Instances.size() << " instances in " << File
            << ", " << Unreachable.size() << " not reachable\n";
  return Instances.empty() ? ExitCode::Unreachable : ExitCode::Done;
}

} // namespace psp::ctl
