/// \file
/// The values that go into the scheduler and come out of it.

#ifndef PSP_SCHEDULE_CALLS_H
#define PSP_SCHEDULE_CALLS_H

#include "base/ErrorKind.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <string>

namespace psp::schedule {

/// Chosen by the caller of the scheduler; unique while the call is known.
using CallNumber = std::uint64_t;

enum class CallClass { Alarm, Order, Normal };

/// A call that waits for a slot at an endpoint.
struct WaitingCall {
  CallNumber m_Call = 0;
  base::ProgramId m_Program{};
  base::OrganisationId m_Organisation{};
  std::string m_Service{};
  CallClass m_Class = CallClass::Normal;
  std::uint64_t m_PromptTokens = 0; ///< The whole history included.
  std::uint64_t m_MaxTokens = 0;    ///< Upper bound of the answer's tokens.
  bool m_Repeatable = true;
  base::TimePoint m_Deadline{};

  bool operator==(const WaitingCall &) const = default;
};

/// A call that is to be sent now. Its slot is taken until finished().
struct Dispatch {
  CallNumber m_Call = 0;
  base::EndpointId m_Endpoint;
  std::string m_Address;
  bool m_ChecksFencing = false;

  bool operator==(const Dispatch &) const = default;
};

/// A call that was given up before it was sent: Overloaded, NoEndpoint or
/// DeadlineExceeded.
struct Refusal {
  CallNumber m_Call = 0;
  base::ErrorKind m_Kind = base::ErrorKind::Overloaded;
  base::Duration m_RetryAfter{};

  bool operator==(const Refusal &) const = default;
};

/// An endpoint is to forget what it holds for a program that has ended.
struct Release {
  base::ProgramId m_Program{};
  base::EndpointId m_Endpoint;
  std::string m_Address;

  bool operator==(const Release &) const = default;
};

/// How a call that was sent has ended.
enum class CallResult { Succeeded, Failed, Refused, TimedOut, Cancelled };

/// Work in the unit that fairness counts in: one token of an answer.
using Work = double;

/// Prompt tokens are computed many at a time, so one costs less than a token
/// of the answer.
inline constexpr Work WorkPerPromptToken = 1.0 / 16.0;

/// Work that every call costs, whatever its tokens; plain services have none.
inline constexpr Work WorkPerCall = 1.0;

} // namespace psp::schedule

#endif
