#include "node/node_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace limpetlever {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

// Seconds; finest around the users' latency targets of 40 to 600 ms.
const prometheus::Histogram::BucketBoundaries latency_buckets = {
    0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.0, 4.0};

prometheus::Counter& AddCounter(prometheus::Registry& registry,
                                const std::string& name,
                                const std::string& help) {
  return BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge& AddGauge(prometheus::Registry& registry,
                            const std::string& name,
                            const std::string& help) {
  return BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace

node_metrics::node_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      answers_(BuildCounter()
                   .Name("limpetlever_answers_total")
                   .Help("Answers to callers by status")
                   .Register(*registry_)),
      answer_seconds_(BuildHistogram()
                          .Name("limpetlever_answer_seconds")
                          .Help("Time from the request to the answer by priority")
                          .Register(*registry_)),
      attempts_(BuildCounter()
                    .Name("limpetlever_attempts_total")
                    .Help("Requests sent to backend servers by reason")
                    .Register(*registry_)),
      partial_answers_(
          AddCounter(*registry_, "limpetlever_partial_answers_total", "Answers that lack shards")),
      callers_disconnected_(AddCounter(*registry_,
                                       "limpetlever_callers_left_total",
                                       "Callers that left before the answer")),
      attempts_failed_(AddCounter(*registry_,
                                  "limpetlever_attempts_failed_total",
                                  "Attempts without an answer that counts")),
      retry_budget_exhausted_(AddCounter(*registry_,
                                         "limpetlever_retry_budget_empty_total",
                                         "Hedges and retries that the budget did not allow")),
      health_checks_(AddCounter(*registry_,
                                "limpetlever_health_checks_total",
                                "Health checks sent to backend servers")),
      connections_opened_(AddCounter(*registry_,
                                     "limpetlever_connections_opened_total",
                                     "Connections opened to backend servers")),
      entries_refused_(AddCounter(*registry_,
                                  "limpetlever_store_entries_refused_total",
                                  "Entries of the store that cannot be read")),
      unexpected_errors_(AddCounter(*registry_,
                                    "limpetlever_unexpected_errors_total",
                                    "Events whose handling ended with an exception")),
      store_reachable_(
          AddGauge(*registry_, "limpetlever_store_reachable", "1 while the store answers")),
      store_era_(AddGauge(*registry_,
                          "limpetlever_store_era",
                          "Era of the store, which rises when it comes back from a copy")),
      store_revision_(AddGauge(*registry_,
                               "limpetlever_store_revision",
                               "Revision of the store up to which all changes are known")),
      source_answer_age_(AddGauge(*registry_,
                                  "limpetlever_source_answer_age_seconds",
                                  "Time since the source of changes has last answered")),
      config_version_(AddGauge(*registry_,
                               "limpetlever_config_version",
                               "Version of the configuration in force")),
      answer_bytes_(AddGauge(*registry_,
                             "limpetlever_incomplete_answer_bytes",
                             "Memory of answers of backend servers that are not complete yet")),
      answers_given_up_(AddGauge(*registry_,
                                 "limpetlever_answers_given_up",
                                 "Incomplete answers given up for want of memory since the start")),
      caller_bytes_(AddGauge(*registry_,
                             "limpetlever_caller_bytes",
                             "Memory of requests and unread answers of callers' connections")),
      connections_given_up_(
          AddGauge(*registry_,
                   "limpetlever_connections_given_up",
                   "Connections given up for want of memory or connections since the start")),
      backend_servers_(
          AddGauge(*registry_, "limpetlever_backend_servers", "Known backend servers")),
      cold_servers_(AddGauge(*registry_,
                             "limpetlever_cold_servers",
                             "Backend servers whose requests are limited since they are cold")),
      hosts_alive_(AddGauge(*registry_, "limpetlever_hosts_alive", "Hosts believed to be alive")),
      silent_hosts_(
          AddGauge(*registry_,
                   "limpetlever_silent_hosts",
                   "Hosts in use that show no sign of life although they count as alive")),
      log_lines_dropped_(AddGauge(*registry_,
                                  "limpetlever_log_lines_dropped",
                                  "Log lines dropped since the start")),
      store_calls_(BuildGauge()
                       .Name("limpetlever_store_calls")
                       .Help("Calls to the platform's store by kind since the start")
                       .Register(*registry_)),
      relay_answers_(AddGauge(*registry_,
                              "limpetlever_relay_answers",
                              "Answers to hosts that follow this one since the start")),
      relay_bytes_(AddGauge(*registry_,
                            "limpetlever_relay_bytes",
                            "Bytes of the answers to hosts that follow this one")) {}

node_metrics::~node_metrics() = default;

void node_metrics::OnAnswered(int status, int priority, duration elapsed, int missing_shards) {
  answers_.Add({{"status", std::to_string(status)}}).Increment();
  answer_seconds_.Add({{"priority", std::to_string(priority)}}, latency_buckets)
      .Observe(std::chrono::duration<double>(elapsed).count());
  if (missing_shards > 0) {
    partial_answers_.Increment();
  }
}

void node_metrics::OnCallerDisconnected() {
  callers_disconnected_.Increment();
}

void node_metrics::OnAttemptSent(send_reason reason) {
  attempts_.Add({{"reason", ToString(reason)}}).Increment();
}

void node_metrics::OnAttemptFailed() {
  attempts_failed_.Increment();
}

void node_metrics::OnRetryBudgetExhausted(int count) {
  retry_budget_exhausted_.Increment(count);
}

void node_metrics::OnHealthCheck() {
  health_checks_.Increment();
}

void node_metrics::OnConnectionOpened() {
  connections_opened_.Increment();
}

void node_metrics::OnEntryRefused() {
  entries_refused_.Increment();
}

void node_metrics::OnUnexpectedError() {
  unexpected_errors_.Increment();
}

void node_metrics::SetStoreReachable(bool is_reachable) {
  store_reachable_.Set(is_reachable ? 1.0 : 0.0);
}

void node_metrics::SetStoreProgress(double era, double revision, duration answer_age) {
  store_era_.Set(era);
  store_revision_.Set(revision);
  source_answer_age_.Set(std::chrono::duration<double>(answer_age).count());
}

void node_metrics::SetConfigVersion(double version) {
  config_version_.Set(version);
}

void node_metrics::SetAnswerMemory(double bytes, double given_up) {
  answer_bytes_.Set(bytes);
  answers_given_up_.Set(given_up);
}

void node_metrics::SetCallerMemory(double bytes, double given_up) {
  caller_bytes_.Set(bytes);
  connections_given_up_.Set(given_up);
}

void node_metrics::SetBackendServerCount(double count) {
  backend_servers_.Set(count);
}

void node_metrics::SetColdServerCount(double count) {
  cold_servers_.Set(count);
}

void node_metrics::SetLiveHostCount(double count) {
  hosts_alive_.Set(count);
}

void node_metrics::SetSilentHostCount(double count) {
  silent_hosts_.Set(count);
}

void node_metrics::SetDroppedLogLines(double count) {
  log_lines_dropped_.Set(count);
}

void node_metrics::SetStoreCalls(const std::string& kind, double count) {
  store_calls_.Add({{"kind", kind}}).Set(count);
}

void node_metrics::SetRelayed(double answers, double bytes) {
  relay_answers_.Set(answers);
  relay_bytes_.Set(bytes);
}

std::string node_metrics::FormatPrometheusText() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace limpetlever
