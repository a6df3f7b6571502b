#ifndef LIMPETLEVER_SERVER_HOST_METRICS_H_
#define LIMPETLEVER_SERVER_HOST_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/verdict.h"
#include "peer_types.h"
#include "routing/query_answer.h"

namespace limpetlever {

/**
 * Metrics of one host for GET /metrics; names and units are in docs/metrics.md. Label values come
 * only from the table, and each label has at most `kMaxLabelValues` values; further ones are
 * counted as "other". Safe for use by several threads.
 */
class host_metrics {
 public:
  static constexpr std::size_t kMaxLabelValues = 200;

  host_metrics();

  void OnQuery(const std::string& workload, const query_answer& answer);
  void OnSubmission(const std::string& workload, run_state state);
  /** An attempt that this host, as owner, started on a backend server. */
  void OnAttemptStarted(const std::string& service, const std::string& data_centre);
  /** An attempt that this host, as owner, refused. */
  void OnAttemptRefused(const std::string& service, const std::string& reason);
  /** A result that matched no open attempt and was dropped. */
  void OnLateAnswer();
  void OnBadInput();
  void SetReplicaLimit(const std::string& service, const std::string& data_centre, double limit);
  void SetHostState(double table_version, double view_epoch, double members, bool may_dispatch);
  void SetStoreCalls(double reads, double writes);
  /** Counts the bytes of keys, values, incarnations and versions, without the framing. */
  void OnGossip(const std::vector<peer::GossipEntry>& entries);

  /** All metrics in the Prometheus text format. */
  std::string FormatPrometheusText() const;

 private:
  /** `value`, or "other" if it is new and the label already has kMaxLabelValues values. */
  std::string BoundLabel(std::set<std::string>& known_values, const std::string& value);

  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>& query_seconds_;
  prometheus::Family<prometheus::Histogram>& query_coverage_;
  prometheus::Family<prometheus::Counter>& queries_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Family<prometheus::Counter>& submissions_;
  prometheus::Family<prometheus::Counter>& attempts_started_;
  prometheus::Family<prometheus::Counter>& attempts_refused_;
  prometheus::Family<prometheus::Gauge>& replica_limit_;
  prometheus::Family<prometheus::Gauge>& host_state_;
  prometheus::Family<prometheus::Gauge>& store_calls_;
  prometheus::Counter& late_answers_;
  prometheus::Counter& bad_inputs_;
  prometheus::Counter& gossip_bytes_;
  std::mutex mutex_;
  std::set<std::string> workloads_;
  std::set<std::string> services_;
  std::set<std::string> data_centres_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_HOST_METRICS_H_
