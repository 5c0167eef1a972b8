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
  for (Record &NextRecord : makeRecords(History, Current)) {
    if (NextRecord.m_Event == RecordEvent::OutcomeResolved)
      Unresolved.erase(NextRecord.m_Turn);
    else if (NextRecord.m_Event == RecordEvent::TurnFinished &&
             NextRecord.m_Outcome == Unknown)
      Unresolved[NextRecord.m_Turn] = std::move(NextRecord);
  }
  std::vector<Record> Result;
  Result.reserve(Unresolved.size());
  for (auto &[Turn, Finished] : Unresolved)
    Result.push_back(std::move(Finished));
  return Result;
}

} // namespace psp::records
