#include "query/replica_choice.h"

#include <algorithm>

#include "base/random_source.h"
#include "replicas/admission.h"
#include "replicas/replica_record.h"
#include "replicas/replica_registry.h"

namespace limpetlever {

namespace {

// Large enough that an unreachable server is used only if there is no other.
constexpr duration kUnreachablePenalty = std::chrono::seconds(5);
// A stalled server answers once its pause is over, which typically takes a tenth of a second.
constexpr duration kStalledPenalty = std::chrono::milliseconds(100);
constexpr double kColdLatencyFactor = 2.0;
constexpr double kMaxFailureShare = 0.9;
// Random noise, relative to the expected latency, that spreads attempts over similar servers.
constexpr double kCostNoiseShare = 0.1;

}  // namespace

duration ExpectedLatency(const replica_record& record,
                         const replica_choice_options& options,
                         instant now) {
  const replica_load& load = record.load;
  const double typical_latency = static_cast<double>(options.typical_latency.count());
  const int busy = load.in_flight() + load.LoadFromOtherHosts(now);
  const int slots = std::max(1, record.registered.slots);
  const double queue_rounds = static_cast<double>(std::max(0, busy + 1 - slots)) / slots;
  double expected = typical_latency * load.LatencyRatio(now) * (1.0 + queue_rounds);
  if (now < record.cold_until) {
    expected *= kColdLatencyFactor;
  }
  // 1 / (1 - p) is the expected number of attempts until one succeeds.
  expected /= 1.0 - std::min(kMaxFailureShare, load.FailureShare(now));
  duration total(static_cast<std::int64_t>(expected));
  if (load.IsStalled(now, options.stall_limit)) {
    total += kStalledPenalty;
  }
  if (!record.is_local) {
    total += options.remote_penalty;
  }
  if (load.IsUnreachable()) {
    total += kUnreachablePenalty;
  }
  return total;
}

std::shared_ptr<replica_record> ChooseReplica(const replica_registry& replicas,
                                              const std::string& service,
                                              const std::vector<const replica_record*>& excluded,
                                              const replica_choice_options& options,
                                              random_source& random,
                                              instant now) {
  std::shared_ptr<replica_record> best;
  double best_cost = 0.0;
  for (const auto& record : replicas.FindByService(service)) {
    if (!CheckAdmission(*record, now).MaySend(now) ||
        std::find(excluded.begin(), excluded.end(), record.get()) != excluded.end()) {
      continue;
    }
    const auto expected = static_cast<double>(ExpectedLatency(*record, options, now).count());
    const double cost = expected * (1.0 + kCostNoiseShare * random.Unit());
    if (!best || cost < best_cost) {
      best = record;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace limpetlever
