#include "replicas/admission.h"

#include <algorithm>

#include "replicas/replica_record.h"
#include "replicas/replica_registry.h"
#include "replicas/server_notice.h"
#include "replicas/waiting_request.h"

namespace limpetlever {

namespace {

// A server that drains, or whose entry was removed, serves for 3 s after the store has confirmed it
// (drainMs). This host hears of it later, and the request still has to run.
constexpr duration kMaxWaitAfterExclusion = std::chrono::seconds(1);
// Requests that were chosen for a cold server at even intervals must not arrive there together.
constexpr duration kMaxWaitWhileCold = std::chrono::milliseconds(250);

}  // namespace

exclusion LastingExclusion(const replica_record& record) {
  if (!record.is_registered) {
    return exclusion::not_registered;
  }
  if (record.is_misdirected) {
    return exclusion::misdirected;
  }
  if (record.is_data_centre_out) {
    return exclusion::data_centre_out;
  }
  if (record.registered.is_draining) {
    return exclusion::draining;
  }
  return record.is_leaving ? exclusion::leaving : exclusion::none;
}

bool IsUsable(const replica_record& record) {
  return LastingExclusion(record) == exclusion::none;
}

void UpdateExclusion(replica_record& record, instant now) {
  if (IsUsable(record)) {
    record.excluded_since = std::nullopt;
  } else if (!record.excluded_since) {
    record.excluded_since = now;
  }
}

waiting_decision DecideWaiting(const replica_record& record,
                               const waiting_request& request,
                               instant now) {
  // Another server at its address would refuse the request.
  if (record.pause.IsPausing(now) || record.is_misdirected) {
    return waiting_decision::leave;
  }
  if (record.is_replaced && record.warm_up.IsConfigured()) {
    // The process that is cold now may have the same address and id.
    return waiting_decision::leave;
  }
  const bool has_part =
      request.is_within_warm_up_limit && now - request.chosen <= kMaxWaitWhileCold;
  if (record.warm_up.IsLimiting(now) && !has_part) {
    return waiting_decision::leave;
  }
  if (!record.excluded_since) {
    return waiting_decision::stay;
  }
  return now - *record.excluded_since < kMaxWaitAfterExclusion ? waiting_decision::move
                                                               : waiting_decision::leave;
}

admission CheckAdmission(const replica_record& record, instant now) {
  if (const exclusion lasting = LastingExclusion(record); lasting != exclusion::none) {
    return {.reason = lasting, .next = std::nullopt};
  }
  const instant after_pause = record.pause.NextSend(now);
  const instant within_limit = record.limit.NextSend(now);
  const instant within_warm_up = record.warm_up.NextSend(now);
  const instant next = std::max({after_pause, within_limit, within_warm_up});
  if (next <= now) {
    return {.reason = exclusion::none, .next = now};
  }
  const exclusion reason = after_pause == next    ? exclusion::pause
                           : within_limit == next ? exclusion::limit
                                                  : exclusion::cold;
  return {.reason = reason, .next = next};
}

admission CheckAdmission(const replica_registry& replicas,
                         const std::string& service,
                         instant now) {
  admission best{.reason = exclusion::not_registered, .next = std::nullopt};
  for (const auto& record : replicas.FindByService(service)) {
    const admission server = CheckAdmission(*record, now);
    const bool is_first = best.reason == exclusion::not_registered && !best.next;
    const bool is_sooner = server.next && (!best.next || *server.next < *best.next);
    if (is_first || is_sooner) {
      best = server;
    }
  }
  return best;
}

void ApplyNotice(replica_record& record, const server_notice& notice, instant now, double spread) {
  record.is_leaving = record.is_leaving || notice.is_leaving;
  UpdateExclusion(record, now);
  if (notice.pause) {
    record.pause.OnAsked(*notice.pause, now, spread);
  }
}

}  // namespace limpetlever
