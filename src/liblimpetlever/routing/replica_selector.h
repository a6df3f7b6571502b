#ifndef LIMPETLEVER_ROUTING_REPLICA_SELECTOR_H_
#define LIMPETLEVER_ROUTING_REPLICA_SELECTOR_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/random_source.h"
#include "base/time_types.h"
#include "routing/attempt_purpose.h"
#include "routing/candidate.h"
#include "routing/data_centre_ramp.h"

namespace limpetlever {

struct attempt_result;
struct operator_table;

/**
 * Chooses among replicas from this host's own counts of requests in flight and its own latency
 * estimates. Not safe for use by several threads.
 */
class replica_selector {
 public:
  replica_selector(std::string own_data_centre, std::uint64_t seed);

  /**
   * Applies the data centres that the table marks as out, and drops the state of backend servers
   * and data centres that have no row in it.
   */
  void SetTable(const operator_table& table, instant now);

  /**
   * Draws two random candidates that are not in `tried` and returns the better one by load, latency
   * and recent failures; nullptr if there is no candidate. Candidates in the host's own data centre
   * are preferred unless there are none, they are at their limits or much slower than others, or
   * the data centre is still ramping up after it was out. `candidates` must be sorted by data
   * centre, as BuildRoutingSnapshot does.
   */
  const candidate* Choose(const std::vector<candidate>& candidates,
                          const std::set<std::string>& tried,
                          attempt_purpose purpose,
                          instant now);

  /** Counts an attempt as in flight at `replica`. */
  void OnSent(const std::string& replica);
  /**
   * Counts an attempt at `replica` as ended. `elapsed` is its latency, or zero if the attempt is no
   * sample of the replica's latency.
   */
  void OnFinished(const std::string& replica, duration elapsed);
  /**
   * As OnFinished; also records the limit that the owner reported and whether the replica failed or
   * refused the attempt.
   */
  void OnResult(const attempt_result& result, duration elapsed, instant now);

  /** Number of replicas with recorded load or latency. */
  std::size_t tracked_replicas() const { return loads_.size(); }
  /** Candidates examined since construction: the cost of the choices, for tests and benchmarks. */
  std::uint64_t examined_candidates() const { return examined_candidates_; }

 private:
  struct replica_load {
    int in_flight = 0;
    double latency_us = 0.0;
    int failures = 0;
    int reported_limit = 0;
    instant reported_at;
    instant treat_as_full_until;
  };
  using pool = std::span<const candidate>;
  const replica_load& FindLoad(const candidate& replica) const;
  int EffectiveLimit(const candidate& replica, instant now) const;
  double Score(const candidate& replica) const;
  bool IsPresumedFull(const candidate& replica, instant now) const;
  bool IsBetter(const candidate& replica, const candidate& other, instant now) const;
  bool IsMuchSlower(const candidate& local, const candidate& remote, instant now) const;
  bool IsUsable(const candidate& replica,
                const std::set<std::string>& tried,
                attempt_purpose purpose,
                double unit_sample,
                instant now) const;
  const candidate* DrawCandidate(pool first_part,
                                 pool second_part,
                                 const std::set<std::string>& tried,
                                 attempt_purpose purpose,
                                 double unit_sample,
                                 instant now);
  const candidate* ChooseBetterOfTwo(pool first_part,
                                     pool second_part,
                                     const std::set<std::string>& tried,
                                     attempt_purpose purpose,
                                     double unit_sample,
                                     instant now);

  const std::string own_data_centre_;
  random_source random_;
  std::unordered_map<std::string, replica_load> loads_;
  std::unordered_set<std::string> listed_replicas_;
  bool has_table_ = false;
  data_centre_ramp ramp_;
  std::uint64_t examined_candidates_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_REPLICA_SELECTOR_H_
