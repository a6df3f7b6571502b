#include "membership/address_advice.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "base/hash.h"

namespace limpetlever {

namespace {

constexpr std::size_t kMaxAddresses = 3;
constexpr duration kAdviceLifetime = std::chrono::seconds(10);

/** Deterministic hash of the arguments, uniform in (0, 1). */
double UnitHash(std::uint64_t a, std::uint64_t b) {
  return (static_cast<double>(CombineHashes(a, b) >> 11) + 0.5) / 9007199254740992.0;  // 2^53
}

double WeightOrDefault(const std::map<std::string, double>& weights, const std::string& name) {
  const auto found = weights.find(name);
  return found == weights.end() ? 1.0 : found->second;
}

struct candidate {
  const member* host;
  double score;
};

/**
 * Returns the data centre whose hosts are listed first for this caller; empty if there is none. A
 * data centre with less than the mean weight keeps only a proportional part of its own callers; the
 * rest are assigned to data centres with more than the mean weight.
 */
std::string PreferredDataCentre(const std::map<std::string, double>& weights,
                                const std::string& own_data_centre,
                                std::uint64_t caller) {
  const auto own_weight = weights.find(own_data_centre);
  if (own_weight == weights.end()) {
    return {};
  }
  double total = 0.0;
  for (const auto& [name, weight] : weights) {
    total += weight;
  }
  const double mean_weight = total / static_cast<double>(weights.size());
  if (UnitHash(Hash("near"), caller) * mean_weight < own_weight->second) {
    return own_data_centre;
  }
  double surplus = 0.0;
  for (const auto& [name, weight] : weights) {
    surplus += std::max(0.0, weight - mean_weight);
  }
  double draw = UnitHash(Hash("far"), caller) * surplus;
  for (const auto& [name, weight] : weights) {
    draw -= std::max(0.0, weight - mean_weight);
    if (draw < 0.0) {
      return name;
    }
  }
  return {};
}

}  // namespace

address_advice AdviseAddresses(const advice_request& request) {
  const std::uint64_t caller = Hash(request.caller);
  std::vector<candidate> candidates;
  std::map<std::string, double> weights;
  for (const member& host : request.members) {
    const double weight = WeightOrDefault(request.host_weights, host.name) *
                          WeightOrDefault(request.data_centre_weights, host.data_centre);
    const bool usable = host.state == member_state::alive || host.state == member_state::suspect;
    if (!usable || weight <= 0.0 || request.taken_out_hosts.contains(host.name) ||
        request.taken_out_data_centres.contains(host.data_centre)) {
      continue;
    }
    // Weighted rendezvous hashing: the probability that a host has the greatest weight / -ln(u) is
    // proportional to its weight.
    const double score = weight / -std::log(UnitHash(Hash(host.name), caller));
    candidates.push_back({.host = &host, .score = score});
    weights[host.data_centre] += weight;
  }
  const std::string preferred = PreferredDataCentre(weights, request.data_centre, caller);
  std::sort(candidates.begin(), candidates.end(),
            [&preferred](const candidate& a, const candidate& b) {
              const bool a_first = a.host->data_centre == preferred;
              const bool b_first = b.host->data_centre == preferred;
              return a_first != b_first ? a_first : a.score > b.score;
            });
  address_advice advice{.http_addresses = {}, .lifetime = kAdviceLifetime};
  for (const candidate& item : candidates) {
    if (advice.http_addresses.size() == kMaxAddresses) {
      break;
    }
    advice.http_addresses.push_back(item.host->http_address);
  }
  return advice;
}

}  // namespace limpetlever
