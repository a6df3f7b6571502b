#include "review/standin-2/stage.h"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <regex>

#include "net/http_text.h"
#include "net/server_connection.h"
#include "net/socket.h"

namespace review {

using limpetlever::AppendBody;
using limpetlever::AppendField;
using limpetlever::AppendRequestLine;
using limpetlever::AppendStatusLine;
using limpetlever::http_client;
using limpetlever::http_message;

namespace {

constexpr const char* kProgram = "target/limpetlever-node";
constexpr int kFirstPort = 10'000;
constexpr int kPortsPerProcess = 200;
constexpr int kRanges = 100;
// Three check-in intervals of silence remove an entry.
constexpr int kSilentIntervals = 3;

std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Text(const socket_address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

/** The entry without its count of check-ins. */
std::string WithoutSeq(const std::string& entry) {
  static const std::regex kSeq("\"seq\":[0-9]+,");
  return std::regex_replace(entry, kSeq, "");
}

}  // namespace

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// ---- replica_standin

replica_standin::replica_standin(stage& on, options from)
    : stage_(on), options_(std::move(from)), address_(on.FreeAddress()) {}

replica_standin::~replica_standin() = default;

bool replica_standin::is_cold() const {
  return stage_.loop().Now() < cold_until_;
}

std::string replica_standin::Entry(std::int64_t seq) const {
  const auto left = std::max<std::int64_t>(
      0, std::chrono::duration_cast<std::chrono::milliseconds>(cold_until_ - stage_.loop().Now())
             .count());
  return "{\"service\":\"" + options_.service + "\",\"address\":\"" + Text(address_) +
         "\",\"zone\":\"" + options_.zone +
         "\",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots) + ",\"state\":\"" +
         (is_draining_ ? "draining" : "ready") + "\",\"warmupLeftMs\":" + std::to_string(left) +
         ",\"seq\":" + std::to_string(seq) + ",\"born\":" + std::to_string(born_ms_) + "}";
}

void replica_standin::Start(bool is_cold, duration warm_up) {
  auto listener = limpetlever::Listen(address_);
  if (!listener) {
    stage_.Note("cannot listen: " + listener.error().message);
    return;
  }
  server_ = std::make_unique<http_server>(stage_.loop(), std::move(listener.value()),
                                          [this](const auto& caller) { Handle(caller); });
  born_ms_ = WallMs();
  seq_ = 0;
  checks_in_ = true;
  cold_until_ = is_cold ? stage_.loop().Now() + warm_up : instant();
  stage_.Note("replica " + id() + " starts at " + Text(address_) + (is_cold ? ", cold" : ""));
  CheckIn();
}

void replica_standin::CheckIn() {
  if (!checks_in_ || !server_) {
    return;
  }
  stage_.WriteEntry(id(), Entry(++seq_));
  stage_.loop().timers().Subscribe(stage_.loop().Now() + kHeartbeat,
                                   [this, lifetime = lifetime_](instant) {
                                     if (lifetime == lifetime_) {
                                       CheckIn();
                                     }
                                   });
}

void replica_standin::Drain() {
  is_draining_ = true;
  stage_.WriteEntry(id(), Entry(++seq_));
}

void replica_standin::RemoveEntry() {
  checks_in_ = false;
  stage_.store().Remove("servers/" + id());
}

void replica_standin::Crash() {
  if (!server_) {
    return;
  }
  ++lifetime_;
  server_->StopListening();
  for (const auto& weak : std::exchange(seen_, {})) {
    if (const auto connection = weak.lock()) {
      connection->Abort();
    }
  }
  running_.clear();
  queue_.clear();
  stage_.loop().Defer([held = std::shared_ptr<http_server>(std::move(server_))] {});
}

void replica_standin::CrashAndRestart(duration pause, bool is_cold, duration warm_up) {
  ++crashes;
  stage_.Note("replica " + id() + " crashes");
  Crash();
  stage_.loop().timers().Subscribe(stage_.loop().Now() + pause,
                                   [this, is_cold, warm_up](instant) { Start(is_cold, warm_up); });
}

void replica_standin::Handle(const std::shared_ptr<server_connection>& caller) {
  const auto& request = caller->request();
  const std::string attempt(request.Find("Attempt-Id"));
  if (std::none_of(seen_.begin(), seen_.end(),
                   [&caller](const auto& weak) { return weak.lock() == caller; })) {
    std::erase_if(seen_, [](const auto& weak) { return weak.expired(); });
    seen_.push_back(caller);
  }
  const auto refuse = [&](int status) {
    std::string head;
    AppendStatusLine(head, status);
    AppendField(head, "Not-Executed", "1");
    if (!attempt.empty()) {
      AppendField(head, "Attempt-Id", attempt);
    }
    caller->Answer(head, {});
  };
  if (request.Has("Target-Instance") && request.Find("Target-Instance") != id()) {
    refuse(421);
    return;
  }
  if (attempt.empty()) {
    refuse(400);
    return;
  }
  arrivals.push_back(stage_.loop().Now());
  if (on_request && on_request(caller)) {
    return;
  }
  if (static_cast<int>(running_.size()) < options_.slots) {
    Run(caller);
  } else if (static_cast<int>(queue_.size()) < options_.queue) {
    queue_.push_back(caller);
    caller->OnCallerDisconnected([this, raw = caller.get()] {
      std::erase_if(queue_, [raw](const auto& item) { return item.get() == raw; });
    });
  } else {
    refuse(503);
  }
}

void replica_standin::Run(const std::shared_ptr<server_connection>& caller) {
  const auto& request = caller->request();
  const std::string attempt(request.Find("Attempt-Id"));
  stage_.runs.push_back({.attempt_id = attempt,
                         .replica = id(),
                         .method = request.method,
                         .target = request.target,
                         .body = request.body,
                         .at = stage_.loop().Now()});
  stage_.Note("replica " + id() + " runs " + attempt + " " + request.method + " " + request.target +
              " body \"" + request.body + "\"");
  running_.push_back(caller);
  const auto end = [this](const server_connection* raw) {
    std::erase_if(running_, [raw](const auto& item) { return item.get() == raw; });
    RunNext();
  };
  caller->OnCallerDisconnected([end, raw = caller.get()] { end(raw); });
  stage_.loop().timers().Subscribe(
      stage_.loop().Now() + options_.work,
      [this, end, caller, attempt, lifetime = lifetime_](instant) {
        const bool is_running =
            std::find(running_.begin(), running_.end(), caller) != running_.end();
        if (lifetime != lifetime_ || !is_running) {
          return;
        }
        std::string head;
        AppendStatusLine(head, 200);
        AppendField(head, "Attempt-Id", attempt);
        AppendField(head, "Response-Seal", "seal-" + id() + "-" + attempt);
        AppendField(head, "Keep-Alive", "timeout=15");
        caller->Answer(head, "done by " + id());
        end(caller.get());
      });
}

void replica_standin::RunNext() {
  while (!queue_.empty() && static_cast<int>(running_.size()) < options_.slots) {
    const auto next = queue_.front();
    queue_.erase(queue_.begin());
    Run(next);
  }
}

// ---- stage

/** One request on a connection of its own. */
class stage::client : public http_client::handler {
 public:
  using done_function = std::function<void(http_message*)>;

  client(event_loop& loop, const socket_address& to, std::string request, done_function done)
      : request_(std::move(request)),
        done_(std::move(done)),
        connection_(std::make_unique<http_client>(loop,
                                                  to,
                                                  4 * 1024 * 1024,
                                                  std::chrono::seconds(5),
                                                  *this)) {}

  void Close() { connection_.reset(); }
  bool IsDone() const { return done_ == nullptr; }
  void Finish(http_message* response) {
    if (const auto done = std::exchange(done_, nullptr)) {
      done(response);
    }
  }

 private:
  void OnConnected(http_client& from) override { from.Send(request_); }
  bool OnResponse(http_client&, http_message& response) override {
    Finish(&response);
    return true;
  }
  void OnEnded(http_client&, http_client::end_reason) override { Finish(nullptr); }

  std::string request_;
  done_function done_;
  std::unique_ptr<http_client> connection_;
};

stage::stage(std::string record_path)
    : store_(loop_),
      start_(loop_.Now()),
      record_(record_path),
      next_port_(kFirstPort + getpid() % kRanges * kPortsPerProcess) {
  std::string name = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    std::cerr << "cannot create a temporary folder\n";
    std::exit(kCouldNotRun);
  }
  folder_ = name;
  loop_.timers().SubscribeEvery(loop_.Now() + std::chrono::milliseconds(100),
                                std::chrono::milliseconds(100), [this](instant) {
                                  ExpireEntries();
                                  // Connections of ended calls are dropped outside their handlers.
                                  std::erase_if(clients_,
                                                [](const auto& item) { return item->IsDone(); });
                                });
}

stage::~stage() {
  for (const auto& item : hosts_) {
    if (item->pid > 0) {
      Kill(*item);
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::int64_t stage::Ms(instant at) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(at - start_).count();
}

void stage::Note(const std::string& line) {
  record_ << Ms(loop_.Now()) << " ms  " << line << "\n";
}

void stage::At(duration after_start, std::function<void()> call) {
  loop_.timers().Subscribe(start_ + after_start, [call = std::move(call)](instant) { call(); });
}

void stage::Every(duration first, duration period, duration last, std::function<void()> call) {
  for (duration at = first; at <= last; at += period) {
    At(at, call);
  }
}

socket_address stage::FreeAddress() {
  while (true) {
    const socket_address address{.ip = "127.0.0.1",
                                 .port = static_cast<std::uint16_t>(next_port_++)};
    if (limpetlever::Listen(address) && limpetlever::BindDatagram(address)) {
      return address;
    }
  }
}

stage::host& stage::StartHost(const std::string& name, const std::string& zone) {
  auto item = std::make_unique<host>();
  item->name = name;
  item->zone = zone;
  item->caller_address = FreeAddress();
  item->readiness_address = FreeAddress();
  item->directory_address = FreeAddress();
  item->settings_path = folder_ + "/" + name + ".json";
  std::ofstream(item->settings_path)
      << "{\"name\":\"" << name << "\",\"region\":\"region\",\"data_centre\":\"" << zone
      << "\",\"caller_address\":\"" << Text(item->caller_address) << "\",\"readiness_address\":\""
      << Text(item->readiness_address) << "\",\"directory_address\":\""
      << Text(item->directory_address) << "\",\"peer_address\":\"" << Text(FreeAddress())
      << "\",\"metrics_address\":\"" << Text(FreeAddress()) << "\",\"store_address\":\""
      << Text(store_.address())
      << "\",\"processor_share\":0.17,\"max_descriptors\":2870,\"grace_s\":6,"
         "\"max_advice_lifetime_s\":5,\"server_heartbeat_ms\":1200,\"retry_ratio\":0.2,"
         "\"retry_slack\":104,\"retry_window_s\":10}\n";
  const std::string log = folder_ + "/" + name + ".log";
  const pid_t parent = getpid();
  item->pid = fork();
  if (item->pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent || std::freopen(log.c_str(), "w", stdout) == nullptr) {
      _exit(127);
    }
    setenv("LIMPETLEVER_BOOT", item->settings_path.c_str(), 1);
    execl(kProgram, kProgram, "serve", nullptr);
    _exit(127);
  }
  Note("host " + name + " in " + zone + " starts, callers at " + Text(item->caller_address));
  hosts_.push_back(std::move(item));
  return *hosts_.back();
}

void stage::Kill(host& item) {
  kill(item.pid, SIGKILL);
  waitpid(item.pid, nullptr, 0);
  item.pid = -1;
}

bool stage::HasHostEnded() {
  return std::any_of(hosts_.begin(), hosts_.end(), [](const auto& item) {
    return item->pid > 0 && waitpid(item->pid, nullptr, WNOHANG) != 0;
  });
}

std::shared_ptr<call_record> stage::Call(const socket_address& to,
                                         const std::string& method,
                                         const std::string& target,
                                         const std::string& body,
                                         int deadline_ms,
                                         const std::string& host_name) {
  char id[32];
  std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(next_attempt_++));
  auto record = std::make_shared<call_record>();
  record->attempt_id = id;
  record->method = method;
  record->target = target;
  record->body = body;
  record->sent = loop_.Now();
  calls.push_back(record);
  std::string request;
  AppendRequestLine(request, method, target);
  AppendField(request, "Host", host_name);
  AppendField(request, "Attempt-Id", id);
  AppendField(request, "Deadline-Ms", std::to_string(deadline_ms));
  if (method == "POST") {
    AppendBody(request, body);
  } else {
    request += "\r\n";
  }
  Note("caller sends " + record->attempt_id + " " + method + " " + target + " body \"" + body +
       "\"");
  clients_.push_back(
      std::make_unique<client>(loop_, to, request, [this, record](http_message* answer) {
        if (record->is_done) {
          return;
        }
        record->is_done = true;
        if (answer != nullptr) {
          record->status = answer->status;
          record->has_seal = answer->Has("Response-Seal") || answer->Has("Part-Stamps");
          record->answer_body = answer->body;
        }
        Note("caller gets " + std::to_string(record->status) + " for " + record->attempt_id +
             (record->has_seal ? ", sealed, \"" + record->answer_body + "\"" : ""));
      }));
  loop_.timers().Subscribe(loop_.Now() + std::chrono::milliseconds(deadline_ms),
                           [this, record](instant) {
                             if (!record->is_done) {
                               record->is_done = true;
                               Note("the deadline of " + record->attempt_id + " passes");
                             }
                           });
  return record;
}

void stage::Get(const socket_address& to,
                const std::string& target,
                std::function<void(int, const std::string&)> done) {
  std::string request;
  AppendRequestLine(request, "GET", target);
  AppendField(request, "Host", Text(to));
  request += "\r\n";
  clients_.push_back(std::make_unique<client>(loop_, to, request, [done](http_message* answer) {
    done(answer == nullptr ? 0 : answer->status, answer == nullptr ? std::string() : answer->body);
  }));
}

void stage::SetStoreDown(bool is_down) {
  using mode = limpetlever::platform::platform_store::mode_type;
  is_store_down_ = is_down;
  store_.SetMode(is_down ? mode::silent : mode::normal);
}

void stage::WriteEntry(const std::string& id, const std::string& entry) {
  if (is_store_down_) {
    return;
  }
  last_check_in_[id] = loop_.Now();
  const std::string key = "servers/" + id;
  const auto known = store_.items().find(key);
  if (known != store_.items().end() && WithoutSeq(known->second.value) == WithoutSeq(entry)) {
    return;
  }
  Note("store: " + key + " = " + entry);
  store_.Write(key, entry);
}

void stage::ExpireEntries() {
  if (is_store_down_) {
    return;
  }
  std::erase_if(last_check_in_, [this](const auto& item) {
    const bool is_silent = loop_.Now() - item.second >= kSilentIntervals * kHeartbeat;
    if (is_silent && store_.items().contains("servers/" + item.first)) {
      Note("store: servers/" + item.first + " is removed after three intervals of silence");
      store_.Remove("servers/" + item.first);
    }
    return is_silent;
  });
}

}  // namespace review
