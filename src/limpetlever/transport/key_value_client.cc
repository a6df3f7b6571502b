#include "transport/key_value_client.h"

#include <charconv>
#include <utility>

#include "base/errc.h"
#include "transport/http_fetch.h"

namespace limpetlever {

namespace {

constexpr duration kCallTimeLimit = std::chrono::seconds(1);

std::int64_t ParseRevision(const http_reply& reply) {
  const std::string text = HeaderValue(reply, "x-revision");
  std::int64_t revision = 0;
  std::from_chars(text.data(), text.data() + text.size(), revision);
  return revision;
}

failure StoreUnavailable(const std::string& message) {
  return {errc::store_unavailable, "key-value service: " + message};
}

}  // namespace

key_value_client::key_value_client(std::string address) : address_(std::move(address)) {}

result<key_value_entry> key_value_client::Get(const std::string& key) {
  ++reads_;
  const auto reply =
      HttpFetch({.address = address_, .path = "/kv/" + key, .time_limit = kCallTimeLimit});
  if (!reply) {
    return StoreUnavailable(reply.error().message);
  }
  if (reply->status == 404) {
    return failure{errc::not_found, "key-value service: no value for " + key};
  }
  if (reply->status != 200) {
    return StoreUnavailable("status " + std::to_string(reply->status));
  }
  return key_value_entry{.value = reply->body, .revision = ParseRevision(*reply)};
}

result<std::int64_t> key_value_client::Put(const std::string& key,
                                           const std::string& value,
                                           std::int64_t revision) {
  ++writes_;
  const auto reply = HttpFetch({.address = address_,
                                .method = "PUT",
                                .path = "/kv/" + key + "?revision=" + std::to_string(revision),
                                .body = value,
                                .time_limit = kCallTimeLimit});
  if (!reply) {
    if (reply.error().code == errc::connection_failed) {
      return StoreUnavailable(reply.error().message);
    }
    return failure{errc::store_outcome_unknown, "key-value service: " + reply.error().message};
  }
  switch (reply->status) {
    case 200:
      return ParseRevision(*reply);
    case 409:
      return failure{errc::store_conflict, "key-value service: " + key + " has another revision"};
    case 503:
      return StoreUnavailable("status 503");
    default:
      return failure{errc::store_outcome_unknown,
                     "key-value service: status " + std::to_string(reply->status)};
  }
}

result<std::optional<key_value_entry>> key_value_client::Watch(const std::string& key,
                                                               std::int64_t after,
                                                               duration wait) {
  ++reads_;
  const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const auto reply = HttpFetch({.address = address_,
                                .path = "/kv/" + key + "?after=" + std::to_string(after) +
                                        "&wait_ms=" + std::to_string(wait_ms),
                                .time_limit = wait + kCallTimeLimit});
  if (!reply) {
    return StoreUnavailable(reply.error().message);
  }
  if (reply->status == 304 || reply->status == 404) {
    return std::optional<key_value_entry>();
  }
  if (reply->status != 200) {
    return StoreUnavailable("status " + std::to_string(reply->status));
  }
  return std::optional(key_value_entry{.value = reply->body, .revision = ParseRevision(*reply)});
}

}  // namespace limpetlever
