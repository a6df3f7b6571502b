#include "backend_server.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace limpetlever {

namespace {

// Upper limit on how long a silent request holds its thread.
constexpr auto kMaxSilence = std::chrono::seconds(60);

void CloseWithoutResponse(Poco::Net::HTTPServerRequest& request) {
  dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
}

/**
 * Writes a complete response to the socket, bypassing Poco's response stream. Content-Length is
 * `excess` bytes larger than the body.
 */
void SendRawResponse(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response,
                     const std::string& body,
                     std::size_t excess) {
  response.setContentLength64(static_cast<Poco::Int64>(body.size() + excess));
  std::ostringstream text;
  response.write(text);
  text << body;
  const std::string bytes = text.str();
  dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().sendBytes(
      bytes.data(), static_cast<int>(bytes.size()));
}

/** Consumes one pending fault of a counter; false if none is left. */
bool ConsumeFault(int& count) {
  const bool is_pending = count > 0;
  count -= is_pending ? 1 : 0;
  return is_pending;
}

/** Returns -1 if the text does not begin with a number. */
std::int64_t ParseInteger(const std::string& text) {
  std::int64_t number = -1;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::int64_t UnixTimeMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

backend_server::backend_server(std::string ip, backend_settings settings, std::uint64_t seed)
    : ip_(std::move(ip)), settings_(std::move(settings)), random_(seed), port_(settings_.port) {
  Start();
}

backend_server::~backend_server() {
  {
    const std::lock_guard lock(mutex_);
    is_down_ = true;
  }
  state_changed_.notify_all();
  service_.reset();
}

void backend_server::Start() {
  {
    const std::lock_guard lock(mutex_);
    is_down_ = false;
    instance_id_ = std::to_string(UnixTimeMs()) + "-" + std::to_string(++instance_count_);
    work_time_ = {};
    seen_connections_.clear();
  }
  service_ = std::make_unique<http_service>(
      ip_, port_, settings_.connections,
      [this](auto& request, auto& response) { HandleRequest(request, response); });
  port_ = service_->port();
}

void backend_server::Tick() {
  std::unique_lock lock(mutex_);
  if (!is_down_) {
    return;
  }
  const bool is_due = clock::now() >= restart_at_;
  lock.unlock();
  service_.reset();
  if (is_due) {
    Start();
  }
}

backend_settings backend_server::settings() const {
  const std::lock_guard lock(mutex_);
  return settings_;
}

void backend_server::set_settings(const backend_settings& settings) {
  const std::lock_guard lock(mutex_);
  settings_ = settings;
}

void backend_server::Crash() {
  const std::lock_guard lock(mutex_);
  CrashLocked();
}

void backend_server::CrashLocked() {
  is_down_ = true;
  restart_at_ = clock::now() + std::chrono::milliseconds(settings_.restart_ms);
  state_changed_.notify_all();
}

std::string backend_server::FormatStatus() const {
  const double load = settings_.reported_load >= 0
                          ? settings_.reported_load
                          : static_cast<double>(running_ids_.size()) / std::max(1, settings_.slots);
  std::string text = R"({"instance_id":")" + instance_id_ + R"(","draining":)" +
                     (settings_.draining ? "true" : "false") + R"(,"load":)" +
                     std::to_string(load) + R"(,"slots":)" + std::to_string(settings_.slots) +
                     R"(,"versions":[)";
  const char* separator = "";
  for (const auto& [version, shard_count, shards] : settings_.versions) {
    text += separator;
    text += R"({"version":)" + std::to_string(version) + R"(,"shard_count":)" +
            std::to_string(shard_count) + R"(,"shards":[)";
    const char* comma = "";
    for (const int shard : shards) {
      text += comma + std::to_string(shard);
      comma = ",";
    }
    text += "]}";
    separator = ",";
  }
  return text + "]}";
}

std::string backend_server::Record() const {
  const std::lock_guard lock(mutex_);
  Poco::JSON::Object out(Poco::JSON_PRESERVE_KEY_ORDER);
  out.set("port", port_);
  out.set("service", settings_.service);
  out.set("data_centre", settings_.data_centre);
  out.set("instance_id", instance_id_);
  out.set("received", static_cast<Poco::Int64>(received_count_));
  out.set("shed", static_cast<Poco::Int64>(shed_count_));
  out.set("cancels", static_cast<Poco::Int64>(cancel_count_));
  out.set("greatest_running", max_running_);
  out.set("limit", Limit());
  out.set("over_limit", over_limit_count_);
  out.set("last_work_ms", static_cast<Poco::Int64>(last_work_ms_));
  Poco::JSON::Object ledger;
  for (const auto& [key, runs] : runs_by_key_) {
    ledger.set(key, runs);
  }
  out.set("ledger", ledger);
  std::ostringstream text;
  out.stringify(text);
  return text.str();
}

void backend_server::HandleRequest(Poco::Net::HTTPServerRequest& request,
                                   Poco::Net::HTTPServerResponse& response) {
  const std::string& path = request.getURI();
  const std::string cancel_prefix = "/cancel/";
  std::unique_lock lock(mutex_);
  if (is_down_) {
    lock.unlock();
    CloseWithoutResponse(request);
  } else if (path == "/status") {
    const std::string text = FormatStatus();
    lock.unlock();
    SendResponse(response, 200, text);
  } else if (path.starts_with(cancel_prefix)) {
    const std::string id = path.substr(cancel_prefix.size());
    ++cancel_count_;
    if (running_ids_.contains(id)) {
      cancelled_ids_.insert(id);
    }
    lock.unlock();
    state_changed_.notify_all();
    SendResponse(response, 200, "");
  } else {
    lock.unlock();
    HandleWork(request, response);
  }
}

void backend_server::HandleWork(Poco::Net::HTTPServerRequest& request,
                                Poco::Net::HTTPServerResponse& response) {
  const std::string path = request.getURI();
  const std::string body = ReadBody(request);
  const std::string id = request.get("X-Request-Id", "");
  const std::string key = request.get("X-Idempotency-Key", "");
  const std::int64_t version = ParseInteger(request.get("X-Snapshot-Version", "0"));
  const bool is_submission = path == "/submit";
  const std::string shard_prefix = "/shard/";
  const int shard = path.starts_with(shard_prefix)
                        ? static_cast<int>(ParseInteger(path.substr(shard_prefix.size())))
                        : 0;
  std::unique_lock lock(mutex_);
  response.setKeepAlive(true);
  response.set("X-Instance-Id", instance_id_);
  response.set("X-Snapshot-Version", std::to_string(version));
  response.set("X-Request-Id", id);
  response.set("X-Shard", std::to_string(shard));
  const auto refuse = [&](int status, bool is_not_run) {
    ++shed_count_;
    lock.unlock();
    if (is_not_run) {
      response.set("X-Not-Run", "1");
    }
    SendResponse(response, status, "");
  };
  ++received_count_;
  if (settings_.connection_cost_us > 0 &&
      seen_connections_.insert(request.clientAddress().toString()).second) {
    state_changed_.wait_for(lock, std::chrono::microseconds(settings_.connection_cost_us),
                            [&] { return is_down_; });
  }
  if (settings_.silent_requests > 0) {
    --settings_.silent_requests;
    state_changed_.wait_for(lock, kMaxSilence, [&] { return is_down_; });
    lock.unlock();
    CloseWithoutResponse(request);
    return;
  }
  if (settings_.draining) {
    return refuse(503, true);
  }
  const bool is_shard_held = std::any_of(
      settings_.versions.begin(), settings_.versions.end(), [&](const held_version& candidate) {
        return candidate.version == version &&
               std::find(candidate.shards.begin(), candidate.shards.end(), shard) !=
                   candidate.shards.end();
      });
  if (!is_submission && !is_shard_held) {
    return refuse(410, true);
  }
  if (static_cast<int>(running_ids_.size()) >= Limit()) {
    ++over_limit_count_;
    return refuse(IsCold() && settings_.fails_when_cold ? 500 : 503,
                  !(IsCold() && settings_.fails_when_cold));
  }
  last_work_ms_ = UnixTimeMs();
  running_ids_.insert(id);
  max_running_ = std::max(max_running_, static_cast<int>(running_ids_.size()));
  if (!key.empty()) {
    ++runs_by_key_[key];
  }
  if (!settings_.crash_mark.empty() && body.find(settings_.crash_mark) != std::string::npos) {
    CrashLocked();
  }
  const bool is_straggler = random_.Unit() < settings_.straggler_share;
  const auto service_time = std::chrono::microseconds(static_cast<std::int64_t>(
      settings_.service_time_us * (is_straggler ? settings_.straggler_factor : 1.0)));
  state_changed_.wait_for(lock, service_time,
                          [&] { return is_down_ || cancelled_ids_.contains(id); });
  running_ids_.erase(id);
  const bool is_cancelled = cancelled_ids_.erase(id) > 0;
  work_time_ += service_time;
  const bool is_down = is_down_;
  const bool is_answered = !is_down && !is_cancelled;
  const bool is_short = is_answered && ConsumeFault(settings_.short_answers);
  const bool is_crossed = is_answered && !is_short && ConsumeFault(settings_.crossed_answers);
  const bool is_duplicated =
      is_answered && !is_short && !is_crossed && ConsumeFault(settings_.duplicated_answers);
  lock.unlock();
  if (is_down) {
    CloseWithoutResponse(request);
  } else if (is_cancelled) {
    SendResponse(response, 499, "cancelled");
  } else {
    const std::string text =
        "shard " + std::to_string(shard) + " of " + std::to_string(version) + ": " + body;
    if (is_short) {
      SendRawResponse(request, response, text, 10);
      CloseWithoutResponse(request);
      return;
    }
    if (is_crossed) {
      response.set("X-Request-Id", "of another request");
    }
    if (is_duplicated) {
      SendRawResponse(request, response, text, 0);
    }
    SendResponse(response, 200, text);
  }
}

}  // namespace limpetlever
