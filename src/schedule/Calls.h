/// \file
/// The scheduler's input and output types.

#ifndef PSP_SCHEDULE_CALLS_H
#define PSP_SCHEDULE_CALLS_H

#include "base/ErrorKind.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <string>

namespace psp::schedule {

/// Chosen by the scheduler's caller. Unique among the calls that the scheduler
/// holds.
using CallNumber = std::uint64_t;

enum class CallClass { Alarm, Order, Normal };

/// A call that waits for a slot at an endpoint.
struct WaitingCall {
  CallNumber m_Call = 0;
  base::ProgramId m_Program{};
  base::OrganisationId m_Organisation{};
  std::string m_Service{};
  CallClass m_Class = CallClass::Normal;
  std::uint64_t m_PromptTokens = 0; ///< Including the conversation's history.
  std::uint64_t m_MaxTokens = 0;    ///< Upper bound of the answer's tokens.
  bool m_Repeatable = true;
  base::TimePoint m_Deadline{};

  bool operator==(const WaitingCall &) const = default;
};

/// A call to be sent now. It occupies a slot until Scheduler::finished().
struct Dispatch {
  CallNumber m_Call = 0;
  base::EndpointId m_Endpoint;
  std::string m_Address;
  bool m_ChecksFencing = false;

  bool operator==(const Dispatch &) const = default;
};

/// A call that was refused before it was sent, with the kind Overloaded,
/// NoEndpoint or DeadlineExceeded.
struct Refusal {
  CallNumber m_Call = 0;
  base::ErrorKind m_Kind = base::ErrorKind::Overloaded;
  base::Duration m_RetryAfter{};

  bool operator==(const Refusal &) const = default;
};

/// Requests an endpoint to free the memory that it holds for an ended program.
struct Release {
  base::ProgramId m_Program{};
  base::EndpointId m_Endpoint;
  std::string m_Address;

  bool operator==(const Release &) const = default;
};

/// How a sent call ended.
enum class CallResult { Succeeded, Failed, Refused, TimedOut, Cancelled };

/// Work, in the unit of fair queueing: the cost of one answer token.
using Work = double;

/// Many prompt tokens are computed at a time, so one costs less than an answer
/// token.
inline constexpr Work WorkPerPromptToken = 1.0 / 16.0;

/// Fixed work of every call, whatever its tokens. Calls to plain services have
/// no tokens.
inline constexpr Work WorkPerCall = 1.0;

} // namespace psp::schedule

#endif
