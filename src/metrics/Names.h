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

} // namespace psp::metrics::names

#endif
