/// \file
/// Records, the view of a program's history for inspectors. Each committed
/// entry yields one record. A record identifies its organisation and program
/// itself, so it can be read without the entries around it.

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

/// The event that a record describes.
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

/// One record. Members that don't apply to its event are empty.
struct Record {
  RecordKind m_Kind = RecordKind::Program;
  RecordEvent m_Event = RecordEvent::Unknown;
  base::OrganisationId m_Organisation;
  base::ProgramId m_Program;
  std::uint64_t m_Index = 0; ///< Position in the program's chain, from 1.
  std::uint64_t m_Turn = 0;
  base::KeyId m_Key; ///< Identifier only, never the key itself.
  std::string m_Service;
  std::string m_IdempotencyKey;
  base::EndpointId m_Endpoint;
  base::WallTime m_Time = 0;
  std::string m_Outcome; ///< "success", an error kind, or a finding.
  std::string m_Durability;
  std::uint32_t m_SchemaVersion = 0;
  std::string m_ContentType;
  /// The request of a started turn, the answer of a finished one.
  std::string m_Content;
  std::string m_Hash; ///< Digest of the entry, in hexadecimal digits.
  /// Fields that its own schema version requires and that are empty.
  std::vector<std::string> m_MissingFields;

  bool operator==(const Record &) const = default;
};

std::string_view recordKindName(RecordKind Kind);
std::string_view recordEventName(RecordEvent Event);

/// Returns the records of \p History. \p Current supplies the kinds of the
/// services and all schema versions. A finished turn is validated by the
/// version that it was written under.
std::vector<Record> makeRecords(const ProgramHistory &History,
                                const messages::Configuration &Current);

/// Returns whether \p Candidate passes \p Filter. The kind Program matches all
/// records of a program, the kinds Order and Notice only the records of such
/// calls.
bool matches(const Record &Candidate, const RecordFilter &Filter);

/// Returns the fields that \p Schema requires and that are empty in
/// \p Candidate.
std::vector<std::string>
findMissingFields(const Record &Candidate,
                  const messages::RecordSchema &Schema);

} // namespace psp::records

#endif
