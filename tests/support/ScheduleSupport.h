/// \file
/// Helpers that create endpoint announcements and calls for the scheduler's
/// tests.

#ifndef PSP_TESTS_SUPPORT_SCHEDULESUPPORT_H
#define PSP_TESTS_SUPPORT_SCHEDULESUPPORT_H

#include "schedule/Scheduler.h"

#include <string>
#include <vector>

namespace psp::schedule::support {

inline base::TimePoint at(double Seconds) {
  return base::TimePoint(
      base::seconds(1000) +
      base::Duration(static_cast<std::int64_t>(Seconds * 1e6)));
}

inline messages::EndpointState endpoint(const std::string &Name,
                                        std::uint64_t Sequence = 1,
                                        const std::string &DataCentre = "a") {
  messages::EndpointState State;
  State.set_endpoint(Name);
  State.set_data_centre(DataCentre);
  State.set_address("127.0.0.1:1");
  State.add_services("chat");
  State.set_incarnation(1);
  State.set_sequence(Sequence);
  State.set_remaining_ms(3000);
  State.set_slots(4);
  return State;
}

inline messages::EndpointState leavingEndpoint(const std::string &Name,
                                               std::uint64_t Sequence) {
  messages::EndpointState State = endpoint(Name, Sequence);
  State.set_leaving(true);
  return State;
}

inline WaitingCall call(CallNumber Number,
                        const std::string &Organisation = "o",
                        const std::string &Program = "p") {
  return {.m_Call = Number,
          .m_Program = base::ProgramId(Program),
          .m_Organisation = base::OrganisationId(Organisation),
          .m_Service = "chat",
          .m_PromptTokens = 100,
          .m_MaxTokens = 100,
          .m_Deadline = at(60)};
}

inline SchedulerOptions options() {
  return {.m_DataCentre = base::DataCentreId("a")};
}

inline std::vector<CallNumber>
numbersOf(const std::vector<Dispatch> &Dispatches) {
  std::vector<CallNumber> Result;
  Result.reserve(Dispatches.size());
  for (const Dispatch &Sent : Dispatches)
    Result.push_back(Sent.m_Call);
  return Result;
}

} // namespace psp::schedule::support

#endif
