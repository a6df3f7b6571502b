#ifndef REVIEW_STANDIN_3_STORE_H_
#define REVIEW_STANDIN_3_STORE_H_

#include <rapidjson/document.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "server.h"

namespace review {

inline std::string EncodeBase64(std::string_view bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t block = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      block = block << 8 | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += j <= count ? kDigits[block >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

inline std::string DecodePercent(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out +=
          static_cast<char>(std::strtol(std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

/** The platform's store, as PROTOCOL.md describes it: keys, revisions, leases, watches. */
class store {
 public:
  store()
      : server_([this](connection& caller, message& request) { return Handle(caller, request); }) {
    std::thread([this] { ExpireLeases(); }).detach();
  }

  bool Start(const endpoint& at) { return server_.Start(at); }

  /** A write of the operator or of a server. */
  std::int64_t Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    return PutLocked(key, EncodeBase64(value), 0);
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    RemoveLocked(key);
  }
  std::vector<std::string> Keys(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> keys;
    for (const auto& [key, value] : items_) {
      if (key.starts_with(prefix)) {
        keys.push_back(key);
      }
    }
    return keys;
  }

  std::int64_t revision() {
    const std::lock_guard lock(mutex_);
    return revision_;
  }

  /** From now on calls get no answer, and their connections close. */
  void GoAway() {
    const std::lock_guard lock(mutex_);
    is_away_ = true;
    changed_.notify_all();
  }
  /** Copies all that the store holds. */
  void TakeCopy() {
    const std::lock_guard lock(mutex_);
    copy_items_ = items_;
    copy_leases_ = leases_;
    copy_revision_ = revision_;
  }
  /**
   * The store answers again, with what the copy holds: later writes and leases are gone, revisions
   * are given out again, and `Store-Era` rises by one.
   */
  void ComeBackFromCopy() {
    const std::lock_guard lock(mutex_);
    items_ = copy_items_;
    revision_ = copy_revision_;
    leases_ = copy_leases_;
    for (auto& [id, entry] : leases_) {
      entry.ends_ms = NowMs() + entry.ttl_ms;
    }
    history_.clear();
    history_start_ = revision_;
    ++era_;
    is_away_ = false;
    changed_.notify_all();
  }

 private:
  struct item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct event {
    std::string key;
    std::int64_t revision = 0;
    bool is_removed = false;
    item written;
  };
  struct lease {
    std::int64_t ttl_ms = 0;
    std::int64_t ends_ms = 0;
  };

  std::int64_t PutLocked(const std::string& key, std::string value, std::int64_t lease_id) {
    ++revision_;
    item& entry = items_[key];
    entry.value = std::move(value);
    entry.revision = revision_;
    entry.created = entry.created == 0 ? revision_ : entry.created;
    entry.lease = lease_id;
    history_.push_back({.key = key, .revision = revision_, .is_removed = false, .written = entry});
    changed_.notify_all();
    return revision_;
  }
  void RemoveLocked(const std::string& key) {
    if (items_.erase(key) > 0) {
      ++revision_;
      history_.push_back({.key = key, .revision = revision_, .is_removed = true, .written = {}});
      changed_.notify_all();
    }
  }
  void ExpireLeases() {
    for (;;) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      const std::lock_guard lock(mutex_);
      std::vector<std::int64_t> ended;
      for (const auto& [id, entry] : leases_) {
        if (entry.ends_ms <= NowMs() && !is_away_) {
          ended.push_back(id);
        }
      }
      for (const std::int64_t id : ended) {
        EndLease(id);
      }
    }
  }
  void EndLease(std::int64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, entry] : items_) {
      if (entry.lease == id) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      RemoveLocked(key);
    }
  }

  static std::string Parameter(const std::string& target, const std::string& name) {
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t begin = at + 1;
      const std::size_t end = target.find('&', begin);
      const std::string part = target.substr(begin, end - begin);
      if (part.starts_with(name + "=")) {
        return DecodePercent(part.substr(name.size() + 1));
      }
      at = end;
    }
    return {};
  }
  static std::string Quote(const std::string& text) {
    std::string out = "\"";
    for (const char c : text) {
      if (c == '"' || c == '\\') {
        out += '\\';
      }
      out += c;
    }
    return out + "\"";
  }
  static std::string ItemJson(const std::string& key, const item& entry) {
    return "{\"key\":" + Quote(key) + ",\"value\":\"" + entry.value +
           "\",\"revision\":" + std::to_string(entry.revision) +
           ",\"createdRev\":" + std::to_string(entry.created) +
           ",\"lease\":" + std::to_string(entry.lease) + "}";
  }

  bool Answer(connection& caller, int status, const std::string& body) {
    const std::string text = Response(
        status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}}, body);
    return caller.Write(text, NowMs() + 10'000);
  }

  bool Handle(connection& caller, message& request) {
    std::unique_lock lock(mutex_);
    if (is_away_) {
      return false;
    }
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/kv-watch") {
      return Watch(caller, request, lock);
    }
    int status = 200;
    std::string body;
    if (path == "/kv-range") {
      body = Range(request.target);
    } else if (path == "/kv-txn") {
      status = Transact(request.body, body);
    } else if (path == "/kv-lease") {
      rapidjson::Document document;
      document.Parse(request.body.c_str());
      const std::int64_t ttl =
          document.IsObject() && document.HasMember("ttlMs") ? document["ttlMs"].GetInt64() : 1000;
      const std::int64_t id = ++last_lease_;
      leases_[id] = {.ttl_ms = ttl, .ends_ms = NowMs() + ttl};
      body = "{\"lease\":" + std::to_string(id) + ",\"ttlMs\":" + std::to_string(ttl) + "}";
    } else if (path.starts_with("/kv-keep/")) {
      const auto found = leases_.find(std::atoll(path.substr(9).c_str()));
      status = found == leases_.end() ? 404 : 200;
      if (found != leases_.end()) {
        found->second.ends_ms = NowMs() + found->second.ttl_ms;
        body = "{\"ttlMs\":" + std::to_string(found->second.ttl_ms) + "}";
      }
    } else if (path.starts_with("/kv-lease-end/")) {
      EndLease(std::atoll(path.substr(14).c_str()));
      body = "{}";
    } else if (path == "/kv-key") {
      const std::string key = Parameter(request.target, "key");
      const auto found = items_.find(key);
      status = found == items_.end() ? 404 : 200;
      body = found == items_.end() ? "{}" : ItemJson(key, found->second);
    } else {
      status = 404;
      body = "{}";
    }
    lock.unlock();
    return Answer(caller, status, body);
  }

  std::string Range(const std::string& target) {
    constexpr std::size_t kPageItems = 500;
    const std::string prefix = Parameter(target, "prefix");
    const std::string after = Parameter(target, "after");
    std::string list;
    std::size_t count = 0;
    bool has_more = false;
    for (const auto& [key, entry] : items_) {
      if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
        continue;
      }
      if (count == kPageItems) {
        has_more = true;
        break;
      }
      list += (count++ == 0 ? "" : ",") + ItemJson(key, entry);
    }
    return "{\"items\":[" + list + "],\"hasMore\":" + (has_more ? "true" : "false") +
           ",\"currentRev\":" + std::to_string(revision_) + "}";
  }

  bool Watch(connection& caller, const message& request, std::unique_lock<std::mutex>& lock) {
    const std::string prefix = Parameter(request.target, "prefix");
    const std::int64_t after = std::atoll(Parameter(request.target, "after").c_str());
    const std::int64_t wait_ms = std::atoll(Parameter(request.target, "waitMs").c_str());
    const auto until =
        clock::now() + std::chrono::milliseconds(std::min<std::int64_t>(wait_ms, 30'000));
    const int era = era_;
    if (after > revision_ || after < history_start_) {
      lock.unlock();
      return Answer(caller, 410, "{}");
    }
    std::string list;
    for (;;) {
      if (is_away_ || era != era_) {
        return false;
      }
      for (const event& item : history_) {
        if (item.revision > after && item.key.starts_with(prefix)) {
          list += (list.empty() ? "" : ",") +
                  (item.is_removed ? "{\"key\":" + Quote(item.key) + ",\"revision\":" +
                                         std::to_string(item.revision) + ",\"tombstone\":true}"
                                   : ItemJson(item.key, item.written));
        }
      }
      if (!list.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) {
        break;
      }
    }
    const std::string body =
        "{\"events\":[" + list + "],\"currentRev\":" + std::to_string(revision_) + "}";
    lock.unlock();
    return Answer(caller, 200, body);
  }

  int Transact(const std::string& text, std::string& body) {
    rapidjson::Document document;
    document.Parse(text.c_str());
    if (!document.IsObject()) {
      body = "{}";
      return 400;
    }
    if (document.HasMember("precondition")) {
      for (const auto& row : document["precondition"].GetArray()) {
        const auto found = items_.find(row["key"].GetString());
        const std::int64_t revision = found == items_.end() ? 0 : found->second.revision;
        if (revision != row["revision"].GetInt64()) {
          body = "{\"items\":[]}";
          return 412;
        }
      }
    }
    for (const auto& row : document["puts"].GetArray()) {
      const std::int64_t id = row.HasMember("lease") ? row["lease"].GetInt64() : 0;
      if (id != 0 && !leases_.contains(id)) {
        body = "{}";
        return 404;
      }
    }
    for (const auto& row : document["puts"].GetArray()) {
      PutLocked(row["key"].GetString(), row["value"].GetString(),
                row.HasMember("lease") ? row["lease"].GetInt64() : 0);
    }
    for (const auto& key : document["deletes"].GetArray()) {
      RemoveLocked(key.GetString());
    }
    body = "{\"revision\":" + std::to_string(revision_) + "}";
    return 200;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::vector<event> history_;
  std::map<std::int64_t, lease> leases_;
  std::map<std::string, item> copy_items_;
  std::map<std::int64_t, lease> copy_leases_;
  std::int64_t copy_revision_ = 0;
  std::int64_t revision_ = 100;
  std::int64_t history_start_ = 100;
  std::int64_t last_lease_ = 1000;
  int era_ = 1;
  bool is_away_ = false;
  server server_;
};

}  // namespace review

#endif  // REVIEW_STANDIN_3_STORE_H_
