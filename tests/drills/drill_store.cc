#include "drills/drill_store.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "base/json_document.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/http_text.h"
#include "net/server_connection.h"
#include "net/socket.h"
#include "platform/base64.h"

namespace limpetlever {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kTick = milliseconds(50);
constexpr duration kCopyInterval = milliseconds(100);
constexpr duration kCopiesKept = seconds(30);
constexpr std::size_t kHistoryEvents = 20'000;
constexpr std::size_t kPageItems = 500;
constexpr std::int64_t kMaxWaitMs = 30'000;

std::string Parameter(std::string_view target, std::string_view name) {
  std::size_t at = target.find('?');
  while (at != std::string_view::npos) {
    const std::size_t begin = at + 1;
    const std::size_t end = target.find('&', begin);
    const std::string_view part = target.substr(begin, end - begin);
    if (part.size() > name.size() && part.starts_with(name) && part[name.size()] == '=') {
      return PercentDecode(part.substr(name.size() + 1));
    }
    at = end;
  }
  return {};
}

std::int64_t NumberParameter(std::string_view target, std::string_view name) {
  return std::strtoll(Parameter(target, name).c_str(), nullptr, 10);
}

std::string Quote(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
    }
    out += c;
  }
  return out + "\"";
}

std::string ToJson(const std::string& key, const drill_store::item& item) {
  return "{\"key\":" + Quote(key) + ",\"value\":\"" + platform::EncodeBase64(item.value) +
         "\",\"revision\":" + std::to_string(item.revision) +
         ",\"createdRev\":" + std::to_string(item.created) +
         ",\"lease\":" + std::to_string(item.lease) + "}";
}

}  // namespace

drill_store::drill_store(event_loop& loop, const socket_address& address, change_function on_change)
    : loop_(loop), address_(address), on_change_(std::move(on_change)) {
  server_ = std::make_unique<http_server>(loop_, std::move(Listen(address_).value()),
                                          [this](const auto& caller) { Handle(caller); });
  server_->SetLimits({.idle_timeout = seconds(3600)});
  loop_.timers().SubscribeEvery(loop_.Now(), kTick, [this](instant now) { OnTick(now); });
}

drill_store::~drill_store() = default;

const drill_store::item* drill_store::Find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second;
}

std::vector<std::string> drill_store::Keys(std::string_view prefix) const {
  std::vector<std::string> keys;
  for (const auto& [key, value] : items_) {
    if (key.starts_with(prefix)) {
      keys.push_back(key);
    }
  }
  return keys;
}

bool drill_store::Write(const std::string& key,
                        const std::string& value,
                        const std::string& content) {
  if (!IsUp()) {
    return false;
  }
  const auto found = items_.find(key);
  if (found != items_.end() && found->second.content == content) {
    found->second.value = value;
  } else {
    PutItem(key, {.value = value, .content = content});
  }
  return true;
}

bool drill_store::Remove(const std::string& key) {
  if (!IsUp()) {
    return false;
  }
  RemoveItem(key);
  return true;
}

void drill_store::GoAway(mode_type mode) {
  mode_ = mode;
  away_since_ = loop_.Now();
  for (watch& waiting : std::exchange(watches_, {})) {
    if (mode == mode_type::closed) {
      waiting.caller->Abort();
    } else {
      unanswered_.push_back(std::move(waiting.caller));
    }
  }
}

void drill_store::ReturnFromCopy(duration age) {
  auto chosen = copies_.begin();
  while (std::next(chosen) != copies_.end() && std::next(chosen)->time <= away_since_ - age) {
    ++chosen;
  }
  const std::map<std::string, item> lost = std::exchange(items_, chosen->items);
  leases_ = chosen->leases;
  for (auto& [id, entry] : leases_) {
    entry.ends = loop_.Now() + entry.ttl;
  }
  revision_ = chosen->revision;
  history_.clear();
  history_start_ = revision_;
  copies_.erase(std::next(chosen), copies_.end());
  ++era_;
  mode_ = mode_type::up;
  for (const auto& [key, item] : lost) {
    if (!items_.contains(key)) {
      on_change_(key, nullptr);
    }
  }
  for (const auto& [key, item] : items_) {
    const auto found = lost.find(key);
    if (found == lost.end() || found->second.content != item.content) {
      on_change_(key, &item.value);
    }
  }
}

void drill_store::PutItem(const std::string& key, item written) {
  ++revision_;
  item& entry = items_[key];
  written.revision = revision_;
  written.created = entry.created == 0 ? revision_ : entry.created;
  entry = std::move(written);
  history_.push_back({.key = key, .revision = revision_, .written = entry});
  on_change_(key, &entry.value);
}

bool drill_store::RemoveItem(const std::string& key) {
  if (items_.erase(key) == 0) {
    return false;
  }
  ++revision_;
  history_.push_back({.key = key, .revision = revision_, .written = std::nullopt});
  on_change_(key, nullptr);
  return true;
}

void drill_store::EndLease(std::int64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, entry] : items_) {
    if (entry.lease == id) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    RemoveItem(key);
  }
}

void drill_store::OnTick(instant now) {
  if (!IsUp()) {
    return;
  }
  std::vector<std::int64_t> ended;
  for (const auto& [id, entry] : leases_) {
    if (entry.ends <= now) {
      ended.push_back(id);
    }
  }
  for (const std::int64_t id : ended) {
    EndLease(id);
  }
  while (history_.size() > kHistoryEvents) {
    history_start_ = history_.front().revision;
    history_.pop_front();
  }
  if (copies_.empty() || now - copies_.back().time >= kCopyInterval) {
    TakeCopy(now);
  }
  AnswerWatches(now);
}

void drill_store::TakeCopy(instant now) {
  copies_.push_back({.time = now, .revision = revision_, .items = items_, .leases = leases_});
  while (copies_.front().time < now - kCopiesKept) {
    copies_.pop_front();
  }
}

std::string drill_store::EventsOf(const watch& waiting) const {
  std::string list;
  const auto first = std::upper_bound(
      history_.begin(), history_.end(), waiting.after,
      [](std::int64_t revision, const event& change) { return revision < change.revision; });
  for (auto change = first; change != history_.end(); ++change) {
    if (!change->key.starts_with(waiting.prefix)) {
      continue;
    }
    list += list.empty() ? "" : ",";
    list += change->written
                ? ToJson(change->key, *change->written)
                : "{\"key\":" + Quote(change->key) +
                      ",\"revision\":" + std::to_string(change->revision) + ",\"tombstone\":true}";
  }
  return list;
}

void drill_store::AnswerWatches(instant now) {
  std::vector<watch> kept;
  for (watch& waiting : std::exchange(watches_, {})) {
    const std::string events = EventsOf(waiting);
    if (events.empty() && now < waiting.deadline) {
      kept.push_back(std::move(waiting));
    } else {
      Answer(waiting.caller, 200,
             "{\"events\":[" + events + "],\"currentRev\":" + std::to_string(revision_) + "}");
    }
  }
  watches_.insert(watches_.begin(), std::make_move_iterator(kept.begin()),
                  std::make_move_iterator(kept.end()));
}

void drill_store::Answer(const std::shared_ptr<server_connection>& caller,
                         int status,
                         std::string_view body) {
  std::string head;
  AppendStatusLine(head, status);
  AppendField(head, "Content-Type", "application/json");
  AppendField(head, "Store-Era", std::to_string(era_));
  caller->Answer(head, body);
}

void drill_store::Handle(const std::shared_ptr<server_connection>& caller) {
  switch (mode_) {
    case mode_type::up:
      break;
    case mode_type::closed:
      caller->Abort();
      return;
    case mode_type::silent:
      unanswered_.push_back(caller);
      return;
    case mode_type::refused:
      Answer(caller, 503, "{}");
      return;
  }
  const std::string target = caller->request().target;
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/kv-range") {
    HandleRange(caller, target);
  } else if (path == "/kv-watch") {
    HandleWatch(caller, target);
  } else if (path == "/kv-txn") {
    std::string body = "{}";
    const int status = Transact(caller->request().body, body);
    Answer(caller, status, body);
  } else if (path == "/kv-key") {
    const std::string key = Parameter(target, "key");
    const item* found = Find(key);
    Answer(caller, found != nullptr ? 200 : 404, found != nullptr ? ToJson(key, *found) : "{}");
  } else {
    HandleLease(caller, path);
  }
}

void drill_store::HandleRange(const std::shared_ptr<server_connection>& caller,
                              std::string_view target) {
  const std::string prefix = Parameter(target, "prefix");
  const std::string after = Parameter(target, "after");
  std::string list;
  std::size_t count = 0;
  bool has_more = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
      continue;
    }
    has_more = count == kPageItems;
    if (has_more) {
      break;
    }
    list += (count++ == 0 ? "" : ",") + ToJson(key, item);
  }
  Answer(caller, 200,
         "{\"items\":[" + list + "],\"hasMore\":" + (has_more ? "true" : "false") +
             ",\"currentRev\":" + std::to_string(revision_) + "}");
}

void drill_store::HandleWatch(const std::shared_ptr<server_connection>& caller,
                              std::string_view target) {
  const std::int64_t after = NumberParameter(target, "after");
  if (after > revision_ || after < history_start_) {
    Answer(caller, 410, "{}");
    return;
  }
  const auto wait = milliseconds(std::min(NumberParameter(target, "waitMs"), kMaxWaitMs));
  watches_.push_back({.caller = caller,
                      .prefix = Parameter(target, "prefix"),
                      .after = after,
                      .deadline = loop_.Now() + wait});
}

void drill_store::HandleLease(const std::shared_ptr<server_connection>& caller,
                              const std::string& path) {
  const std::int64_t id = std::strtoll(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
  if (path == "/kv-lease") {
    const auto call = ParseJsonObject(caller->request().body, "call");
    const std::int64_t ttl_ms = call ? IntegerMember(**call, "ttlMs").value_or(1000) : 1000;
    leases_[++last_lease_] = {.ttl = milliseconds(ttl_ms),
                              .ends = loop_.Now() + milliseconds(ttl_ms)};
    Answer(
        caller, 200,
        "{\"lease\":" + std::to_string(last_lease_) + ",\"ttlMs\":" + std::to_string(ttl_ms) + "}");
  } else if (path.starts_with("/kv-keep/")) {
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
      Answer(caller, 404, "{}");
      return;
    }
    found->second.ends = loop_.Now() + found->second.ttl;
    const auto ttl = std::chrono::duration_cast<milliseconds>(found->second.ttl);
    Answer(caller, 200, "{\"ttlMs\":" + std::to_string(ttl.count()) + "}");
  } else if (path.starts_with("/kv-lease-end/")) {
    EndLease(id);
    Answer(caller, 200, "{}");
  } else {
    Answer(caller, 404, "{}");
  }
}

int drill_store::Transact(const std::string& text, std::string& body) {
  const auto call = ParseJsonObject(text, "call");
  if (!call) {
    return 400;
  }
  const auto rows_of = [&call](const char* name) {
    const rapidjson::Value* found = FindMember(**call, name);
    std::vector<const rapidjson::Value*> rows;
    if (found != nullptr && found->IsArray()) {
      for (const rapidjson::Value& row : found->GetArray()) {
        rows.push_back(&row);
      }
    }
    return rows;
  };
  for (const rapidjson::Value* row : rows_of("precondition")) {
    const item* found = Find(StringMember(*row, "key").value_or(""));
    if ((found == nullptr ? 0 : found->revision) != IntegerMember(*row, "revision").value_or(-1)) {
      body = "{\"items\":[]}";
      return 412;
    }
  }
  for (const rapidjson::Value* row : rows_of("puts")) {
    const std::int64_t id = IntegerMember(*row, "lease").value_or(0);
    if (id != 0 && !leases_.contains(id)) {
      return 404;
    }
  }
  for (const rapidjson::Value* row : rows_of("puts")) {
    const std::string value =
        platform::DecodeBase64(StringMember(*row, "value").value_or("")).value_or("");
    PutItem(StringMember(*row, "key").value_or(""),
            {.value = value, .content = value, .lease = IntegerMember(*row, "lease").value_or(0)});
  }
  for (const rapidjson::Value* row : rows_of("deletes")) {
    RemoveItem(row->GetString());
  }
  body = "{\"revision\":" + std::to_string(revision_) + "}";
  return 200;
}

}  // namespace limpetlever
