#include "server/peer_handler.h"

#include "server/coordinator.h"
#include "server/host_metrics.h"
#include "server/host_server.h"
#include "server/membership_service.h"
#include "server/ownership_service.h"
#include "server/replica_owner.h"
#include "server/submission_service.h"
#include "transport/peer_codec.h"

namespace limpetlever {

void peer_handler::Attempts(const peer::AttemptBatch& batch) {
  server_.owner().Handle(batch.coordinator, FromThrift(batch));
}

void peer_handler::Results(const peer::ResultBatch& batch) {
  server_.queries().OnResults(FromThrift(batch));
}

void peer_handler::Cancel(const peer::CancelBatch& batch) {
  std::vector<attempt_id> ids;
  ids.reserve(batch.ids.size());
  for (const peer::AttemptId& id : batch.ids) {
    ids.push_back(FromThrift(id));
  }
  server_.owner().Cancel(ids);
}

void peer_handler::Push(const std::vector<peer::GossipEntry>& entries) {
  server_.metrics().OnGossip(entries);
  for (const gossip_entry& entry : FromThrift(entries)) {
    server_.gossip().Put(entry);
  }
}

void peer_handler::Exchange(peer::ExchangeReply& reply, const peer::ExchangeRequest& request) {
  reply.sender = server_.state().self().name;
  reply.incarnation = server_.state().self().incarnation;
  reply.is_equal = request.digest_hash == static_cast<std::int64_t>(server_.gossip().DigestHash());
  if (reply.is_equal || request.digest.empty()) {
    return;
  }
  gossip_digest digest;
  for (const peer::GossipDigest& item : request.digest) {
    digest.push_back(
        {.key = item.key, .incarnation = item.incarnation, .version = item.version, .value = {}});
  }
  reply.entries = ToThrift(server_.gossip().EntriesNewerThan(digest));
  reply.wanted = server_.gossip().KeysOlderThan(digest);
}

bool peer_handler::Probe(const std::string& target, const std::string& asker) {
  return server_.membership().HandleProbe(target, asker);
}

void peer_handler::Freshness(peer::FreshnessReply& reply) {
  const view_report report = server_.ownership().Report();
  reply.sender = server_.state().self().name;
  reply.incarnation = server_.state().self().incarnation;
  reply.view_epoch = report.epoch;
  reply.table_version = report.table_version;
  reply.attests = report.attests;
  reply.age_us = report.confirmation_age ? report.confirmation_age->count() : -1;
}

bool peer_handler::CloseEpoch(const std::string& region, std::int64_t epoch) {
  return server_.ownership().CloseEpoch(region, epoch);
}

void peer_handler::Release(const std::string& host, std::int64_t epoch) {
  server_.ownership().OnRelease(host, epoch);
}

void peer_handler::Submit(peer::SubmitReply& reply, const peer::SubmitRequest& request) {
  const submission_answer answer =
      server_.submissions().RunLocally(request.workload, request.key, request.body,
                                       std::chrono::milliseconds(request.time_limit_ms));
  reply.state = static_cast<peer::RunState::type>(answer.outcome.state);
  reply.error = answer.outcome.error.value();
  reply.detail = answer.outcome.detail;
  reply.body = answer.body;
  reply.claim = answer.claim;
}

}  // namespace limpetlever
