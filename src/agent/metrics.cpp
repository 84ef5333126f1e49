#include "metrics.h"

namespace rhubarbarch::agent {

Metrics
metricsOf(const State& aState)
{
  const auto& table = aState.table;
  const auto& counters = aState.counters;
  const auto value = [](auto aNumber) { return static_cast<double>(aNumber); };
  Metrics metrics{
    { "rhubarbarch_agent_accepted_total", {}, value(counters.accepted) },
    { "rhubarbarch_agent_duplicates_total", {}, value(counters.duplicates) },
    { "rhubarbarch_agent_tombstones_total", {}, value(counters.tombstoned) },
    { "rhubarbarch_agent_pauses_total", {}, value(counters.pauses) },
    { "rhubarbarch_agent_suspended_total", {}, value(counters.suspended) },
    { "rhubarbarch_agent_resumed_total", {}, value(counters.resumed) },
    { "rhubarbarch_agent_attached_total", {}, value(counters.attached) },
    { "rhubarbarch_agent_missing_usage_total", {}, value(counters.missingUsage) },
    { "rhubarbarch_agent_charged_tokens_total", {}, value(counters.chargedTokens) },
    { "rhubarbarch_agent_queue_length", {}, value(table.queue.size()) },
    { "rhubarbarch_agent_runs", {}, value(table.active.size()) },
    { "rhubarbarch_agent_unsettled_runs", {}, value(table.unsettled.size()) },
    { "rhubarbarch_agent_tombstones", {}, value(table.tombstones.size()) },
    { "rhubarbarch_agent_reserved_kv_bytes", {}, value(table.reservedKvBytes) },
    { "rhubarbarch_agent_kept_answer_bytes", {}, value(table.bufferedBytes) },
    { "rhubarbarch_agent_fenced_sessions", {}, value(aState.sessions.fenced.size()) },
  };
  for (const auto& [reason, count] : counters.refused) {
    metrics.push_back({ "rhubarbarch_agent_refused_total", "reason=\"" + reason + "\"", value(count) });
  }
  for (const auto& [outcome, count] : counters.finished) {
    metrics.push_back({ "rhubarbarch_agent_finished_total", "outcome=\"" + outcome + "\"", value(count) });
  }
  return metrics;
}

} // namespace rhubarbarch::agent
