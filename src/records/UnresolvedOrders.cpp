#include "records/UnresolvedOrders.h"

#include "base/ErrorKind.h"

#include <map>
#include <utility>

namespace psp::records {

std::vector<Record>
findUnresolvedOrders(const ProgramHistory &History,
                     const messages::Configuration &Current) {
  const auto Unknown =
      base::errorAnswer(base::ErrorKind::OutcomeUnknown).m_Name;
  std::map<std::uint64_t, Record> Unresolved;
  for (Record &Each : makeRecords(History, Current)) {
    if (Each.m_Event == RecordEvent::OutcomeResolved)
      Unresolved.erase(Each.m_Turn);
    else if (Each.m_Event == RecordEvent::TurnFinished &&
             Each.m_Outcome == Unknown)
      Unresolved[Each.m_Turn] = std::move(Each);
  }
  std::vector<Record> Result;
  Result.reserve(Unresolved.size());
  for (auto &[Turn, Each] : Unresolved)
    Result.push_back(std::move(Each));
  return Result;
}

} // namespace psp::records
