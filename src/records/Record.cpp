#include "records/Record.h"

#include "base/ErrorKind.h"
#include "base/Hash.h"
#include "program/HashChain.h"
#include "records/Schema.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace psp::records {
namespace {

using messages::ProgramEntry;

/// Properties of a turn that one of its entries contains and later entries
/// omit.
struct TurnContext {
  std::string m_KeyId;
  std::string m_Service;
  std::string m_IdempotencyKey;
  std::string m_Endpoint;
  bool m_IsClaimed = false;
};

std::string schemaNameOf(RecordKind Kind) {
  switch (Kind) {
  case RecordKind::Order:
    return "order";
  case RecordKind::Notice:
    return "notice";
  case RecordKind::Program:
    break;
  }
  return "turn";
}

/// Returns whether the call was never executed. Such a call has no endpoint and
/// no answer, so its record isn't required to contain them.
bool wasNotExecuted(const Record &Finished) {
  const auto Error = base::errorKindFromName(Finished.m_Outcome);
  return Error && base::errorAnswer(*Error).m_Run == base::RunState::No;
}

/// Builds the records of one program from its entries, in their order.
class RecordBuilder {
public:
  RecordBuilder(const ProgramHistory &History,
                const messages::Configuration &Current)
      : m_History(History), m_Current(Current) {}

  std::vector<Record> build() {
    for (const ProgramEntry &Entry : m_History.m_Entries)
      m_Records.push_back(makeRecord(Entry));
    for (Record &Unfinished : m_Records)
      completeRecord(Unfinished);
    return std::move(m_Records);
  }

private:
  Record makeRecord(const ProgramEntry &Entry) {
    Record Result;
    Result.m_Program = m_History.m_Program;
    Result.m_Index = Entry.index();
    Result.m_Time = Entry.wall_time_us();
    Result.m_Durability = Entry.durability();
    Result.m_SchemaVersion = Entry.schema_version();
    Result.m_Hash = base::toHex(program::contentHash(Entry));
    readBody(Entry, Result);
    Result.m_Organisation = m_Organisation;
    const auto Turn = m_Turns.find(Result.m_Turn);
    if (Result.m_Turn == 0 || Turn == m_Turns.end())
      return Result;
    Result.m_Key = base::KeyId(Turn->second.m_KeyId);
    Result.m_Service = Turn->second.m_Service;
    Result.m_IdempotencyKey = Turn->second.m_IdempotencyKey;
    return Result;
  }

  void readBody(const ProgramEntry &Entry, Record &Result) {
    switch (Entry.body_case()) {
    case ProgramEntry::kCreated:
      Result.m_Event = RecordEvent::ProgramCreated;
      Result.m_Key = base::KeyId(Entry.created().key_id());
      m_Organisation = base::OrganisationId(Entry.created().organisation());
      break;
    case ProgramEntry::kTurnStarted:
      readStart(Entry.turn_started(), Result);
      break;
    case ProgramEntry::kCallSent:
      Result.m_Event = RecordEvent::CallSent;
      readEndpoint(Entry.call_sent().turn(), Entry.call_sent().endpoint(),
                   Result);
      break;
    case ProgramEntry::kCallClaimed:
      Result.m_Event = RecordEvent::CallClaimed;
      readEndpoint(Entry.call_claimed().turn(), Entry.call_claimed().endpoint(),
                   Result);
      m_Turns[Result.m_Turn].m_IsClaimed = true;
      break;
    case ProgramEntry::kTurnFinished:
      readFinish(Entry.turn_finished(), Result);
      break;
    case ProgramEntry::kOwnerChanged:
      Result.m_Event = RecordEvent::OwnerChanged;
      Result.m_Outcome = Entry.owner_changed().instance();
      break;
    case ProgramEntry::kEnded:
      Result.m_Event = RecordEvent::ProgramEnded;
      Result.m_Outcome = Entry.ended().reason();
      break;
    case ProgramEntry::kResolved:
      Result.m_Event = RecordEvent::OutcomeResolved;
      Result.m_Turn = Entry.resolved().turn();
      Result.m_Outcome = Entry.resolved().finding() + " by operator " +
                         Entry.resolved().operator_name();
      break;
    case ProgramEntry::kMemoryFreed:
      Result.m_Event = RecordEvent::MemoryFreed;
      break;
    case ProgramEntry::BODY_NOT_SET:
      break;
    }
  }

  void readStart(const messages::TurnStarted &Start, Record &Result) {
    const messages::CallRequest &Request = Start.request();
    Result.m_Event = RecordEvent::TurnStarted;
    Result.m_Turn = Request.turn();
    Result.m_Content = Request.body();
    Result.m_ContentType = Request.content_type();
    m_Turns[Request.turn()] = {.m_KeyId = Start.key_id(),
                               .m_Service = Request.service(),
                               .m_IdempotencyKey = Request.idempotency_key(),
                               .m_Endpoint = "",
                               .m_IsClaimed = false};
  }

  void readEndpoint(std::uint64_t Turn, const std::string &Endpoint,
                    Record &Result) {
    Result.m_Turn = Turn;
    Result.m_Endpoint = base::EndpointId(Endpoint);
    m_Turns[Turn].m_Endpoint = Endpoint;
  }

  void readFinish(const messages::TurnFinished &Finish, Record &Result) {
    Result.m_Event = RecordEvent::TurnFinished;
    Result.m_Turn = Finish.turn();
    const std::string &Error = Finish.outcome().error_kind();
    Result.m_Outcome = Error.empty() ? "success" : Error;
    Result.m_Content = Finish.answer();
    Result.m_ContentType = Finish.outcome().content_type();
    Result.m_Endpoint = base::EndpointId(Finish.endpoint());
    if (Finish.endpoint().empty())
      Result.m_Endpoint = base::EndpointId(m_Turns[Finish.turn()].m_Endpoint);
  }

  /// Adds the fields that depend on the complete history. An order is
  /// identified by its claim, which follows the start of the turn.
  void completeRecord(Record &Result) const {
    const auto Turn = m_Turns.find(Result.m_Turn);
    if (Result.m_Turn != 0 && Turn != m_Turns.end())
      Result.m_Kind = kindOf(Turn->second);
    if (Result.m_Event != RecordEvent::TurnFinished || wasNotExecuted(Result))
      return;
    const auto *Schema = findSchema(m_Current, schemaNameOf(Result.m_Kind),
                                    Result.m_SchemaVersion);
    if (Schema != nullptr)
      Result.m_MissingFields = findMissingFields(Result, *Schema);
  }

  /// Returns the kind of a turn. A claim identifies an order even if its
  /// service has been removed since.
  RecordKind kindOf(const TurnContext &Turn) const {
    const auto &Services = m_Current.services();
    const auto Service = std::find_if(
        Services.begin(), Services.end(), [&](const auto &Candidate) {
          return Candidate.name() == Turn.m_Service;
        });
    if (Service != Services.end() &&
        Service->kind() == messages::Service::NOTICE)
      return RecordKind::Notice;
    if (Service != Services.end() &&
        Service->kind() == messages::Service::ORDER)
      return RecordKind::Order;
    return Turn.m_IsClaimed ? RecordKind::Order : RecordKind::Program;
  }

  const ProgramHistory &m_History;
  const messages::Configuration &m_Current;
  base::OrganisationId m_Organisation;
  std::map<std::uint64_t, TurnContext> m_Turns;
  std::vector<Record> m_Records;
};

bool isEmptyField(const Record &Candidate, std::string_view Field) {
  if (Field == "organisation")
    return Candidate.m_Organisation.empty();
  if (Field == "program")
    return Candidate.m_Program.empty();
  if (Field == "turn")
    return Candidate.m_Turn == 0;
  if (Field == "key_id")
    return Candidate.m_Key.empty();
  if (Field == "endpoint")
    return Candidate.m_Endpoint.empty();
  if (Field == "wall_time")
    return Candidate.m_Time == 0;
  if (Field == "outcome")
    return Candidate.m_Outcome.empty();
  if (Field == "durability")
    return Candidate.m_Durability.empty();
  if (Field == "service")
    return Candidate.m_Service.empty();
  if (Field == "schema_version")
    return Candidate.m_SchemaVersion == 0;
  if (Field == "content")
    return Candidate.m_Content.empty();
  if (Field == "content_type")
    return Candidate.m_ContentType.empty();
  if (Field == "idempotency_key")
    return Candidate.m_IdempotencyKey.empty();
  return true; // A field that no record has is always missing.
}

} // namespace

std::string_view recordKindName(RecordKind Kind) {
  switch (Kind) {
  case RecordKind::Order:
    return "order";
  case RecordKind::Notice:
    return "notice";
  case RecordKind::Program:
    break;
  }
  return "program";
}

std::string_view recordEventName(RecordEvent Event) {
  switch (Event) {
  case RecordEvent::ProgramCreated:
    return "program-created";
  case RecordEvent::TurnStarted:
    return "turn-started";
  case RecordEvent::CallSent:
    return "call-sent";
  case RecordEvent::CallClaimed:
    return "call-claimed";
  case RecordEvent::TurnFinished:
    return "turn-finished";
  case RecordEvent::OwnerChanged:
    return "owner-changed";
  case RecordEvent::ProgramEnded:
    return "program-ended";
  case RecordEvent::OutcomeResolved:
    return "outcome-resolved";
  case RecordEvent::MemoryFreed:
    return "memory-freed";
  case RecordEvent::Unknown:
    break;
  }
  return "unknown";
}

std::vector<Record> makeRecords(const ProgramHistory &History,
                                const messages::Configuration &Current) {
  return RecordBuilder(History, Current).build();
}

bool matches(const Record &Candidate, const RecordFilter &Filter) {
  const bool KindMatches =
      Filter.m_Kind == RecordKind::Program || Filter.m_Kind == Candidate.m_Kind;
  const bool OrganisationMatches =
      Filter.m_Organisation.empty() ||
      Filter.m_Organisation == Candidate.m_Organisation;
  const bool ProgramMatches =
      Filter.m_Program.empty() || Filter.m_Program == Candidate.m_Program;
  return KindMatches && OrganisationMatches && ProgramMatches &&
         Candidate.m_Time >= Filter.m_From &&
         Candidate.m_Time <= Filter.m_Until;
}

std::vector<std::string>
findMissingFields(const Record &Candidate,
                  const messages::RecordSchema &Schema) {
  std::vector<std::string> Missing;
  for (const std::string &Field : Schema.required_fields()) {
    if (isEmptyField(Candidate, Field))
      Missing.push_back(Field);
  }
  return Missing;
}

} // namespace psp::records
