#include "key_value_service.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>

#include <chrono>
#include <cstdlib>
#include <thread>

namespace limpetlever {

namespace {

constexpr int kThreads = 128;

}  // namespace

key_value_service::key_value_service(const std::string& ip, int port)
    : service_(ip, port, kThreads, [this](auto& request, auto& response) {
        HandleRequest(request, response);
      }) {}

void key_value_service::HandleRequest(Poco::Net::HTTPServerRequest& request,
                                      Poco::Net::HTTPServerResponse& response) {
  const Poco::URI uri(request.getURI());
  const std::string& path = uri.getPath();
  const std::string prefix = "/kv/";
  if (!path.starts_with(prefix)) {
    SendResponse(response, 404, "");
    return;
  }
  const std::string key = path.substr(prefix.size());
  std::map<std::string, std::int64_t> parameters;
  for (const auto& [name, value] : uri.getQueryParameters()) {
    parameters[name] = std::strtoll(value.c_str(), nullptr, 10);
  }
  const bool is_write = request.getMethod() == "PUT";
  const std::string body = is_write ? ReadBody(request) : "";
  std::unique_lock lock(mutex_);
  ++calls_by_kind_[is_write ? "write" : parameters.contains("after") ? "watch" : "read"];
  const key_value_faults faults = faults_;
  RemoveExpired();
  lock.unlock();
  if (faults.latency_ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(faults.latency_ms));
  }
  if (faults.outage) {
    SendResponse(response, 503, "");
    return;
  }
  if (is_write) {
    HandlePut(key, parameters["revision"], parameters["lease_ms"], body, request, response);
  } else {
    HandleGet(key, parameters.contains("after") ? parameters["after"] : -1, parameters["wait_ms"],
              response);
  }
}

void key_value_service::set_faults(const key_value_faults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

key_value_faults key_value_service::faults() const {
  const std::lock_guard lock(mutex_);
  return faults_;
}

std::string key_value_service::Counters() const {
  const std::lock_guard lock(mutex_);
  std::string text = "{";
  for (const auto& [kind, count] : calls_by_kind_) {
    text += (text.size() > 1 ? ",\"" : "\"") + kind + "\":" + std::to_string(count);
  }
  return text + "}";
}

void key_value_service::RemoveExpired() {
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(entries_, [&](const auto& item) {
    return item.second.lease_end && *item.second.lease_end <= now;
  });
}

void key_value_service::HandleGet(const std::string& key,
                                  std::int64_t after,
                                  std::int64_t wait_ms,
                                  Poco::Net::HTTPServerResponse& response) {
  std::unique_lock lock(mutex_);
  const auto is_newer = [&] {
    const auto found = entries_.find(key);
    return found != entries_.end() && found->second.revision > after;
  };
  if (after >= 0 && !entry_changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), is_newer)) {
    lock.unlock();
    response.setStatus(Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED);
    response.setContentLength(0);
    response.send();
    return;
  }
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    lock.unlock();
    SendResponse(response, 404, "");
    return;
  }
  const stored_value entry = found->second;
  lock.unlock();
  response.set("X-Revision", std::to_string(entry.revision));
  SendResponse(response, 200, entry.value);
}

void key_value_service::HandlePut(const std::string& key,
                                  std::int64_t revision,
                                  std::int64_t lease_ms,
                                  const std::string& value,
                                  Poco::Net::HTTPServerRequest& request,
                                  Poco::Net::HTTPServerResponse& response) {
  std::unique_lock lock(mutex_);
  const auto found = entries_.find(key);
  if ((found == entries_.end() ? 0 : found->second.revision) != revision) {
    lock.unlock();
    SendResponse(response, 409, "");
    return;
  }
  stored_value& entry = entries_[key];
  entry = {.value = value, .revision = ++last_revision_, .lease_end = {}};
  if (lease_ms > 0) {
    entry.lease_end = std::chrono::steady_clock::now() + std::chrono::milliseconds(lease_ms);
  }
  const std::int64_t new_revision = entry.revision;
  const bool is_answer_lost = faults_.lost_answers > 0;
  faults_.lost_answers -= is_answer_lost ? 1 : 0;
  lock.unlock();
  entry_changed_.notify_all();
  if (is_answer_lost) {
    dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
    return;
  }
  response.set("X-Revision", std::to_string(new_revision));
  SendResponse(response, 200, "");
}

}  // namespace limpetlever
