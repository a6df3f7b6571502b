#include "query/replica_choice.h"

#include <algorithm>

#include "base/random_source.h"
#include "replicas/replica_record.h"
#include "replicas/replica_registry.h"

namespace limpetlever {

namespace {

// A server that cannot be reached is used only if there is no other.
constexpr duration kUnreachablePenalty = std::chrono::seconds(5);
// A stalled server answers after its pause; a tenth of a second is a usual pause.
constexpr duration kStalledPenalty = std::chrono::milliseconds(100);
constexpr double kColdFactor = 2.0;
constexpr double kMostFailureShare = 0.9;
// Noise that spreads near equals over the servers.
constexpr double kNoiseShare = 0.1;

}  // namespace

duration ExpectedLatency(const replica_record& record, const choice_terms& terms, instant now) {
  const replica_load& load = record.load;
  const double usual = static_cast<double>(terms.usual.count());
  const int busy = load.in_flight() + load.ReportedByOthers(now);
  const int slots = std::max(1, record.stated.slots);
  const double waiting = static_cast<double>(std::max(0, busy + 1 - slots)) / slots;
  double expected = usual * load.Slowness(now) * (1.0 + waiting);
  if (now < record.cold_until) {
    expected *= kColdFactor;
  }
  // A failed attempt costs about one more.
  expected /= 1.0 - std::min(kMostFailureShare, load.FailureShare(now));
  duration total(static_cast<std::int64_t>(expected));
  if (load.IsStalled(now, terms.stall_limit)) {
    total += kStalledPenalty;
  }
  if (!record.is_near) {
    total += terms.far_penalty;
  }
  if (load.IsUnreachable()) {
    total += kUnreachablePenalty;
  }
  return total;
}

std::shared_ptr<replica_record> ChooseReplica(const replica_registry& replicas,
                                              const std::string& service,
                                              const std::vector<const replica_record*>& excluded,
                                              const choice_terms& terms,
                                              random_source& random,
                                              instant now) {
  std::shared_ptr<replica_record> best;
  double best_cost = 0.0;
  for (const auto& record : replicas.OfService(service)) {
    if (!record->is_usable ||
        std::find(excluded.begin(), excluded.end(), record.get()) != excluded.end()) {
      continue;
    }
    const auto expected = static_cast<double>(ExpectedLatency(*record, terms, now).count());
    const double cost = expected * (1.0 + kNoiseShare * random.Unit());
    if (!best || cost < best_cost) {
      best = record;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace limpetlever
