#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <tuple>

#include "routing_fixture.h"

using namespace limpetlever;

namespace {

struct totals {
  int complete = 0;
  int partial = 0;
  int not_run = 0;
  int hedges = 0;
  int retries = 0;
  int restarts = 0;
  int late = 0;
};

/** A running query and the actual fate of its attempts. */
struct tracked_query {
  tracked_query(query_request new_request,
                partition_map map,
                replica_selector& selector,
                service_records& services)
      : request(new_request),
        execution(std::move(new_request),
                  std::make_shared<partition_map>(std::move(map)),
                  selector,
                  services) {}
  query_request request;
  fan_out execution;
  bool any_attempt_ran = false;
  int sent = 0;
  std::set<std::tuple<std::int64_t, std::uint32_t, std::string>> tried;
  std::map<std::pair<std::int64_t, std::uint32_t>, std::set<std::uint32_t>> open;
};

/** Simulates replicas with all kinds of faults at once; deterministic for a seed. */
class fault_simulation {
 public:
  explicit fault_simulation(std::uint64_t seed) : random_(seed), selector_("dc-a", seed) {
    for (double* chance :
         {&straggler_probability_, &refusal_probability_, &failure_probability_, &loss_probability_,
          &duplicate_probability_, &crossed_probability_, &skew_probability_}) {
      *chance = random_.Below(3) == 0 ? 0.0 : 0.15 * random_.Unit();
    }
    outage_start_ = At(static_cast<double>(random_.Below(3000)));
    PublishVersion();
  }

  totals Run() {
    constexpr int kQueries = 150;
    for (int query = 0; query < kQueries; ++query) {
      Schedule(Ms(20.0 * query), [this, query] { StartQuery(1000 + query); });
    }
    // Versions change while queries run, often again before the previous change is complete.
    for (double ms = 300; ms < 3000; ms += static_cast<double>(50 + random_.Below(900))) {
      Schedule(Ms(ms), [this] { PublishVersion(); });
    }
    while (!events_.empty()) {
      const auto next = events_.begin();
      now_ = next->first;
      const auto callback = std::move(next->second);
      events_.erase(next);
      callback();
    }
    cr_assert(queries_.empty());
    return totals_;
  }

 private:
  void Schedule(duration delay, std::function<void()> callback) {
    events_.emplace(now_ + delay, std::move(callback));
  }

  bool Chance(double share) { return random_.Unit() < share; }

  /** Publishes a version with another number of shards; only the newest two are kept. */
  void PublishVersion() {
    ++newest_version_;
    maps_[newest_version_] = Map(newest_version_, 4 + static_cast<int>(random_.Below(8)),
                                 1 + static_cast<int>(random_.Below(3)));
    for (auto& replicas : maps_[newest_version_].shards) {
      for (candidate& replica : replicas) {
        replica.data_centre = Chance(0.5) ? "dc-a" : "dc-b";
        replica.cold = Chance(0.2);
        replica.limit = 1 + static_cast<int>(random_.Below(20));
      }
      std::ranges::sort(replicas, {}, &candidate::data_centre);
    }
    Schedule(Ms(static_cast<double>(random_.Below(200))), [this, version = newest_version_] {
      auto snapshot = std::make_shared<routing_snapshot>(*snapshot_);
      auto& maps = snapshot->workloads["matching"];
      maps.insert(maps.begin(), maps_[version]);
      std::ranges::sort(maps, std::greater<>(), &partition_map::version);
      if (maps.size() > 2) {
        maps.pop_back();
      }
      snapshot_ = snapshot;
    });
    // Replicas may drop a version before the snapshot of the hosts shows it.
    Schedule(Ms(static_cast<double>(random_.Below(200))),
             [this, version = newest_version_ - 1] { oldest_held_version_ = version + 1; });
  }

  void StartQuery(std::uint64_t id) {
    const auto maps = snapshot_->workloads.find("matching");
    const partition_map* map =
        maps == snapshot_->workloads.end() ? nullptr : ChooseVersion(maps->second);
    if (map == nullptr) {
      return;
    }
    query_request request = Query(30.0 + static_cast<double>(random_.Below(150)), id);
    request.wanted_coverage = Chance(0.3) ? random_.Unit() : 1.0;
    const auto query = std::make_shared<tracked_query>(request, *map, selector_, services_);
    queries_.emplace(id, query);
    query->execution.SetSnapshot(snapshot_);
    Execute(query, query->execution.Start(now_));
  }

  void Execute(const std::shared_ptr<tracked_query>& query,
               const std::vector<fan_out_action>& actions) {
    for (const fan_out_action& action : actions) {
      if (IsSend(action)) {
        Send(*query, action.attempt);
      }
    }
    if (query->execution.IsDone()) {
      if (queries_.erase(query->request.id) > 0) {
        CheckAnswer(*query);
      }
    } else if (const instant due = *query->execution.NextTimer(); due > now_ || actions.empty()) {
      Schedule(std::max(duration(1), due - now_), [this, query] {
        if (!query->execution.IsDone() && now_ >= *query->execution.NextTimer()) {
          Execute(query, query->execution.OnTimer(now_));
        }
      });
    }
  }

  void Send(tracked_query& query, const attempt_request& attempt) {
    ++query.sent;
    const std::int64_t version = attempt.snapshot_version;
    cr_assert(query.tried.insert({version, attempt.id.shard, attempt.replica}).second,
              "a replica was tried twice");
    auto& open = query.open[{version, attempt.id.shard}];
    const auto& replicas = maps_[version].shards[attempt.id.shard];
    const auto replica = std::ranges::find(replicas, attempt.replica, &candidate::replica);
    cr_assert(replica != replicas.end());
    cr_assert(open.empty() || !replica->cold, "a hedge went to a cold replica");
    cr_assert(open.size() < 2, "more than one hedge");
    open.insert(attempt.id.ordinal);

    double ms = 3.0 + 4.0 * random_.Unit();
    attempt_result result = Result(attempt, Ran());
    result.body = Body(query.request.id, version, attempt.id.shard);
    result.limit = static_cast<int>(random_.Below(4));
    const bool in_outage = now_ > outage_start_ && now_ < outage_start_ + Ms(200);
    if (version < oldest_held_version_) {
      result.outcome = NotRun(errc::version_gone);
    } else if (Chance(in_outage ? 0.9 : refusal_probability_)) {
      result.outcome = NotRun(errc::replica_full);
    } else if (Chance(failure_probability_)) {
      result.outcome = MayHaveRun(errc::connection_lost);
      query.any_attempt_ran = query.any_attempt_ran || Chance(0.5);
    } else {
      query.any_attempt_ran = true;
      ms *= Chance(straggler_probability_) ? 20.0 : 1.0;
      if (Chance(skew_probability_)) {
        result.snapshot_version += 1;
        result.body = "another version";
      }
      if (Chance(loss_probability_)) {
        return;
      }
    }
    Schedule(Ms(ms), [this, result] { Deliver(result); });
    if (Chance(duplicate_probability_)) {
      Schedule(Ms(ms * 2.0 * random_.Unit()), [this, result] { Deliver(result); });
    }
    if (Chance(crossed_probability_)) {
      attempt_result crossed = result;
      crossed.body = "crossed";
      crossed.outcome = Ran();
      switch (random_.Below(4)) {
        case 0:
          crossed.id.query += 1;
          break;
        case 1:
          crossed.id.shard += 1;
          break;
        case 2:
          crossed.id.ordinal += 1;
          break;
        default:
          crossed.replica += "x";
      }
      // No attempt has a replica of this name, so the crossed result never matches.
      crossed.replica += "-of-another";
      Schedule(Ms(ms * random_.Unit()), [this, crossed] { Deliver(crossed); });
    }
  }

  void Deliver(const attempt_result& result) {
    const auto found = queries_.find(result.id.query);
    if (found == queries_.end()) {
      return;
    }
    const auto query = found->second;
    if (result.body != "crossed" && result.body != "another version") {
      query->open[{result.snapshot_version, result.id.shard}].erase(result.id.ordinal);
    }
    query->execution.SetSnapshot(snapshot_);
    Execute(query, query->execution.OnResult(result, now_));
  }

  static std::string Body(std::uint64_t query, std::int64_t version, std::size_t shard) {
    return std::to_string(query) + "/" + std::to_string(version) + "/" + std::to_string(shard);
  }

  void CheckAnswer(const tracked_query& query) {
    const query_answer answer = query.execution.Answer(now_);
    const std::int64_t version = answer.snapshot_version;
    const auto count = static_cast<std::size_t>(answer.shard_count);
    cr_assert(maps_.contains(version) && maps_[version].shards.size() == count,
              "the shard count is that of another version");
    cr_assert(answer.elapsed <= query.request.time_limit);
    std::set<int> shards;
    for (const shard_answer& item : answer.answers) {
      cr_assert(item.body == Body(query.request.id, version, item.shard), "%s is not this answer",
                item.body.c_str());
      shards.insert(item.shard);
    }
    for (const missing_shard& item : answer.missing) {
      cr_assert(!item.reason.empty());
      shards.insert(item.shard);
    }
    cr_assert(shards.size() == count && answer.answers.size() + answer.missing.size() == count);
    cr_assert(shards.empty() ||
              (*shards.begin() == 0 && *shards.rbegin() == answer.shard_count - 1));
    cr_assert(answer.outcome.state != run_state::not_run || !query.any_attempt_ran,
              "a false \"not run\"");
    cr_assert(answer.attempts == query.sent);

    totals_.hedges += answer.hedges;
    totals_.retries += answer.retries;
    const extra_attempt_budget& budget = services_.FindOrCreate("matching").budget;
    cr_assert(100 * budget.hedges() <= 3 * budget.first_attempts());
    cr_assert(100 * (budget.hedges() + budget.retries()) <= 10 * budget.first_attempts());
    if (queries_.empty()) {
      cr_assert(totals_.hedges == budget.hedges() && totals_.retries == budget.retries(),
                "an extra attempt bypassed the budget");
    }
    totals_.complete += IsComplete(answer) ? 1 : 0;
    totals_.partial += !answer.answers.empty() && !IsComplete(answer) ? 1 : 0;
    totals_.not_run += answer.outcome.state == run_state::not_run ? 1 : 0;
    totals_.restarts += query.execution.restarts();
    totals_.late += query.execution.dropped_results();
  }

  random_source random_;
  replica_selector selector_;
  service_records services_;
  std::shared_ptr<const routing_snapshot> snapshot_ = std::make_shared<routing_snapshot>();
  std::map<std::int64_t, partition_map> maps_;
  std::multimap<instant, std::function<void()>> events_;
  std::map<std::uint64_t, std::shared_ptr<tracked_query>> queries_;
  totals totals_;
  instant now_ = At(0);
  instant outage_start_;
  std::int64_t newest_version_ = 0;
  std::int64_t oldest_held_version_ = 0;
  double straggler_probability_ = 0, refusal_probability_ = 0, failure_probability_ = 0,
         loss_probability_ = 0, duplicate_probability_ = 0, crossed_probability_ = 0,
         skew_probability_ = 0;
};

}  // namespace

// Guards against answers of mixed versions or of other queries, wrong coverage, a false "not run"
// and extra attempts beyond the budget, under simultaneous stragglers, refusals, lost, duplicated
// and crossed answers, and version changes.
Test(fan_out, invariants_hold_over_400_seeds) {
  totals all;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    const totals run = fault_simulation(seed).Run();
    all.complete += run.complete;
    all.partial += run.partial;
    all.not_run += run.not_run;
    all.hedges += run.hedges;
    all.retries += run.retries;
    all.restarts += run.restarts;
    all.late += run.late;
  }
  cr_log_info("complete %d, partial %d, not run %d, hedges %d, retries %d, restarts %d, late %d",
              all.complete, all.partial, all.not_run, all.hedges, all.retries, all.restarts,
              all.late);
  // Each situation must have occurred often enough to be covered by the test.
  cr_assert(all.complete > 1000 && all.partial > 1000 && all.not_run > 100);
  cr_assert(all.hedges > 1000 && all.retries > 1000 && all.restarts > 100 && all.late > 1000);
}
