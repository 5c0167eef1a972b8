#include "control/ControlState.h"

#include "base/Error.h"
#include "control/ConfigurationCheck.h"

#include <algorithm>

namespace psp::control {

namespace {

using base::ErrorKind;
using base::UserError;

void setRejected(messages::ControlResult &Answer, ErrorKind Kind,
                 const std::string &Detail) {
  Answer.set_accepted(false);
  Answer.set_error_kind(std::string(base::errorAnswer(Kind).m_Name));
  Answer.set_detail(Detail);
}

base::Digest digestFromBytes(const std::string &Bytes, const char *Field) {
  base::Digest Value{};
  if (Bytes.size() != Value.size())
    throw UserError(ErrorKind::BadRequest, std::string(Field) + ": expected " +
                                               std::to_string(Value.size()) +
                                               " bytes, found " +
                                               std::to_string(Bytes.size()));
  std::copy(Bytes.begin(), Bytes.end(), Value.begin());
  return Value;
}

void requireText(const std::string &Value, const char *Field) {
  if (Value.empty())
    throw UserError(ErrorKind::BadRequest,
                    std::string(Field) + ": expected a name, found none");
}

} // namespace

messages::ControlResult
ControlState::apply(std::uint64_t Index,
                    const messages::ControlCommand &Command) {
  base::checkInvariant(
      Index == m_AppliedIndex + 1,
      "control commands must be applied at consecutive indexes");
  std::uint64_t NumberBefore = m_Configuration.number();
  std::string Content = Command.SerializeAsString();
  Result Answer;
  Answer.set_request_id(Command.request_id());
  Answer.set_index(Index);

  bool IsEmpty =
      Command.change_case() == messages::ControlCommand::CHANGE_NOT_SET &&
      Command.request_id().empty();
  if (!IsEmpty) {
    std::string CommandDigest = base::toBytes(base::sha256(Content));
    const messages::AppliedRequest *Earlier = findRequest(Command.request_id());
    if (Earlier == nullptr) {
      execute(Command, Answer);
      if (!Command.request_id().empty())
        retainResult(Command.request_id(), CommandDigest, Answer);
    } else if (Earlier->command_digest() == CommandDigest) {
      Answer = Earlier->result();
    } else {
      setRejected(Answer, ErrorKind::VersionConflict,
                  "request_id: expected a new identifier, found \"" +
                      Command.request_id() + "\" of another command");
    }
  }

  m_AppliedIndex = Index;
  m_Digest = base::sha256(base::toBytes(m_Digest) + std::to_string(Index) +
                          base::toBytes(base::sha256(Content)) +
                          Answer.SerializeAsString());
  base::checkInvariant(m_Configuration.number() >= NumberBefore,
                       "the configuration number decreased");
  return Answer;
}

void ControlState::execute(const messages::ControlCommand &Command,
                           Result &Answer) {
  Answer.set_accepted(true);
  try {
    requireText(Command.request_id(), "request_id");
    switch (Command.change_case()) {
    case messages::ControlCommand::kPutConfiguration:
      putConfiguration(Command.put_configuration(), Answer);
      break;
    case messages::ControlCommand::kGiveKey:
      giveKey(Command.give_key().key());
      break;
    case messages::ControlCommand::kWithdrawKey:
      withdrawKey(Command.withdraw_key().key_id());
      break;
    case messages::ControlCommand::kFenceDataCentre:
      fenceDataCentre(Command.fence_data_centre(), Answer);
      break;
    case messages::ControlCommand::kNextFencingNumber:
      nextFencingNumber(Command.next_fencing_number().endpoint(), Answer);
      break;
    case messages::ControlCommand::CHANGE_NOT_SET:
      throw UserError(ErrorKind::BadRequest,
                      "change: expected a known change, found none");
    }
  } catch (const UserError &Error) {
    setRejected(Answer, Error.kind(), Error.what());
  }
}

void ControlState::putConfiguration(const messages::Configuration &Next,
                                    Result &Answer) {
  Answer.set_number(m_Configuration.number());
  if (Next.number() != 0 && Next.number() == m_Configuration.number()) {
    if (Next.SerializeAsString() != m_Configuration.SerializeAsString())
      throw UserError(ErrorKind::VersionConflict,
                      "number: expected the content in force under " +
                          std::to_string(Next.number()) +
                          ", found other content");
    Answer.set_index(m_ConfigurationIndex);
    return;
  }
  checkConfiguration(Next, m_Configuration);
  if (Next.number() < m_Configuration.number())
    throw UserError(ErrorKind::VersionConflict,
                    "number: expected a number above " +
                        std::to_string(m_Configuration.number()) + ", found " +
                        std::to_string(Next.number()));
  setConfiguration(Next, Answer.index());
  Answer.set_number(Next.number());
}

void ControlState::setConfiguration(const messages::Configuration &Next,
                                    std::uint64_t Index) {
  m_Configuration = Next;
  m_ConfigurationIndex = Index;
  m_Organisations.clear();
  for (int I = 0; I < Next.organisations_size(); ++I)
    m_Organisations[Next.organisations(I).name()] = I;
  m_Services.clear();
  for (int I = 0; I < Next.services_size(); ++I)
    m_Services[Next.services(I).name()] = I;
}

void ControlState::giveKey(const messages::Key &Key) {
  requireText(Key.key_id(), "key.key_id");
  base::Digest KeyDigest = digestFromBytes(Key.digest(), "key.digest");
  base::OrganisationId Owner(Key.organisation());
  auto It = m_Keys.find(Key.key_id());
  if (Key.withdrawn())
    throw UserError(ErrorKind::BadRequest,
                    "key.withdrawn: expected false, found true");
  if (It != m_Keys.end()) {
    if (It->second.withdrawn())
      throw UserError(ErrorKind::KeyWithdrawn,
                      "key.key_id: expected a new identifier, found \"" +
                          Key.key_id() + "\", which was withdrawn");
    if (It->second.digest() == Key.digest() &&
        It->second.organisation() == Key.organisation())
      return;
    throw UserError(ErrorKind::VersionConflict,
                    "key.key_id: expected a new identifier, found \"" +
                        Key.key_id() + "\" of another key");
  }
  if (findOrganisation(Owner) == nullptr)
    throw UserError(ErrorKind::NotFound,
                    "key.organisation: expected a configured organisation, "
                    "found \"" +
                        Key.organisation() + "\"");
  if (m_KeyDigests.contains(KeyDigest))
    throw UserError(ErrorKind::VersionConflict,
                    "key.digest: expected a new key, found that of \"" +
                        m_KeyDigests[KeyDigest] + "\"");
  m_Keys[Key.key_id()] = Key;
  m_KeyDigests[KeyDigest] = Key.key_id();
}

void ControlState::withdrawKey(const std::string &KeyId) {
  requireText(KeyId, "key_id");
  messages::Key &Key = m_Keys[KeyId];
  Key.set_key_id(KeyId);
  Key.set_withdrawn(true);
}

void ControlState::fenceDataCentre(const messages::FenceDataCentre &Change,
                                   Result &Answer) {
  requireText(Change.data_centre(), "data_centre");
  requireText(Change.served_by(), "served_by");
  messages::Home &Home = m_Homes[Change.data_centre()];
  Home.set_data_centre(Change.data_centre());
  Home.set_served_by(Change.served_by());
  Home.set_epoch(Home.epoch() + 1);
  Answer.set_number(Home.epoch());
}

void ControlState::nextFencingNumber(const std::string &Endpoint,
                                     Result &Answer) {
  requireText(Endpoint, "endpoint");
  Answer.set_number(++m_FencingNumbers[Endpoint]);
}

const messages::AppliedRequest *
ControlState::findRequest(const std::string &RequestId) const {
  auto Position = m_Requests.find(RequestId);
  return Position == m_Requests.end() ? nullptr : &Position->second;
}

void ControlState::retainResult(const std::string &RequestId,
                                const std::string &CommandDigest,
                                const Result &Answer) {
  messages::AppliedRequest &Request = m_Requests[RequestId];
  Request.set_request_id(RequestId);
  Request.set_command_digest(CommandDigest);
  *Request.mutable_result() = Answer;
  m_RequestOrder.push_back(RequestId);
  if (m_RequestOrder.size() <= MaxRetainedRequests)
    return;
  m_Requests.erase(m_RequestOrder.front());
  m_RequestOrder.pop_front();
}

const messages::Organisation *
ControlState::findOrganisation(const base::OrganisationId &Organisation) const {
  auto Position = m_Organisations.find(Organisation.str());
  return Position == m_Organisations.end()
             ? nullptr
             : &m_Configuration.organisations(Position->second);
}

const messages::Service *
ControlState::findService(std::string_view Name) const {
  auto Position = m_Services.find(Name);
  return Position == m_Services.end()
             ? nullptr
             : &m_Configuration.services(Position->second);
}

const messages::Key *
ControlState::findKey(const base::Digest &KeyDigest) const {
  auto Position = m_KeyDigests.find(KeyDigest);
  return Position == m_KeyDigests.end() ? nullptr
                                        : &m_Keys.at(Position->second);
}

bool ControlState::isWithdrawn(const base::KeyId &Key) const {
  auto Position = m_Keys.find(Key.str());
  return Position != m_Keys.end() && Position->second.withdrawn();
}

base::DataCentreId
ControlState::servedBy(const base::DataCentreId &Home) const {
  auto Position = m_Homes.find(Home.str());
  return Position == m_Homes.end()
             ? Home
             : base::DataCentreId(Position->second.served_by());
}

std::uint64_t ControlState::homeEpoch(const base::DataCentreId &Home) const {
  auto Position = m_Homes.find(Home.str());
  return Position == m_Homes.end() ? 0 : Position->second.epoch();
}

messages::ControlSnapshot ControlState::snapshot() const {
  messages::ControlSnapshot Snapshot;
  Snapshot.set_applied_index(m_AppliedIndex);
  Snapshot.set_digest(base::toBytes(m_Digest));
  *Snapshot.mutable_configuration() = m_Configuration;
  Snapshot.set_configuration_index(m_ConfigurationIndex);
  for (const auto &[KeyId, Key] : m_Keys)
    *Snapshot.add_keys() = Key;
  for (const auto &[Name, Home] : m_Homes)
    *Snapshot.add_homes() = Home;
  for (const auto &[Endpoint, Number] : m_FencingNumbers) {
    messages::FencingNumber &FencingNumber = *Snapshot.add_fencing_numbers();
    FencingNumber.set_endpoint(Endpoint);
    FencingNumber.set_number(Number);
  }
  for (const std::string &RequestId : m_RequestOrder)
    *Snapshot.add_requests() = m_Requests.at(RequestId);
  return Snapshot;
}

void ControlState::restore(const messages::ControlSnapshot &Snapshot) {
  ControlState Restored;
  Restored.m_AppliedIndex = Snapshot.applied_index();
  Restored.m_Digest = digestFromBytes(Snapshot.digest(), "digest");
  Restored.setConfiguration(Snapshot.configuration(),
                            Snapshot.configuration_index());
  for (const messages::Key &Key : Snapshot.keys()) {
    Restored.m_Keys[Key.key_id()] = Key;
    // A key identifier that was withdrawn before its key was issued has no
    // digest.
    if (!Key.digest().empty())
      Restored.m_KeyDigests[digestFromBytes(Key.digest(), "keys.digest")] =
          Key.key_id();
  }
  for (const messages::Home &Home : Snapshot.homes())
    Restored.m_Homes[Home.data_centre()] = Home;
  for (const messages::FencingNumber &FencingNumber :
       Snapshot.fencing_numbers())
    Restored.m_FencingNumbers[FencingNumber.endpoint()] =
        FencingNumber.number();
  for (const messages::AppliedRequest &Request : Snapshot.requests())
    Restored.retainResult(Request.request_id(), Request.command_digest(),
                          Request.result());
  *this = std::move(Restored);
}

} // namespace psp::control
