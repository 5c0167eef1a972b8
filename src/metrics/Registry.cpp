#include "metrics/Registry.h"

#include "base/Error.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

namespace psp::metrics {
namespace {

/// Exactly one of the three is set.
struct Metric {
  std::unique_ptr<Counter> m_Counter;
  std::unique_ptr<Gauge> m_Gauge;
  std::unique_ptr<LatencyHistogram> m_Histogram;
};

/// All metrics of one name.
struct Family {
  std::string m_Help;
  std::map<std::vector<Label>, Metric> m_Metrics;
};

std::string escaped(const std::string &Value) {
  std::string Text;
  for (const char Character : Value) {
    if (Character == '\n') {
      Text += "\\n";
      continue;
    }
    if (Character == '\\' || Character == '"')
      Text += '\\';
    Text += Character;
  }
  return Text;
}

const char *typeName(const Metric &Value) {
  if (Value.m_Counter)
    return "counter";
  return Value.m_Gauge ? "gauge" : "histogram";
}

void appendMetric(std::string &Text, const std::string &Name,
                  const std::vector<Label> &Labels, const Metric &Value) {
  if (Value.m_Histogram) {
    Value.m_Histogram->appendText(Text, Name, Labels);
    return;
  }
  Text.append(Name).append(labelText(Labels)).append(" ");
  Text += Value.m_Counter ? std::to_string(Value.m_Counter->value())
                          : std::to_string(Value.m_Gauge->value());
  Text += "\n";
}

} // namespace

std::string labelText(const std::vector<Label> &Labels) {
  if (Labels.empty())
    return "";
  std::string Text = "{";
  for (const Label &Each : Labels) {
    if (Text.size() > 1)
      Text += ",";
    Text.append(Each.m_Name).append("=\"");
    Text.append(escaped(Each.m_Value)).append("\"");
  }
  return Text + "}";
}

class Registry::Impl {
public:
  template <typename T>
  T &find(const MetricName &Name, std::vector<Label> Labels,
          std::unique_ptr<T> Metric::*Member) {
    const std::lock_guard Guard(m_Mutex);
    Family &Found = m_Families[Name.m_Name];
    Found.m_Help = Name.m_Help;
    std::sort(Labels.begin(), Labels.end());
    auto [Place, IsNew] = Found.m_Metrics.try_emplace(std::move(Labels));
    if (IsNew)
      Place->second.*Member = std::make_unique<T>();
    base::checkInvariant(Place->second.*Member != nullptr,
                         "a metric was used as two types");
    return *(Place->second.*Member);
  }

  std::string text() const {
    const std::lock_guard Guard(m_Mutex);
    std::string Text;
    for (const auto &[Name, Members] : m_Families) {
      const Metric &First = Members.m_Metrics.begin()->second;
      Text.append("# HELP ").append(Name).append(" ");
      Text.append(Members.m_Help).append("\n# TYPE ").append(Name);
      Text.append(" ").append(typeName(First)).append("\n");
      for (const auto &[Labels, Value] : Members.m_Metrics)
        appendMetric(Text, Name, Labels, Value);
    }
    return Text;
  }

private:
  mutable std::mutex m_Mutex;
  std::map<std::string, Family> m_Families;
};

Registry::Registry() : m_Impl(std::make_unique<Impl>()) {}

Registry::~Registry() = default;

Counter &Registry::counter(const MetricName &Name, std::vector<Label> Labels) {
  return m_Impl->find(Name, std::move(Labels), &Metric::m_Counter);
}

Gauge &Registry::gauge(const MetricName &Name, std::vector<Label> Labels) {
  return m_Impl->find(Name, std::move(Labels), &Metric::m_Gauge);
}

LatencyHistogram &Registry::histogram(const MetricName &Name,
                                      std::vector<Label> Labels) {
  return m_Impl->find(Name, std::move(Labels), &Metric::m_Histogram);
}

std::string Registry::text() const { return m_Impl->text(); }

} // namespace psp::metrics
