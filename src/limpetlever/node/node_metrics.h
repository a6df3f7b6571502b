#ifndef LIMPETLEVER_NODE_NODE_METRICS_H_
#define LIMPETLEVER_NODE_NODE_METRICS_H_

#include <memory>
#include <string>

#include "base/time_types.h"
#include "query/send_reason.h"

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
template <typename T>
class Family;
}  // namespace prometheus

namespace limpetlever {

/** Prometheus metrics of a limpetlever-node process; docs/metrics.md lists them. */
class node_metrics {
 public:
  node_metrics();
  ~node_metrics();

  /**
   * Counts an answer of a route with priority `priority` (0 is the most urgent), with HTTP status
   * `status`, sent `elapsed` after its request arrived; `missing_shards` is the number of shards
   * that the answer lacks.
   */
  void OnAnswered(int status, int priority, duration elapsed, int missing_shards);
  /** Counts a caller that disconnected before the answer. */
  void OnCallerDisconnected();
  void OnAttemptSent(send_reason reason);
  void OnAttemptFailed();
  /** Counts `count` hedges or retries that the retry budget did not allow. */
  void OnRetryBudgetExhausted(int count);
  void OnConnectionOpened();
  void OnHealthCheck();
  /** Counts an entry of the store that cannot be read. */
  void OnEntryRefused();
  /** Counts an exception that ended the handling of one event. */
  void OnUnexpectedError();
  void SetStoreReachable(bool is_reachable);
  /**
   * The era of the store, the revision up to which this host knows all changes, and the time since
   * its source of changes, the store or a host that relays it, has last answered.
   */
  void SetStoreProgress(double era, double revision, duration answer_age);
  void SetConfigVersion(double version);
  /**
   * What the incomplete answers of backend servers take, and how many were given up since the start
   * because that was too much.
   */
  void SetAnswerMemory(double bytes, double given_up);
  /** What callers' connections hold, and how many connections were given up since the start. */
  void SetCallerMemory(double bytes, double given_up);
  /** Number of backend servers known to this host. */
  void SetBackendServerCount(double count);
  /** Backend servers to which requests are limited since they are, or may be, cold. */
  void SetColdServerCount(double count);
  void SetLiveHostCount(double count);
  /** Hosts in use that have shown no sign of life lately, although they count as alive. */
  void SetSilentHostCount(double count);
  /** Total since the start of the process. */
  void SetDroppedLogLines(double count);
  /** Calls of one kind to the platform's store since the start of the process. */
  void SetStoreCalls(const std::string& kind, double count);
  /** Answers to hosts that follow this one, and the bytes of their bodies, since the start. */
  void SetRelayed(double answers, double bytes);

  /** All metrics in the Prometheus text format. */
  std::string FormatPrometheusText() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Histogram>& answer_seconds_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Counter& partial_answers_;
  prometheus::Counter& callers_disconnected_;
  prometheus::Counter& attempts_failed_;
  prometheus::Counter& retry_budget_exhausted_;
  prometheus::Counter& health_checks_;
  prometheus::Counter& connections_opened_;
  prometheus::Counter& entries_refused_;
  prometheus::Counter& unexpected_errors_;
  prometheus::Gauge& store_reachable_;
  prometheus::Gauge& store_era_;
  prometheus::Gauge& store_revision_;
  prometheus::Gauge& source_answer_age_;
  prometheus::Gauge& config_version_;
  prometheus::Gauge& answer_bytes_;
  prometheus::Gauge& answers_given_up_;
  prometheus::Gauge& caller_bytes_;
  prometheus::Gauge& connections_given_up_;
  prometheus::Gauge& backend_servers_;
  prometheus::Gauge& cold_servers_;
  prometheus::Gauge& hosts_alive_;
  prometheus::Gauge& silent_hosts_;
  prometheus::Gauge& log_lines_dropped_;
  prometheus::Family<prometheus::Gauge>& store_calls_;
  prometheus::Gauge& relay_answers_;
  prometheus::Gauge& relay_bytes_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_NODE_METRICS_H_
