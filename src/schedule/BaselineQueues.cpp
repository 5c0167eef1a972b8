#include "schedule/FairQueue.h"

#include <algorithm>
#include <list>

namespace psp::schedule {
namespace {

/// First in, first out. A baseline for comparisons.
class FifoQueue : public CallQueue {
public:
  void push(const QueuedCall &Call) override {
    m_Waiting.push_back(Call);
    m_WaitingWork += Call.m_EstimatedWork;
  }

  std::optional<QueuedCall> pop() override {
    if (m_Waiting.empty())
      return std::nullopt;
    QueuedCall Result = m_Waiting.front();
    m_Waiting.pop_front();
    m_WaitingWork -= Result.m_EstimatedWork;
    return Result;
  }

  bool nextIsAlarm() const override {
    return !m_Waiting.empty() && m_Waiting.front().m_Class == CallClass::Alarm;
  }

  bool remove(CallNumber Call) override {
    const auto Position = std::find_if(
        m_Waiting.begin(), m_Waiting.end(),
        [Call](const auto &Waiting) { return Waiting.m_Call == Call; });
    if (Position == m_Waiting.end())
      return false;
    m_WaitingWork -= Position->m_EstimatedWork;
    m_Waiting.erase(Position);
    return true;
  }

  void correct(const base::OrganisationId &, Work) override {}

  std::optional<CallNumber> victimFor(const QueuedCall &) const override {
    return std::nullopt;
  }

  Work queuedWorkAhead(const base::OrganisationId &) const override {
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

/// Alarms first, then one call of each organisation in turn, whatever its work.
/// A second baseline for comparisons.
class RoundRobinQueue : public CallQueue {
public:
  void push(const QueuedCall &Call) override {
    ++m_Size;
    if (Call.m_Class == CallClass::Alarm) {
      m_Alarms.push(Call);
      return;
    }
    FifoQueue &Queue = m_Queues[Call.m_Organisation];
    if (Queue.size() == 0)
      m_RoundRobinOrder.push_back(Call.m_Organisation);
    Queue.push(Call);
  }

  std::optional<QueuedCall> pop() override {
    if (m_Size == 0)
      return std::nullopt;
    --m_Size;
    if (m_Alarms.size() > 0)
      return m_Alarms.pop();
    const base::OrganisationId Next = m_RoundRobinOrder.front();
    m_RoundRobinOrder.pop_front();
    FifoQueue &Queue = m_Queues.at(Next);
    auto Result = Queue.pop();
    if (Queue.size() > 0)
      m_RoundRobinOrder.push_back(Next);
    return Result;
  }

  bool nextIsAlarm() const override { return m_Alarms.size() > 0; }

  bool remove(CallNumber Call) override {
    if (m_Alarms.remove(Call)) {
      --m_Size;
      return true;
    }
    for (auto &[Organisation, Queue] : m_Queues) {
      if (!Queue.remove(Call))
        continue;
      --m_Size;
      if (Queue.size() == 0)
        m_RoundRobinOrder.remove(Organisation);
      return true;
    }
    return false;
  }

  void correct(const base::OrganisationId &, Work) override {}

  std::optional<CallNumber> victimFor(const QueuedCall &) const override {
    return std::nullopt;
  }

  Work
  queuedWorkAhead(const base::OrganisationId &Organisation) const override {
    const auto Own = m_Queues.find(Organisation);
    const Work OwnWork =
        Own == m_Queues.end() ? 0.0 : Own->second.queuedWorkAhead(Organisation);
    return OwnWork * static_cast<double>(
                         std::max<std::size_t>(1, m_RoundRobinOrder.size()));
  }

  std::vector<QueuedCall> waiting() const override {
    std::vector<QueuedCall> Result = m_Alarms.waiting();
    for (const auto &[Organisation, Queue] : m_Queues) {
      const std::vector<QueuedCall> QueueCalls = Queue.waiting();
      Result.insert(Result.end(), QueueCalls.begin(), QueueCalls.end());
    }
    return Result;
  }

  Work totalWork() const override {
    Work Sum = m_Alarms.totalWork();
    for (const auto &[Organisation, Queue] : m_Queues)
      Sum += Queue.totalWork();
    return Sum;
  }

  std::size_t size() const override { return m_Size; }

private:
  std::size_t m_Size = 0;
  FifoQueue m_Alarms;
  std::unordered_map<base::OrganisationId, FifoQueue> m_Queues;
  std::list<base::OrganisationId> m_RoundRobinOrder;
};

} // namespace

std::unique_ptr<CallQueue> makeCallQueue(const QueueOptions &Options) {
  switch (Options.m_Order) {
  case QueueOrder::Fifo:
    return std::make_unique<FifoQueue>();
  case QueueOrder::RoundRobin:
    return std::make_unique<RoundRobinQueue>();
  case QueueOrder::Fair:
    break;
  }
  return std::make_unique<FairQueue>(Options);
}

} // namespace psp::schedule
