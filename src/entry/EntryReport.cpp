/// \file
/// The queries of EntryCore that describe its state: status, dump, metrics.

#include "entry/EntryCore.h"
#include "membership/PeerReport.h"

#include <nlohmann/json.hpp>

namespace psp::entry {

using nlohmann::json;

namespace {

/// Maximum number of calls that a dump lists.
constexpr std::size_t MaxListedCalls = 200;

const char *stageName(CallStage Stage) {
  switch (Stage) {
  case CallStage::Preparing:
    return "preparing";
  case CallStage::Queued:
    return "queued";
  case CallStage::Claiming:
    return "claiming";
  case CallStage::Running:
    return "running";
  case CallStage::Recording:
    return "recording";
  }
  return "";
}

json reportCalls(const OwnedCalls &Owned) {
  json Calls = json::array();
  for (const auto &[Number, Call] : Owned.calls()) {
    if (Calls.size() >= MaxListedCalls)
      break;
    const messages::CallRequest &Request = Call.m_Message.request();
    Calls.push_back({{"organisation", Call.m_Message.organisation()},
                     {"program", Request.program()},
                     {"turn", Request.turn()},
                     {"service", Request.service()},
                     {"stage", stageName(Call.m_Stage)},
                     {"endpoint", Call.m_Dispatch.m_Endpoint.str()},
                     {"answer_bytes", Call.m_Answer.size()}});
  }
  return Calls;
}

} // namespace

std::string counter(const std::string &Name, std::uint64_t Value) {
  return "# TYPE " + Name + " counter\n" + Name + " " + std::to_string(Value) +
         "\n";
}

std::string EntryCore::status(base::Now Time) const {
  const json Status = {
      {"instance", m_Self.str()},
      {"role", "entry"},
      {"data_centre", m_DataCentre.str()},
      {"ready", isReady()},
      {"stopping", m_Draining},
      {"configuration", control().configuration().number()},
      {"control_index", control().appliedIndex()},
      {"calls_of_callers", m_Edge.count()},
      {"calls_owned", m_Owned.count()},
      {"peers", membership::reportPeers(m_Members, Time.m_Monotonic)},
  };
  return Status.dump();
}

std::string EntryCore::dump(base::Now Time) const {
  json Dump = json::parse(status(Time));
  Dump["waiting_for_rate"] = m_Admissions.size();
  Dump["malformed_messages"] = m_MalformedMessages;
  Dump["owned_calls"] = reportCalls(m_Owned);
  return Dump.dump();
}

std::string EntryCore::metrics() const {
  const EdgeCounters &Edge = m_Edge.counters();
  const OwnedCounters &Owned = m_Owned.counters();
  return counter("psp_calls_started_total", Edge.m_Started) +
         counter("psp_calls_succeeded_total", Edge.m_Succeeded) +
         counter("psp_calls_failed_total", Edge.m_Failed) +
         counter("psp_calls_handed_again_total", Edge.m_ForwardedAgain) +
         counter("psp_callers_gone_total", Edge.m_CallerDisconnected) +
         counter("psp_owned_accepted_total", Owned.m_Accepted) +
         counter("psp_owned_refused_total", Owned.m_Refused) +
         counter("psp_owned_sent_total", Owned.m_Sent) +
         counter("psp_owned_retried_total", Owned.m_Retried) +
         counter("psp_owned_succeeded_total", Owned.m_Succeeded) +
         counter("psp_outcomes_unknown_total", Owned.m_OutcomeUnknown) +
         counter("psp_prompt_tokens_total", Owned.m_PromptTokens) +
         counter("psp_recomputed_tokens_total", Owned.m_RecomputedTokens);
}

std::vector<messages::EndpointState>
EntryCore::endpointStates(base::Now Time) const {
  std::vector<messages::EndpointState> States;
  for (const auto &Endpoint :
       m_Queue.endpoints().usableEndpoints(Time.m_Monotonic)) {
    messages::EndpointState State;
    State.set_endpoint(Endpoint.m_Id.str());
    State.set_data_centre(Endpoint.m_DataCentre.str());
    State.set_address(Endpoint.m_Address);
    for (const std::string &Service : Endpoint.m_Services)
      State.add_services(Service);
    State.set_slots(Endpoint.m_Slots);
    State.set_running(Endpoint.m_Running);
    State.set_waiting(Endpoint.m_Waiting);
    State.set_checks_fencing(Endpoint.m_ChecksFencing);
    State.set_remaining_ms(
        base::wholeMilliseconds(Endpoint.m_LeaseEnd - Time.m_Monotonic));
    States.push_back(std::move(State));
  }
  return States;
}

} // namespace psp::entry
