#include "server/host_metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>

namespace limpetlever {

namespace {

// In seconds. The buckets are narrow around the users' latency target of 170 ms and around the few
// milliseconds that a healthy query takes.
prometheus::Histogram::BucketBoundaries LatencyBuckets() {
  return {0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.06, 0.08,
          0.1,   0.13,  0.17,  0.25, 0.5,  1.0,  2.5,  10.0};
}

prometheus::Histogram::BucketBoundaries CoverageBuckets() {
  return {0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999};
}

prometheus::Family<prometheus::Histogram>& Histogram(prometheus::Registry& registry,
                                                     const std::string& name,
                                                     const std::string& help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Counter>& Counter(prometheus::Registry& registry,
                                                 const std::string& name,
                                                 const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge>& Gauge(prometheus::Registry& registry,
                                             const std::string& name,
                                             const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

}  // namespace

host_metrics::host_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      query_seconds_(Histogram(*registry_,
                               "limpetlever_query_seconds",
                               "Time from receipt of a query to its answer")),
      query_coverage_(Histogram(*registry_,
                                "limpetlever_query_coverage_ratio",
                                "Share of the shards that answered")),
      queries_(Counter(*registry_, "limpetlever_queries_total", "Queries by verdict")),
      attempts_(Counter(*registry_,
                        "limpetlever_attempts_total",
                        "Attempts that this host sent as coordinator, by kind")),
      submissions_(Counter(*registry_, "limpetlever_submissions_total", "Submissions by verdict")),
      attempts_started_(Counter(*registry_,
                                "limpetlever_attempts_started_total",
                                "Attempts that this host started on backend servers it owns")),
      attempts_refused_(Counter(*registry_,
                                "limpetlever_attempts_refused_total",
                                "Attempts that this host refused as owner, by reason")),
      replica_limit_(Gauge(*registry_,
                           "limpetlever_replica_limit",
                           "Sum of the concurrency limits of the backend servers it owns")),
      host_state_(Gauge(*registry_, "limpetlever_host_state", "What this host knows and may do")),
      store_calls_(Gauge(*registry_,
                         "limpetlever_store_calls",
                         "Calls to the key-value service since the start")),
      late_answers_(Counter(*registry_,
                            "limpetlever_late_answers_total",
                            "Results that matched no open attempt and were dropped")
                        .Add({})),
      bad_inputs_(
          Counter(*registry_, "limpetlever_bad_inputs_total", "Requests refused as malformed")
              .Add({})),
      gossip_bytes_(
          Counter(*registry_, "limpetlever_gossip_bytes_total", "Bytes of gossip received")
              .Add({})) {}

std::string host_metrics::BoundLabel(std::set<std::string>& known_values,
                                     const std::string& value) {
  const std::lock_guard lock(mutex_);
  if (known_values.contains(value)) {
    return value;
  }
  if (known_values.size() >= kMaxLabelValues) {
    return "other";
  }
  known_values.insert(value);
  return value;
}

void host_metrics::OnQuery(const std::string& workload, const query_answer& answer) {
  const std::string label = BoundLabel(workloads_, workload);
  query_seconds_.Add({{"workload", label}}, LatencyBuckets())
      .Observe(static_cast<double>(answer.elapsed.count()) / 1e6);
  if (answer.shard_count > 0) {
    query_coverage_.Add({{"workload", label}}, CoverageBuckets())
        .Observe(static_cast<double>(answer.answers.size()) / answer.shard_count);
  }
  queries_.Add({{"workload", label}, {"verdict", ToString(answer.outcome.state)}}).Increment();
  const int first_attempts = std::max(0, answer.attempts - answer.hedges - answer.retries);
  attempts_.Add({{"workload", label}, {"kind", "first"}}).Increment(first_attempts);
  attempts_.Add({{"workload", label}, {"kind", "hedge"}}).Increment(answer.hedges);
  attempts_.Add({{"workload", label}, {"kind", "retry"}}).Increment(answer.retries);
}

void host_metrics::OnSubmission(const std::string& workload, run_state state) {
  submissions_.Add({{"workload", BoundLabel(workloads_, workload)}, {"verdict", ToString(state)}})
      .Increment();
}

void host_metrics::OnAttemptStarted(const std::string& service, const std::string& data_centre) {
  attempts_started_
      .Add({{"service", BoundLabel(services_, service)},
            {"data_centre", BoundLabel(data_centres_, data_centre)}})
      .Increment();
}

void host_metrics::OnAttemptRefused(const std::string& service, const std::string& reason) {
  attempts_refused_.Add({{"service", BoundLabel(services_, service)}, {"reason", reason}})
      .Increment();
}

void host_metrics::OnLateAnswer() {
  late_answers_.Increment();
}

void host_metrics::OnBadInput() {
  bad_inputs_.Increment();
}

void host_metrics::SetReplicaLimit(const std::string& service,
                                   const std::string& data_centre,
                                   double limit) {
  replica_limit_
      .Add({{"service", BoundLabel(services_, service)},
            {"data_centre", BoundLabel(data_centres_, data_centre)}})
      .Set(limit);
}

void host_metrics::SetHostState(double table_version,
                                double view_epoch,
                                double members,
                                bool may_dispatch) {
  host_state_.Add({{"what", "table_version"}}).Set(table_version);
  host_state_.Add({{"what", "view_epoch"}}).Set(view_epoch);
  host_state_.Add({{"what", "members"}}).Set(members);
  host_state_.Add({{"what", "may_dispatch"}}).Set(may_dispatch ? 1.0 : 0.0);
}

void host_metrics::SetStoreCalls(double reads, double writes) {
  store_calls_.Add({{"kind", "read"}}).Set(reads);
  store_calls_.Add({{"kind", "write"}}).Set(writes);
}

void host_metrics::OnGossip(const std::vector<peer::GossipEntry>& entries) {
  std::size_t bytes = 0;
  for (const peer::GossipEntry& entry : entries) {
    bytes += entry.key.size() + entry.value.size() + 2 * sizeof(std::int64_t);
  }
  gossip_bytes_.Increment(static_cast<double>(bytes));
}

std::string host_metrics::FormatPrometheusText() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace limpetlever
