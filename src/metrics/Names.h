/// \file
/// The metrics that the fleet report reads, and their labels.

#ifndef PSP_METRICS_NAMES_H
#define PSP_METRICS_NAMES_H

#include "metrics/Registry.h"

namespace psp::metrics::names {

// Labels.
inline const std::string OrganisationLabel = "organisation";
inline const std::string KindLabel = "kind";
inline const std::string ServiceLabel = "service";
inline const std::string RouteLabel = "route";
inline const std::string PriorityLabel = "priority";
inline const std::string OutcomeLabel = "outcome";
inline const std::string ReasonLabel = "reason";
inline const std::string DirectionLabel = "direction";

/// Labels: organisation. From a program's first call to its end.
inline const MetricName ProgramLatency = {
    "psp_program_latency_seconds", "Time from a program's creation to its end"};
/// Labels: organisation, service.
inline const MetricName CallLatency = {
    "psp_call_latency_seconds",
    "Time from a caller's request to the end of its answer"};
/// Labels: organisation, service.
inline const MetricName QueueTime = {
    "psp_queue_seconds", "Time that a call waited here for an endpoint"};
/// Labels: organisation, kind (an error kind).
inline const MetricName Refusals = {"psp_refusals_total",
                                    "Calls answered with an error, by kind"};
/// Labels: organisation.
inline const MetricName RefusalsInsideRate = {
    "psp_refusals_inside_rate_total",
    "Calls refused for their rate although the fleet had tokens left"};
/// Labels: organisation.
inline const MetricName Calls = {"psp_calls_total", "Calls that were accepted"};
/// Labels: organisation.
inline const MetricName PromptTokens = {
    "psp_prompt_tokens_total", "Prompt tokens of the calls sent to endpoints"};
/// Labels: organisation.
inline const MetricName RecomputedTokens = {
    "psp_recomputed_tokens_total",
    "Prompt tokens that an endpoint had to process again"};

// Deployments whose nodes find each other.

inline const MetricName CallsEnded{"psp_calls_total",
                                   "Calls of callers that ended, by outcome"};
inline const MetricName BeginLatency{
    "psp_turn_begin_seconds",
    "Time until the leader of history let a turn begin"};
inline const MetricName FirstByteLatency{"psp_endpoint_first_byte_seconds",
                                         "From a send to the answer's head"};
inline const MetricName SecondTries{
    "psp_second_tries_total",
    "Second tries of slow calls by outcome: sent, won, lost or held back"};
inline const MetricName TurnsBegun{"psp_turns_begun_total",
                                   "Turns that the leader let begin"};
inline const MetricName ChainPartsRead{"psp_chain_parts_read_total",
                                       "Parts of long chains read for turns."};
inline const MetricName LongMessages{
    "psp_link_long_messages_total",
    "Messages that were not sent because they exceed the limit."};
inline const MetricName TurnsTurnedAway{"psp_turns_turned_away_total",
                                        "Turns refused since engines are full"};
/// Labels: engine_at.
inline const MetricName TurnsPlaced{
    "psp_turns_placed_total",
    "Turns that got an engine: in their caller's data centre (same), in "
    "another one (other), or of a caller that names none (unknown)"};
/// Labels: route, priority, outcome (asked, waited, or the error kind of a
/// refusal).
inline const MetricName CallsByClass{
    "psp_calls_by_class_total",
    "Calls that asked, waited for a token or a slot, or were refused"};
/// Labels: organisation, outcome as above.
inline const MetricName CallsByOrganisation{
    "psp_calls_by_organisation_total",
    "Calls that asked, waited for a token or a slot, or were refused"};
/// Labels: route, priority, outcome (granted, waited, refused). At the node
/// that grants the slots of a service.
inline const MetricName SlotsByClass{
    "psp_slots_by_class_total",
    "Turns that got a slot, got it after a wait, or were refused"};
/// Labels: organisation, outcome (ended, refused_last).
inline const MetricName ProgramsLimited{
    "psp_limited_programs_total",
    "Programs whose tokens the control leader granted and that take no more"};
inline const MetricName TurnsKept{"psp_turns_kept",
                                  "Turns that later turns may continue from"};
inline const MetricName Announcements{"psp_announcements_total",
                                      "Announcements of endpoints taken"};
/// Labels: reason.
inline const MetricName RepliesDropped{
    "psp_replies_dropped_total",
    "Replies of other nodes or to them that no request waited for"};
/// Labels: purpose, from, to (data centres).
inline const MetricName LinkBytesSent{
    "psp_link_bytes_sent_total",
    "Bytes sent to other nodes, by purpose and data centres"};
/// Labels: outcome.
inline const MetricName StreamsTakenUp{
    "psp_streams_taken_up_total",
    "Calls that take up a stream: went_on, unknown, no_endpoint"};
inline const MetricName RequestsHeld{
    "psp_requests_held", "Requests kept from endpoints, known here"};
inline const MetricName EndpointCrashes{
    "psp_endpoint_crashes_total",
    "Crashes of endpoints that count against a request"};
inline const MetricName EvacuatedDataCentres{
    "psp_evacuated_data_centres",
    "Data centres whose endpoints get nothing new, known here"};
/// Labels: outcome.
inline const MetricName ColdRequests{
    "psp_cold_requests_total",
    "Calls for cold endpoints: granted, own_part, withheld"};
/// Labels: direction (request, answer).
inline const MetricName CallBytesHeld{"psp_call_bytes_held",
                                      "Bytes held for calls, by direction"};
inline const MetricName CallBytesLimit{"psp_call_bytes_limit",
                                       "Bytes that may be held for calls"};
inline const MetricName BodiesWaiting{"psp_bodies_waiting",
                                      "Requests whose bodies wait for memory"};
/// Labels: reason (no_room, too_large, slow_body).
inline const MetricName BodiesRefused{
    "psp_bodies_refused_total",
    "Requests refused for the memory that their bodies need"};
/// Labels: side (caller, endpoint).
inline const MetricName SlowTransfersEnded{
    "psp_slow_transfers_ended_total",
    "Answers and requests that the other side took too slowly"};
inline const MetricName ConfigurationVersion{"psp_configuration_version",
                                             "Version in force here"};

} // namespace psp::metrics::names

#endif
