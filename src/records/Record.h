/// \file
/// Records: what an inspector sees of a program's history. Each committed
/// entry gives one record that names by itself whose it is, so that it can be
/// read without the entries around it.

#ifndef PSP_RECORDS_RECORD_H
#define PSP_RECORDS_RECORD_H

#include "base/Ids.h"
#include "base/Time.h"
#include "generated/control.pb.h"
#include "records/ProgramHistory.h"

#include <cstdint>
#include <string>
#include <vector>

namespace psp::records {

/// What happened.
enum class RecordEvent {
  ProgramCreated,
  TurnStarted,
  CallSent,
  CallClaimed,
  TurnFinished,
  OwnerChanged,
  ProgramEnded,
  OutcomeResolved,
  MemoryFreed,
  Unknown, ///< Written by a later release.
};

/// One record. Empty members don't apply to its event.
struct Record {
  RecordKind m_Kind = RecordKind::Program;
  RecordEvent m_Event = RecordEvent::Unknown;
  base::OrganisationId m_Organisation;
  base::ProgramId m_Program;
  std::uint64_t m_Index = 0; ///< Position in the program's chain, from 1.
  std::uint64_t m_Turn = 0;
  base::KeyId m_Key; ///< Never the key itself.
  std::string m_Service;
  std::string m_IdempotencyKey;
  base::EndpointId m_Endpoint;
  base::WallTime m_Time = 0;
  std::string m_Outcome; ///< "success", an error kind, or a finding.
  std::string m_Durability;
  std::uint32_t m_SchemaVersion = 0;
  std::string m_ContentType;
  std::string m_Content; ///< The request of a start, the answer of a finish.
  std::string m_Hash;    ///< Digest of the entry, in hexadecimal digits.
  /// What its own schema version demands and it does not have.
  std::vector<std::string> m_MissingFields;

  bool operator==(const Record &) const = default;
};

std::string_view recordKindName(RecordKind Kind);
std::string_view recordEventName(RecordEvent Event);

/// The records of \p History. \p Current supplies the services' kinds and
/// every schema version; a finished turn is validated by its own version.
std::vector<Record> makeRecords(const ProgramHistory &History,
                                const messages::Configuration &Current);

/// Whether \p Candidate passes \p Filter. A program's records are all of its
/// records; orders and notices only the records of such calls.
bool matches(const Record &Candidate, const RecordFilter &Filter);

/// The fields that \p Schema requires and \p Candidate leaves empty.
std::vector<std::string>
findMissingFields(const Record &Candidate,
                  const messages::RecordSchema &Schema);

} // namespace psp::records

#endif
