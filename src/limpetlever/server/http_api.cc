#include "server/http_api.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <utility>

#include "base/errc.h"
#include "base/hash.h"
#include "base/json_reader.h"
#include "membership/address_advice.h"
#include "membership/advice_request.h"
#include "server/api_format.h"
#include "server/coordinator.h"
#include "server/crash_service.h"
#include "server/host_metrics.h"
#include "server/host_server.h"
#include "server/submission_service.h"
#include "transport/monotonic_clock.h"

namespace limpetlever {

namespace {

constexpr int kMaxDeadlineMs = 600'000;

/** A table with its JSON envelope may be somewhat larger than the stored table. */
constexpr std::size_t kMaxTableBodyBytes = 2 * 1'048'576;

constexpr const char* kSubmissionsPrefix = "/v1/submissions/";
constexpr const char* kMetricsContentType = "text/plain; version=0.0.4";
// A query that loses backend servers of this many shards is blocked as a whole.
constexpr int kMinLostShardsToBlock = 2;
constexpr std::int64_t kDefaultSubmitDeadlineMs = 5000;
constexpr std::int64_t kMaxSubmitDeadlineMs = 10'000;

std::string FormatError(const verdict& outcome) {
  if (!outcome.error) {
    return "";
  }
  return outcome.error.message() + (outcome.detail.empty() ? "" : ": " + outcome.detail);
}

std::string ParameterOr(const api_request& request,
                        const std::string& name,
                        const std::string& fallback) {
  const auto found = request.parameters.find(name);
  return found == request.parameters.end() ? fallback : found->second;
}

/**
 * Removes the hosts of the region that are not yet in its view, since they would refuse all work.
 * If no host would be left, all stay.
 */
void ExcludeJoiningHosts(const ownership_view& view,
                         const std::string& region,
                         std::vector<member>& hosts) {
  std::vector<member> ready = hosts;
  std::erase_if(ready, [&](const member& host) {
    return host.region == region && std::none_of(view.members.begin(), view.members.end(),
                                                 [&host](const view_member& known) {
                                                   return known.name == host.name &&
                                                          known.incarnation == host.incarnation;
                                                 });
  });
  if (!ready.empty()) {
    hosts = std::move(ready);
  }
}

api_response FormatAnswer(std::uint64_t id, const query_answer& answer) {
  Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("query_id", std::to_string(id));
  object.set("verdict", ToString(answer.outcome.state));
  object.set("complete", IsComplete(answer));
  object.set("snapshot_version", answer.snapshot_version);
  object.set("shard_count", answer.shard_count);
  object.set("shards_answered", answer.answers.size());
  Poco::JSON::Array::Ptr missing = new Poco::JSON::Array;
  for (const missing_shard& shard : answer.missing) {
    Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
    item->set("shard", shard.shard);
    item->set("reason", shard.reason);
    missing->add(item);
  }
  object.set("shards_missing", missing);
  Poco::JSON::Array::Ptr results = new Poco::JSON::Array;
  for (const shard_answer& shard : answer.answers) {
    Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
    item->set("shard", shard.shard);
    item->set("body", shard.body);
    results->add(item);
  }
  object.set("results", results);
  object.set("elapsed_ms", static_cast<double>(answer.elapsed.count()) / 1000.0);
  object.set("attempts", answer.attempts);
  object.set("error", FormatError(answer.outcome));
  return {.status = HttpStatus(answer.outcome), .body = FormatJson(object)};
}

}  // namespace

api_response http_api::Handle(const api_request& request) {
  const std::string allowed = AllowedMethods(request.path);
  if (allowed.empty()) {
    return ErrorResponse(404, "no such path: " + request.path.substr(0, 200));
  }
  if ((", " + allowed + ",").find(", " + request.method + ",") == std::string::npos) {
    return ErrorResponse(405, request.path + " allows " + allowed);
  }
  if (request.path == "/v1/query") {
    return HandleQuery(request);
  }
  if (request.path == "/v1/hosts") {
    return HandleHosts(request);
  }
  if (request.path == "/v1/submit") {
    return HandleSubmit(request);
  }
  if (request.path.starts_with(kSubmissionsPrefix)) {
    return HandleSubmission(request);
  }
  if (request.path == "/metrics") {
    return {.status = 200,
            .body = server_.metrics().FormatPrometheusText(),
            .content_type = kMetricsContentType};
  }
  if (request.path == "/v1/table") {
    return request.method == "GET" ? table_.Get(request) : table_.Post(request);
  }
  return request.path == "/v1/events" ? events_.Get(request) : status_.Get(request);
}

std::size_t http_api::MaxBodyBytes(const api_request& request) const {
  return request.path == "/v1/table" ? kMaxTableBodyBytes
                                     : static_cast<std::size_t>(server_.settings().max_body_bytes);
}

std::string http_api::AllowedMethods(const std::string& path) {
  if (path == "/v1/query" || path == "/v1/submit") {
    return "POST";
  }
  if (path.starts_with(kSubmissionsPrefix) || path == "/metrics") {
    return "GET";
  }
  if (path == "/v1/table") {
    return "GET, POST";
  }
  return path == "/v1/hosts" || path == "/v1/status" || path == "/v1/events" ? "GET" : "";
}

api_response http_api::HandleHosts(const api_request& request) {
  const auto table = server_.state().table();
  advice_request advice{
      .caller = request.caller,
      .data_centre = ParameterOr(request, "data_centre", ""),
      .members = server_.state().members(),
      .taken_out_hosts = {table->taken_out_hosts.begin(), table->taken_out_hosts.end()},
      .taken_out_data_centres = {},
      .host_weights = {},
      .data_centre_weights = {}};
  ExcludeJoiningHosts(*server_.state().view(), server_.state().self().region, advice.members);
  for (const data_centre_row& row : table->data_centres) {
    advice.data_centre_weights[row.name] = row.weight;
    if (row.taken_out) {
      advice.taken_out_data_centres.insert(row.name);
    }
  }
  Poco::JSON::Array::Ptr addresses = new Poco::JSON::Array;
  for (const std::string& address : AdviseAddresses(advice).http_addresses) {
    addresses->add(address);
  }
  Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("addresses", addresses);
  object.set("lifetime_ms", server_.settings().address_lifetime_ms);
  return {.status = 200, .body = FormatJson(object)};
}

api_response http_api::HandleSubmit(const api_request& request) {
  const auto root = json_reader::ParseText(request.body, "body");
  if (!root) {
    return ErrorResponse(400, root.error().message);
  }
  json_reader in(*root, "");
  const std::string workload = in.String("workload");
  const std::string key = in.String("key");
  const std::string body = in.StringOr("body", "");
  const auto table = server_.state().table();
  const workload_row* row = FindWorkload(*table, workload);
  const std::int64_t deadline_ms =
      in.IntegerOr("deadline_ms", 1, kMaxSubmitDeadlineMs, kDefaultSubmitDeadlineMs);
  if (key.empty() || key.size() > kMaxKeyBytes) {
    in.Fail("key", "must have 1 to " + std::to_string(kMaxKeyBytes) + " bytes");
  }
  if (const auto error = in.Finish()) {
    return ErrorResponse(400, error->message);
  }
  if (row == nullptr || row->kind != request_kind::submission) {
    return ErrorResponse(
        400, "workload \"" + workload + "\" is not a workload of submissions in the table");
  }
  if (const std::error_code reason = server_.Readiness()) {
    return ErrorResponse(503, reason.message());
  }
  const instant started = MonotonicNow();
  const submission_answer answer =
      server_.submissions().Submit(workload, key, body, std::chrono::milliseconds(deadline_ms));
  server_.metrics().OnSubmission(workload, answer.outcome.state);
  Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("verdict", ToString(answer.outcome.state));
  object.set("key", key);
  object.set("claim", answer.claim);
  object.set("body", answer.body);
  object.set("elapsed_ms", static_cast<double>((MonotonicNow() - started).count()) / 1000.0);
  object.set("error", FormatError(answer.outcome));
  const bool is_conflict = answer.outcome.error == errc::key_reused;
  return {.status = is_conflict ? 409 : HttpStatus(answer.outcome), .body = FormatJson(object)};
}

api_response http_api::HandleSubmission(const api_request& request) {
  const std::string key = request.path.substr(std::string(kSubmissionsPrefix).size());
  const std::string workload = ParameterOr(request, "workload", "");
  if (key.empty() || workload.empty()) {
    return ErrorResponse(400, "the path needs a key and the parameter workload");
  }
  const auto record = server_.submissions().Lookup(workload, key);
  if (!record) {
    return ErrorResponse(record.error().code == errc::not_found ? 404 : 503,
                         record.error().message);
  }
  Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("key", key);
  object.set("state", ToString(record->state));
  object.set("claim", record->claim_id);
  object.set("body", record->result);
  object.set("expiry_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                              record->expiry.time_since_epoch())
                              .count());
  return {.status = 200, .body = FormatJson(object)};
}

api_response http_api::HandleQuery(const api_request& request) {
  const auto root = json_reader::ParseText(request.body, "body");
  if (!root) {
    return ErrorResponse(400, root.error().message);
  }
  json_reader in(*root, "");
  const std::string workload = in.String("workload");
  const auto table = server_.state().table();
  const workload_row* row = FindWorkload(*table, workload);
  query_request query{
      .id = server_.queries().NextQueryId(),
      .workload = workload,
      .body = std::make_shared<const std::string>(in.StringOr("body", "")),
      .time_limit = std::chrono::milliseconds(in.IntegerOr(
          "deadline_ms", 1, kMaxDeadlineMs, row == nullptr ? 1 : row->default_deadline_ms)),
      .urgent = in.Has("urgency") && in.StringOneOf("urgency", {"normal", "urgent"}) == "urgent",
      .wanted_coverage = in.NumberOr("wanted_coverage", 0.0, 1.0, 1.0),
      .fingerprint = 0};
  if (const auto error = in.Finish()) {
    return ErrorResponse(400, error->message);
  }
  if (row == nullptr) {
    return ErrorResponse(400, "workload \"" + workload + "\" has no row in the table");
  }
  if (row->kind != request_kind::query) {
    return ErrorResponse(400, "workload \"" + workload + "\" takes submissions, not queries");
  }
  if (const std::error_code reason = server_.Readiness()) {
    return ErrorResponse(503, reason.message());
  }
  query.fingerprint = CombineHashes(Hash(workload), Hash(*query.body));
  const std::uint64_t fingerprint = query.fingerprint;
  if (server_.crashes().IsBlocked(fingerprint)) {
    return ErrorResponse(503, std::error_code(errc::request_blocked).message());
  }
  const std::uint64_t id = query.id;
  const query_answer answer = server_.queries().Run(std::move(query));
  // Marks of one shard block only that shard. A query that loses servers of several shards is
  // probably the cause of the crashes and is blocked as a whole. If the cause was a failure of many
  // servers instead, the next complete answer of the query removes the block.
  if (IsComplete(answer)) {
    server_.crashes().OnCompleted(fingerprint);
  } else if (answer.shards_with_lost_connection >= kMinLostShardsToBlock) {
    server_.crashes().OnQueryLostServers(fingerprint);
  }
  server_.metrics().OnQuery(workload, answer);
  return FormatAnswer(id, answer);
}

}  // namespace limpetlever
