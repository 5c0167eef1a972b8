/// \file
/// One call of a program that this instance owns, from its arrival until its
/// answer is recorded.

#ifndef PSP_ENTRY_OWNEDCALL_H
#define PSP_ENTRY_OWNEDCALL_H

#include "base/Ids.h"
#include "base/Time.h"
#include "entry/EventStream.h"
#include "generated/control.pb.h"
#include "generated/peer.pb.h"
#include "messages/EndpointMessages.h"
#include "schedule/Scheduler.h"

#include <cstdint>
#include <string>

namespace psp::entry {

/// The progress of a call.
enum class CallStage {
  Preparing, ///< Its start is being recorded.
  Queued,    ///< It waits for an endpoint.
  Claiming,  ///< Its claim is being recorded; for calls that run once.
  Running,   ///< It was sent to an endpoint.
  Recording, ///< Its end is being recorded.
};

struct OwnedCall {
  std::uint64_t m_Number = 0;
  base::InstanceId m_Source;      ///< The caller's instance.
  std::uint64_t m_SourceCall = 0; ///< Its number for the call.
  messages::ForwardCall m_Message;
  messages::Service::Kind m_Kind = messages::Service::MODEL;
  bool m_Repeatable = true;
  base::TimePoint m_Deadline;
  CallStage m_Stage = CallStage::Preparing;

  std::string m_Body; ///< What is sent to the endpoint.
  schedule::Dispatch m_Dispatch;
  messages::ExchangeNumber m_Exchange = 0;
  unsigned m_Status = 0;
  std::string m_ContentType;
  bool m_QueryingOutcome = false; ///< The exchange queries the call's outcome.
  EventStream m_Events;
  std::string m_Answer;     ///< Bytes that came from the endpoint.
  std::uint64_t m_Sent = 0; ///< Bytes passed on to the caller's instance.

  bool isModelCall() const { return m_Kind == messages::Service::MODEL; }
};

/// The class in which \p Kind of service is queued.
schedule::CallClass classOf(messages::Service::Kind Kind);

/// The HTTP request that runs \p Call at the endpoint it was dispatched to. It
/// is built from data that doesn't contain the caller's key.
messages::StartExchange makeExchange(const OwnedCall &Call,
                                     std::uint64_t FencingNumber);

/// The HTTP request that queries the outcome of \p Call from the worker.
messages::StartExchange makeOutcomeQuery(const OwnedCall &Call);

/// The call's identifier at endpoints, the same for every attempt.
std::string callIdentifier(const messages::CallRequest &Call);

} // namespace psp::entry

#endif
