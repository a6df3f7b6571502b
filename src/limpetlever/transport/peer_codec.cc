#include "transport/peer_codec.h"

#include <algorithm>
#include <memory>

#include "base/errc.h"

namespace limpetlever {

namespace {

int ToMilliseconds(duration time) {
  return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}  // namespace

peer::AttemptId ToThrift(const attempt_id& id) {
  peer::AttemptId message;
  message.query = static_cast<std::int64_t>(id.query);
  message.shard = static_cast<std::int32_t>(id.shard);
  message.ordinal = static_cast<std::int32_t>(id.ordinal);
  return message;
}

attempt_id FromThrift(const peer::AttemptId& id) {
  return {.query = static_cast<std::uint64_t>(id.query),
          .shard = static_cast<std::uint32_t>(id.shard),
          .ordinal = static_cast<std::uint32_t>(id.ordinal)};
}

peer::AttemptBatch ToThrift(const std::string& coordinator,
                            const std::vector<attempt_request>& attempts) {
  peer::AttemptBatch batch;
  batch.coordinator = coordinator;
  std::vector<const std::string*> bodies;
  for (const attempt_request& attempt : attempts) {
    auto body = std::find(bodies.begin(), bodies.end(), attempt.body.get());
    if (body == bodies.end()) {
      bodies.push_back(attempt.body.get());
      batch.bodies.push_back(*attempt.body);
      body = bodies.end() - 1;
    }
    peer::Attempt message;
    message.id = ToThrift(attempt.id);
    message.replica = attempt.replica;
    message.workload = attempt.workload;
    message.snapshot_version = attempt.snapshot_version;
    message.body_index = static_cast<std::int32_t>(body - bodies.begin());
    message.time_limit_ms = ToMilliseconds(attempt.time_limit);
    message.urgent = attempt.urgent;
    message.fingerprint = static_cast<std::int64_t>(attempt.fingerprint);
    if (!attempt.key.empty()) {
      message.__set_key(attempt.key);
    }
    batch.attempts.push_back(std::move(message));
  }
  return batch;
}

std::vector<attempt_request> FromThrift(const peer::AttemptBatch& batch) {
  std::vector<std::shared_ptr<const std::string>> bodies;
  bodies.reserve(batch.bodies.size());
  for (const std::string& body : batch.bodies) {
    bodies.push_back(std::make_shared<const std::string>(body));
  }
  std::vector<attempt_request> attempts;
  for (const peer::Attempt& message : batch.attempts) {
    if (message.body_index < 0 || message.body_index >= static_cast<int>(bodies.size())) {
      continue;
    }
    attempts.push_back({.id = FromThrift(message.id),
                        .replica = message.replica,
                        .workload = message.workload,
                        .snapshot_version = message.snapshot_version,
                        .body = bodies[message.body_index],
                        .time_limit = std::chrono::milliseconds(message.time_limit_ms),
                        .urgent = message.urgent,
                        .fingerprint = static_cast<std::uint64_t>(message.fingerprint),
                        .key = message.__isset.key ? message.key : std::string()});
  }
  return attempts;
}

peer::ResultBatch ToThrift(const std::string& owner, const std::vector<attempt_result>& results) {
  peer::ResultBatch batch;
  batch.owner = owner;
  for (const attempt_result& result : results) {
    peer::AttemptResult message;
    message.id = ToThrift(result.id);
    message.replica = result.replica;
    message.state = static_cast<peer::RunState::type>(result.outcome.state);
    message.error = result.outcome.error.value();
    message.detail = result.outcome.detail;
    message.body = result.body;
    message.snapshot_version = result.snapshot_version;
    message.elapsed_us = static_cast<std::int32_t>(result.elapsed.count());
    message.limit = result.limit;
    message.in_flight = result.in_flight;
    batch.results.push_back(std::move(message));
  }
  return batch;
}

verdict ToVerdict(peer::RunState::type state, int error, const std::string& detail) {
  switch (state) {
    case peer::RunState::NOT_RUN:
      return NotRun(ErrorFromNumber(error), detail);
    case peer::RunState::RAN:
      return {.state = run_state::ran, .error = ErrorFromNumber(error), .detail = detail};
    case peer::RunState::MAY_HAVE_RUN:
      break;
  }
  // A newer host may send an unknown state; assume the weakest guarantee.
  return MayHaveRun(ErrorFromNumber(error), detail);
}

std::vector<attempt_result> FromThrift(const peer::ResultBatch& batch) {
  std::vector<attempt_result> results;
  results.reserve(batch.results.size());
  for (const peer::AttemptResult& message : batch.results) {
    results.push_back({.id = FromThrift(message.id),
                       .replica = message.replica,
                       .outcome = ToVerdict(message.state, message.error, message.detail),
                       .body = message.body,
                       .snapshot_version = message.snapshot_version,
                       .elapsed = duration(message.elapsed_us),
                       .limit = message.limit,
                       .in_flight = message.in_flight});
  }
  return results;
}

std::vector<peer::GossipEntry> ToThrift(const std::vector<gossip_entry>& entries) {
  std::vector<peer::GossipEntry> messages;
  messages.reserve(entries.size());
  for (const gossip_entry& entry : entries) {
    peer::GossipEntry message;
    message.key = entry.key;
    message.incarnation = entry.incarnation;
    message.version = entry.version;
    message.value = entry.value;
    messages.push_back(std::move(message));
  }
  return messages;
}

std::vector<gossip_entry> FromThrift(const std::vector<peer::GossipEntry>& entries) {
  std::vector<gossip_entry> values;
  values.reserve(entries.size());
  for (const peer::GossipEntry& entry : entries) {
    values.push_back({.key = entry.key,
                      .incarnation = entry.incarnation,
                      .version = entry.version,
                      .value = entry.value});
  }
  return values;
}

}  // namespace limpetlever
