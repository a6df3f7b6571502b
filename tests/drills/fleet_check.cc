#include "drills/fleet_check.h"

#include <algorithm>
#include <cstdio>

#include "base/json_document.h"

namespace limpetlever {

namespace {

constexpr std::size_t kMaxLinesOfRule = 20;

double Seconds(duration time) {
  return static_cast<double>(time.count()) / 1e6;
}

std::string Ms(duration time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) +
         " ms";
}

}  // namespace

void fleet_check::OnStoreChange(instant now, const std::string& key, const std::string* value) {
  if (key == "op/config") {
    version entry{.time = now};
    if (value != nullptr) {
      const auto document = ParseJsonObject(*value, key);
      entry.number = IntegerMember(**document, "version").value_or(0);
      for (const auto& route : FindMember(**document, "routes")->GetArray()) {
        entry.routes[StringMember(route, "prefix").value_or("")] =
            StringMember(route, "service").value_or("");
      }
    }
    routes_by_number_[entry.number] = entry.routes;
    versions_.push_back(std::move(entry));
  } else if (key.starts_with("servers/")) {
    const std::string server = key.substr(key.find('/') + 1);
    const auto document = value == nullptr ? nullptr : ParseJsonObject(*value, key).value();
    if (document && StringMember(*document, "state") == "ready") {
      unusable_since_.erase(server);
    } else {
      unusable_since_.try_emplace(server, now);
    }
  } else if (key.starts_with("op/evacuate/")) {
    const std::string data_centre = key.substr(key.rfind('/') + 1);
    if (value != nullptr) {
      evacuated_since_.try_emplace(data_centre, now);
    } else {
      evacuated_since_.erase(data_centre);
    }
  }
}

void fleet_check::OnStoreAway(instant now) {
  outages_.emplace_back(now, std::nullopt);
}

void fleet_check::OnStoreReturn(instant now) {
  outages_.back().second = now;
}

void fleet_check::OnHostDisrupted(instant now, const std::string& host) {
  host_disruptions_[host].push_back(now);
  lower_bounds_.erase(host);
}

bool fleet_check::IsStoreCalm(instant time) const {
  return std::none_of(outages_.begin(), outages_.end(), [&](const auto& span) {
    return time >= span.first && (!span.second || time < *span.second + kStability);
  });
}

bool fleet_check::IsCalm(const std::string& host, instant time) const {
  const auto found = host_disruptions_.find(host);
  return IsStoreCalm(time) &&
         (found == host_disruptions_.end() ||
          std::none_of(found->second.begin(), found->second.end(), [&](instant disruption) {
            return time >= disruption && time < disruption + kStability;
          }));
}

bool fleet_check::KnowsFleet(const std::string& host, instant time) const {
  const auto found = host_disruptions_.find(host);
  if (found == host_disruptions_.end()) {
    return true;
  }
  // A host that starts while the store is away knows nothing until the store is stable again.
  instant known = found->second.back();
  for (const auto& [begin, end] : outages_) {
    if (begin <= known + kStability && (!end || known < *end + kStability)) {
      known = end.value_or(time);
    }
  }
  return time >= known + kStability;
}

std::size_t fleet_check::FirstAllowed(instant sent) const {
  std::size_t first = 0;
  while (first + 1 < versions_.size() && versions_[first + 1].time <= sent - kConfigLimit) {
    ++first;
  }
  return first;
}

void fleet_check::OnOutcome(instant now,
                            const std::string& host,
                            const drill_caller::outcome& outcome) {
  CheckVersion(now, host, outcome);
  CheckRollback(now, host, outcome);
  CheckRefusal(now, host, outcome);
}

void fleet_check::CheckVersion(instant now,
                               const std::string& host,
                               const drill_caller::outcome& outcome) {
  if ((outcome.status != 200 && outcome.status != 404) || !IsCalm(host, outcome.sent) ||
      !IsCalm(host, now)) {
    return;
  }
  const std::string got = outcome.status == 200 ? outcome.service : "";
  const std::size_t first = FirstAllowed(outcome.sent);
  std::string allowed;
  for (std::size_t i = first; i < versions_.size(); ++i) {
    const auto found = versions_[i].routes.find(outcome.prefix);
    const std::string service = found == versions_[i].routes.end() ? "" : found->second;
    if (service == got) {
      checked_count_ += outages_.empty() ? 0 : 1;
      return;
    }
    allowed += (allowed.empty() ? "" : ", ") + (service.empty() ? std::string("404") : service);
  }
  AddViolation(now, got.empty() ? "DENIED" : "CONFIG",
               "host " + host + ", route " + outcome.prefix + ": " + (got.empty() ? "404" : got) +
                   ", but version " + std::to_string(versions_[first].number) + ", confirmed " +
                   Ms(outcome.sent - versions_[first].time) +
                   " before the request, and later ones allow only " + allowed);
}

void fleet_check::CheckRollback(instant now,
                                const std::string& host,
                                const drill_caller::outcome& outcome) {
  const auto disruptions = host_disruptions_.find(host);
  if ((outcome.status != 200 && outcome.status != 404) ||
      (disruptions != host_disruptions_.end() && disruptions->second.back() >= outcome.sent)) {
    return;
  }
  std::vector<lower_bound>& bounds = lower_bounds_[host];
  std::int64_t bound = 0;
  for (const lower_bound& entry : bounds) {
    bound = entry.time <= outcome.sent - kRollbackSlack ? entry.number : bound;
  }
  const std::string got = outcome.status == 200 ? outcome.service : "";
  const auto allows = [&](const auto& entry) {
    const auto found = entry.second.find(outcome.prefix);
    return (found == entry.second.end() ? "" : found->second) == got;
  };
  const auto begin = routes_by_number_.lower_bound(bound);
  const auto lowest = std::find_if(begin, routes_by_number_.end(), allows);
  if (lowest != routes_by_number_.end()) {
    if (!got.empty() && (bounds.empty() || lowest->first > bounds.back().number)) {
      bounds.push_back({.time = now, .number = lowest->first});
    }
  } else if (std::any_of(routes_by_number_.begin(), begin, allows)) {
    AddViolation(now, "ROLLBACK",
                 "host " + host + ", route " + outcome.prefix + ": " + (got.empty() ? "404" : got) +
                     ", which only versions before " + std::to_string(bound) +
                     " allow, although the host had that one");
  }
}

void fleet_check::CheckRefusal(instant now,
                               const std::string& host,
                               const drill_caller::outcome& outcome) {
  const auto key = std::make_pair(host, outcome.prefix);
  if (outcome.status == 200 || outcome.status == 404) {
    refusals_.erase(key);
    return;
  }
  bool must_be_served = KnowsFleet(host, outcome.sent);
  for (std::size_t i = FirstAllowed(outcome.sent); i < versions_.size(); ++i) {
    const auto route = versions_[i].routes.find(outcome.prefix);
    must_be_served = must_be_served && route != versions_[i].routes.end() &&
                     is_served_(route->second, outcome.sent - kConfigLimit);
  }
  if (!must_be_served) {
    refusals_.erase(key);
    return;
  }
  refusal& entry = refusals_.try_emplace(key, refusal{.begin = outcome.sent}).first->second;
  if (now - entry.begin > kRefusalLimit && !entry.is_reported) {
    entry.is_reported = true;
    AddViolation(now, "REFUSED",
                 "host " + host + ", route " + outcome.prefix + ": requests fail for " +
                     Ms(now - entry.begin) + ", the last with " + std::to_string(outcome.status) +
                     ", although the service has servers");
  }
}

void fleet_check::OnArrival(instant now,
                            instant sent,
                            const std::string& host,
                            const std::string& server,
                            const std::string& data_centre) {
  if (!IsCalm(host, sent) || !IsCalm(host, now)) {
    return;
  }
  // A confirmation counts only once the store is stable.
  const instant stable = outages_.empty() ? instant() : *outages_.back().second + kStability;
  const auto unusable = unusable_since_.find(server);
  if (unusable != unusable_since_.end() && now - std::max(unusable->second, stable) > kDrainLimit) {
    AddViolation(now, "DRAIN",
                 "host " + host + ", server " + server + ": a request arrives " +
                     Ms(now - unusable->second) + " after it was draining or gone");
  }
  const auto evacuated = evacuated_since_.find(data_centre);
  if (evacuated != evacuated_since_.end() && now - evacuated->second > kEvacuationLimit) {
    AddViolation(now, "EVAC",
                 "host " + host + ", server " + server + ": a request arrives " +
                     Ms(now - evacuated->second) + " after the evacuation of " + data_centre);
  }
}

void fleet_check::AddViolation(instant now, const std::string& rule, const std::string& details) {
  ++violation_count_;
  if (++violations_by_rule_[rule] <= kMaxLinesOfRule) {
    char time[32];
    std::snprintf(time, sizeof(time), "%.3f s ", Seconds(now - start_));
    violations_.push_back(time + rule + ": " + details);
  }
}

}  // namespace limpetlever
