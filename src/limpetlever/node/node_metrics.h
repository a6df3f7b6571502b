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

/** Counters and histograms of a serving process; docs/metrics.md lists them. */
class node_metrics {
 public:
  node_metrics();
  ~node_metrics();

  /** A caller was answered with `status` after `elapsed`. */
  void OnAnswered(int status, int priority, duration elapsed, int missing_parts);
  void OnCallerLeft();
  void OnAttempt(send_reason reason);
  void OnAttemptFailed();
  void OnBudgetEmpty(int count);
  void OnConnectionOpened();
  void OnStoreReachable(bool is_reachable);
  void SetConfigVersion(double version);
  void SetReplicas(double count);
  void SetPeers(double alive);
  void SetLogLinesDropped(double count);

  /** The Prometheus text format. */
  std::string Text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Histogram>& seconds_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Counter& partial_;
  prometheus::Counter& callers_left_;
  prometheus::Counter& attempts_failed_;
  prometheus::Counter& budget_empty_;
  prometheus::Counter& connections_;
  prometheus::Gauge& store_reachable_;
  prometheus::Gauge& config_version_;
  prometheus::Gauge& replicas_;
  prometheus::Gauge& peers_;
  prometheus::Gauge& log_dropped_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_NODE_METRICS_H_
