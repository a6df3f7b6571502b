#include "routing/replica_selector.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "base/errc.h"
#include "routing/attempt_result.h"
#include "table/operator_table.h"

namespace limpetlever {

namespace {

constexpr double kInitialLatencyUs = 1000.0;
constexpr double kLatencySmoothing = 0.2;
// Limits reported by owners may be out of date, so they shift a comparison by at most this factor.
constexpr double kMaxHintFactor = 2.0;
constexpr duration kReportedLimitLifetime = std::chrono::seconds(1);
// A replica at its limit has capacity again as soon as a few of its requests have ended.
constexpr duration kFullBackoff = std::chrono::milliseconds(100);
// Replicas of a failed owner get a new owner only after seconds; until then each attempt at them
// costs a retry from the budget.
constexpr duration kUnownedBackoff = std::chrono::seconds(1);
// Each consecutive failure doubles the score, up to this many. Otherwise a replica that fails fast,
// which has few requests in flight, would attract the most work.
constexpr int kMaxCountedFailures = 6;
// A local replica is passed over when its score is more than this many times that of a remote one.
// Another data centre is 1 ms away, so with a smaller factor ordinary variation of latency would
// send work there.
constexpr double kMuchSlowerFactor = 4.0;
// Share of work that a much slower local replica still gets, so that its recovery is noticed.
constexpr double kSlowLocalProbeShare = 0.05;
// Random draws before the candidates are scanned in order; usually one or two draws suffice.
constexpr int kMaxDraws = 16;
// A hedge is optional, so the cost of the search must not grow with the number of full replicas.
constexpr std::size_t kMaxScannedForHedge = 64;
// The greatest weight is estimated from about this many candidates; exact for small pools.
constexpr std::size_t kWeightSamples = 8;

/**
 * Whether no host can use the replica now: its owner is unreachable, has no valid lease, or has not
 * taken the replica over yet.
 */
bool IsUnowned(const std::error_code& error) {
  return error == errc::peer_unreachable || error == errc::lease_lapsed || error == errc::not_owner;
}

}  // namespace

replica_selector::replica_selector(std::string own_data_centre, std::uint64_t seed)
    : own_data_centre_(std::move(own_data_centre)), random_(seed) {}

void replica_selector::SetTable(const operator_table& table, instant now) {
  ramp_.SetRows(table.data_centres, now);
  listed_replicas_.clear();
  for (const backend_server_row& server : table.backend_servers) {
    listed_replicas_.insert(server.address);
  }
  has_table_ = true;
  std::erase_if(loads_,
                [this](const auto& entry) { return !listed_replicas_.contains(entry.first); });
}

const replica_selector::replica_load& replica_selector::FindLoad(const candidate& replica) const {
  static const replica_load none;
  const auto found = loads_.find(replica.replica);
  return found == loads_.end() ? none : found->second;
}

int replica_selector::EffectiveLimit(const candidate& replica, instant now) const {
  const replica_load& load = FindLoad(replica);
  const bool is_fresh = load.reported_limit > 0 && now - load.reported_at < kReportedLimitLifetime;
  return std::max(1, is_fresh ? load.reported_limit : replica.limit);
}

double replica_selector::Score(const candidate& replica) const {
  const replica_load& load = FindLoad(replica);
  const double latency = load.latency_us > 0.0 ? load.latency_us : kInitialLatencyUs;
  return (load.in_flight + 1) * latency * (1 << load.failures) / replica.weight;
}

bool replica_selector::IsPresumedFull(const candidate& replica, instant now) const {
  const replica_load& load = FindLoad(replica);
  return now < load.treat_as_full_until || load.in_flight >= EffectiveLimit(replica, now);
}

bool replica_selector::IsBetter(const candidate& replica,
                                const candidate& other,
                                instant now) const {
  const bool full = IsPresumedFull(replica, now);
  const bool other_full = IsPresumedFull(other, now);
  if (full != other_full) {
    return other_full;
  }
  const double hint =
      std::clamp(static_cast<double>(EffectiveLimit(replica, now)) / EffectiveLimit(other, now),
                 1.0 / kMaxHintFactor, kMaxHintFactor);
  return Score(replica) < Score(other) * hint;
}

bool replica_selector::IsMuchSlower(const candidate& local,
                                    const candidate& remote,
                                    instant now) const {
  return FindLoad(local).latency_us > 0.0 && FindLoad(remote).latency_us > 0.0 &&
         !IsPresumedFull(remote, now) && Score(local) > kMuchSlowerFactor * Score(remote);
}

bool replica_selector::IsUsable(const candidate& replica,
                                const std::set<std::string>& tried,
                                attempt_purpose purpose,
                                double unit_sample,
                                instant now) const {
  // A data centre that is out has a share of 0 and no sample is below that, so a query with an
  // older snapshot, which still lists its replicas, sends nothing there either.
  if (replica.weight <= 0.0 || tried.contains(replica.replica) ||
      unit_sample >= ramp_.Share(replica.data_centre, now)) {
    return false;
  }
  return purpose != attempt_purpose::hedge || (!replica.cold && !IsPresumedFull(replica, now));
}

// The pool is passed in two parts, so that "all data centres but one" needs no copy.
const candidate* replica_selector::DrawCandidate(pool first_part,
                                                 pool second_part,
                                                 const std::set<std::string>& tried,
                                                 attempt_purpose purpose,
                                                 double unit_sample,
                                                 instant now) {
  const std::size_t size = first_part.size() + second_part.size();
  if (size == 0) {
    return nullptr;
  }
  const auto at = [&first_part, &second_part](std::size_t index) -> const candidate& {
    return index < first_part.size() ? first_part[index] : second_part[index - first_part.size()];
  };
  double max_weight = 0.0;
  const std::size_t stride = std::max<std::size_t>(1, size / kWeightSamples);
  for (std::size_t index = 0; index < size; index += stride) {
    max_weight = std::max(max_weight, at(index).weight);
    ++examined_candidates_;
  }
  for (int draw = 0; draw < kMaxDraws; ++draw) {
    const candidate& replica = at(random_.Below(size));
    ++examined_candidates_;
    if (IsUsable(replica, tried, purpose, unit_sample, now) &&
        random_.Unit() * max_weight < replica.weight) {
      return &replica;
    }
  }
  const std::size_t first = random_.Below(size);
  const std::size_t scanned =
      purpose == attempt_purpose::hedge ? std::min(size, kMaxScannedForHedge) : size;
  for (std::size_t index = 0; index < scanned; ++index) {
    const candidate& replica = at((first + index) % size);
    ++examined_candidates_;
    if (IsUsable(replica, tried, purpose, unit_sample, now)) {
      return &replica;
    }
  }
  return nullptr;
}

const candidate* replica_selector::ChooseBetterOfTwo(pool first_part,
                                                     pool second_part,
                                                     const std::set<std::string>& tried,
                                                     attempt_purpose purpose,
                                                     double unit_sample,
                                                     instant now) {
  const candidate* first = DrawCandidate(first_part, second_part, tried, purpose, unit_sample, now);
  if (first == nullptr) {
    return nullptr;
  }
  const candidate* second =
      DrawCandidate(first_part, second_part, tried, purpose, unit_sample, now);
  return second != nullptr && IsBetter(*second, *first, now) ? second : first;
}

const candidate* replica_selector::Choose(const std::vector<candidate>& candidates,
                                          const std::set<std::string>& tried,
                                          attempt_purpose purpose,
                                          instant now) {
  const auto begin = std::lower_bound(
      candidates.begin(), candidates.end(), own_data_centre_,
      [](const candidate& replica, const std::string& name) { return replica.data_centre < name; });
  const auto end = std::upper_bound(
      begin, candidates.end(), own_data_centre_,
      [](const std::string& name, const candidate& replica) { return name < replica.data_centre; });
  const pool own(begin, end);
  const pool before(candidates.begin(), begin);
  const pool after(end, candidates.end());
  examined_candidates_ += 2 * std::bit_width(candidates.size());
  // One sample for the whole choice, so that the share of a data centre does not depend on the
  // number of its replicas or of draws.
  const double unit_sample = random_.Unit();
  const candidate* local = ChooseBetterOfTwo(own, {}, tried, purpose, unit_sample, now);
  const bool local_is_full = local != nullptr && IsPresumedFull(*local, now);
  if (local != nullptr && !local_is_full && unit_sample < kSlowLocalProbeShare) {
    return local;
  }
  const candidate* remote = ChooseBetterOfTwo(before, after, tried, purpose, unit_sample, now);
  if (remote != nullptr &&
      (local == nullptr ||
       (local_is_full ? IsBetter(*remote, *local, now) : IsMuchSlower(*local, *remote, now)))) {
    return remote;
  }
  if (local != nullptr) {
    return local;
  }
  // Only data centres that are ramping up hold the shard. Coverage takes precedence over the ramp.
  return ChooseBetterOfTwo(candidates, {}, tried, purpose, 0.0, now);
}

void replica_selector::OnSent(const std::string& replica) {
  // A query with an older snapshot must not re-create the entry of a replica that left the table.
  if (!has_table_ || listed_replicas_.contains(replica)) {
    ++loads_[replica].in_flight;
  }
}

void replica_selector::OnFinished(const std::string& replica, duration elapsed) {
  const auto found = loads_.find(replica);
  if (found == loads_.end()) {
    return;
  }
  replica_load& load = found->second;
  load.in_flight = std::max(0, load.in_flight - 1);
  if (elapsed > duration::zero()) {
    const auto sample = static_cast<double>(elapsed.count());
    load.latency_us = load.latency_us > 0.0
                          ? load.latency_us + kLatencySmoothing * (sample - load.latency_us)
                          : sample;
  }
}

void replica_selector::OnResult(const attempt_result& result, duration elapsed, instant now) {
  const bool ran = result.outcome.state == run_state::ran;
  OnFinished(result.replica, ran ? elapsed : duration::zero());
  const auto found = loads_.find(result.replica);
  if (found == loads_.end()) {
    return;
  }
  replica_load& load = found->second;
  if (result.limit > 0) {
    load.reported_limit = result.limit;
    load.reported_at = now;
  }
  if (ran) {
    load.failures = 0;
  } else if (result.outcome.state == run_state::may_have_run) {
    load.failures = std::min(kMaxCountedFailures, load.failures + 1);
  } else if (result.outcome.error != errc::version_gone) {
    load.treat_as_full_until =
        now + (IsUnowned(result.outcome.error) ? kUnownedBackoff : kFullBackoff);
  }
}

}  // namespace limpetlever
