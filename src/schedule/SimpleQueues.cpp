#include "schedule/FairQueue.h"

#include <algorithm>
#include <list>

namespace psp::schedule {
namespace {

/// First come, first served: the order to compare with.
class FirstComeQueue : public CallQueue {
public:
  void push(const QueuedCall &Call) override {
    m_Waiting.push_back(Call);
    m_WaitingWork += Call.m_Work;
  }

  std::optional<QueuedCall> pop() override {
    if (m_Waiting.empty())
      return std::nullopt;
    QueuedCall Result = m_Waiting.front();
    m_Waiting.pop_front();
    m_WaitingWork -= Result.m_Work;
    return Result;
  }

  bool nextIsAlarm() const override {
    return !m_Waiting.empty() && m_Waiting.front().m_Class == CallClass::Alarm;
  }

  bool remove(CallNumber Call) override {
    const auto Position =
        std::find_if(m_Waiting.begin(), m_Waiting.end(),
                     [Call](const auto &Each) { return Each.m_Call == Call; });
    if (Position == m_Waiting.end())
      return false;
    m_WaitingWork -= Position->m_Work;
    m_Waiting.erase(Position);
    return true;
  }

  void correct(const base::OrganisationId &, Work) override {}

  std::optional<CallNumber> victimFor(const QueuedCall &) const override {
    return std::nullopt;
  }

  Work workAhead(const base::OrganisationId &) const override {
    return m_WaitingWork;
  }

  Work totalWork() const override { return m_WaitingWork; }

  std::vector<QueuedCall> waiting() const override {
    return {m_Waiting.begin(), m_Waiting.end()};
  }

  std::size_t size() const override { return m_Waiting.size(); }

private:
  std::deque<QueuedCall> m_Waiting;
  Work m_WaitingWork = 0.0;
};

/// Alarms first, then one call of each organisation in turn, whatever its
/// work: the other order to compare with.
class RoundRobinQueue : public CallQueue {
public:
  void push(const QueuedCall &Call) override {
    ++m_Size;
    if (Call.m_Class == CallClass::Alarm) {
      m_Alarms.push(Call);
      return;
    }
    FirstComeQueue &Lane = m_Lanes[Call.m_Organisation];
    if (Lane.size() == 0)
      m_Turns.push_back(Call.m_Organisation);
    Lane.push(Call);
  }

  std::optional<QueuedCall> pop() override {
    if (m_Size == 0)
      return std::nullopt;
    --m_Size;
    if (m_Alarms.size() > 0)
      return m_Alarms.pop();
    const base::OrganisationId Next = m_Turns.front();
    m_Turns.pop_front();
    FirstComeQueue &Lane = m_Lanes.at(Next);
    auto Result = Lane.pop();
    if (Lane.size() > 0)
      m_Turns.push_back(Next);
    return Result;
  }

  bool nextIsAlarm() const override { return m_Alarms.size() > 0; }

  bool remove(CallNumber Call) override {
    if (m_Alarms.remove(Call)) {
      --m_Size;
      return true;
    }
    for (auto &[Organisation, Lane] : m_Lanes) {
      if (!Lane.remove(Call))
        continue;
      --m_Size;
      if (Lane.size() == 0)
        m_Turns.remove(Organisation);
      return true;
    }
    return false;
  }

  void correct(const base::OrganisationId &, Work) override {}

  std::optional<CallNumber> victimFor(const QueuedCall &) const override {
    return std::nullopt;
  }

  Work workAhead(const base::OrganisationId &Organisation) const override {
    const auto Own = m_Lanes.find(Organisation);
    const Work OwnWork =
        Own == m_Lanes.end() ? 0.0 : Own->second.workAhead(Organisation);
    return OwnWork *
           static_cast<double>(std::max<std::size_t>(1, m_Turns.size()));
  }

  std::vector<QueuedCall> waiting() const override {
    std::vector<QueuedCall> Result = m_Alarms.waiting();
    for (const auto &[Organisation, Lane] : m_Lanes) {
      const std::vector<QueuedCall> Part = Lane.waiting();
      Result.insert(Result.end(), Part.begin(), Part.end());
    }
    return Result;
  }

  Work totalWork() const override {
    Work Sum = m_Alarms.totalWork();
    for (const auto &[Organisation, Lane] : m_Lanes)
      Sum += Lane.totalWork();
    return Sum;
  }

  std::size_t size() const override { return m_Size; }

private:
  std::size_t m_Size = 0;
  FirstComeQueue m_Alarms;
  std::unordered_map<base::OrganisationId, FirstComeQueue> m_Lanes;
  std::list<base::OrganisationId> m_Turns;
};

} // namespace

std::unique_ptr<CallQueue> makeCallQueue(const QueueOptions &Options) {
  switch (Options.m_Order) {
  case QueueOrder::FirstCome:
    return std::make_unique<FirstComeQueue>();
  case QueueOrder::RoundRobin:
    return std::make_unique<RoundRobinQueue>();
  case QueueOrder::Fair:
    break;
  }
  return std::make_unique<FairQueue>(Options);
}

} // namespace psp::schedule
