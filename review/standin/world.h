// Stand-ins for one small deployment on loopback: the platform's store, replicas, a consumer, and
// the start of the project's program as a separate process. Header-only; uses POSIX and RapidJSON.
#ifndef REVIEW_STANDIN_WORLD_H_
#define REVIEW_STANDIN_WORLD_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <rapidjson/document.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <strings.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace world {

using clock = std::chrono::steady_clock;
inline const clock::time_point kStart = clock::now();

/** A case that runs longer is ended. */
inline constexpr std::int64_t kMaxCaseMs = 110'000;

/** Milliseconds since the start of the case. */
inline std::int64_t Now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - kStart).count();
}
inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, ms)));
}
inline void SleepUntil(std::int64_t at) {
  SleepMs(at - Now());
}

/** The file record.txt: what was sent, answered and run, with the time in milliseconds. */
class record {
 public:
  static record& Get() {
    static record shared;
    return shared;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  template <typename... Args>
  void Line(const char* format, Args... args) {
    const std::lock_guard lock(mutex_);
    if (file_ != nullptr) {
      std::fprintf(file_, "%8lld ms  ", static_cast<long long>(Now()));
      std::fprintf(file_, format, args...);
      std::fputc('\n', file_);
      std::fflush(file_);
    }
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
template <typename... Args>
void Note(const char* format, Args... args) {
  record::Get().Line(format, args...);
}

/** Ends the case: it could not run. */
[[noreturn]] inline void CannotRun(const std::string& why);

// --- Sockets ---

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  return address;
}
inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
/** A listening socket on loopback; port 0 picks a free one. */
inline int Listen(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = Loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}
/**
 * A port that is free for TCP and UDP. It is below those that the kernel gives to other sockets, so
 * that none of these can take it before it is used.
 */
inline int FreePort() {
  constexpr int kFirstPort = 10'000;
  constexpr int kPorts = 20'000;
  static int next = static_cast<int>(getpid()) * 97 % kPorts;
  while (true) {
    const int port = kFirstPort + next++ % kPorts;
    const int tcp = Listen(port);
    if (tcp < 0) {
      continue;
    }
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const auto address = Loopback(port);
    const bool is_free =
        bind(udp, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(udp);
    close(tcp);
    if (is_free) {
      return port;
    }
  }
}
inline int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const auto address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}
inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}
/** Closes the connection with a reset. */
inline void Reset(int fd) {
  const linger now{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(fd);
}

// --- HTTP/1.1 ---

struct message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string Find(const char* name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name) == 0) {
        return value;
      }
    }
    return {};
  }
  bool Has(const char* name) const {
    return std::any_of(fields.begin(), fields.end(), [name](const auto& field) {
      return strcasecmp(field.first.c_str(), name) == 0;
    });
  }
  std::string Word(int index) const {
    std::size_t at = 0;
    for (; index > 0; --index) {
      at = first_line.find(' ', at);
      if (at == std::string::npos) {
        return {};
      }
      ++at;
    }
    return first_line.substr(at, first_line.find(' ', at) - at);
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

/** Reads messages with a Content-Length, or without a body, from one connection. */
class reader {
 public:
  explicit reader(int fd) : fd_(fd) {}

  /** Returns nullopt if the connection ends before the message is complete, or at the time-out. */
  std::optional<message> Read(int timeout_ms = -1) {
    const std::int64_t until = timeout_ms < 0 ? INT64_MAX : Now() + timeout_ms;
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return std::nullopt;
      }
    }
    message read;
    std::size_t at = buffer_.find("\r\n");
    read.first_line = buffer_.substr(0, at);
    while (at < end) {
      at += 2;
      const std::size_t line_end = buffer_.find("\r\n", at);
      const std::string line = buffer_.substr(at, line_end - at);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
          ++value;
        }
        read.fields.emplace_back(line.substr(0, colon), line.substr(value));
      }
      at = line_end;
    }
    const auto length = static_cast<std::size_t>(std::atoll(read.Find("Content-Length").c_str()));
    while (buffer_.size() < end + 4 + length) {
      if (!Fill(until)) {
        return std::nullopt;
      }
    }
    read.body = buffer_.substr(end + 4, length);
    buffer_.erase(0, end + 4 + length);
    return read;
  }
  /** Whether the peer has closed the connection, or closes it within this time. */
  bool IsClosedWithin(int ms) {
    const std::int64_t until = Now() + ms;
    while (Fill(until)) {
    }
    return is_closed_;
  }
  bool timed_out() const { return !is_closed_; }

 private:
  bool Fill(std::int64_t until) {
    const std::int64_t left = until == INT64_MAX ? -1 : std::max<std::int64_t>(0, until - Now());
    pollfd item{.fd = fd_, .events = POLLIN, .revents = 0};
    if (poll(&item, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[65536];
    const ssize_t size = recv(fd_, bytes, sizeof bytes, 0);
    if (size <= 0) {
      is_closed_ = true;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  const int fd_;
  std::string buffer_;
  bool is_closed_ = false;
};

using field_list = std::vector<std::pair<std::string, std::string>>;

inline std::string Response(int status, const field_list& fields, const std::string& body = {}) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : fields) {
    out += name + ": " + value + "\r\n";
  }
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Base64(const std::string& in) {
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t word = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      word = word << 8 | (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k > in.size() ? '=' : kDigits[word >> (18 - 6 * k) & 63];
    }
  }
  return out;
}

// --- The platform's store ---

class store {
 public:
  store() : listener_(Listen(0)), port_(PortOf(listener_)) {
    std::thread([this] {
      while (true) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
          std::thread([this, fd] { Serve(fd); }).detach();
        }
      }
    }).detach();
  }
  int port() const { return port_; }
  /** Writes a key as the operator or a replica does; returns once the store has confirmed it. */
  void Write(const std::string& key, const std::string& value) { Put(key, Base64(value), 0); }
  void Remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    RemoveLocked(key);
    changed_.notify_all();
  }
  bool HasPrefix(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    const auto found = items_.lower_bound(prefix);
    return found != items_.end() && found->first.starts_with(prefix);
  }

 private:
  struct item {
    std::string value;  // base64
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
    bool is_removed = false;
  };
  struct lease {
    std::int64_t ttl = 0;
    std::int64_t ends_at = 0;
  };

  void Put(const std::string& key, const std::string& base64, std::int64_t lease_id) {
    const std::lock_guard lock(mutex_);
    const std::int64_t revision = ++revision_;
    const auto known = items_.find(key);
    const std::int64_t created = known == items_.end() ? revision : known->second.created;
    items_[key] = {.value = base64, .revision = revision, .created = created, .lease = lease_id};
    history_.emplace_back(key, items_[key]);
    changed_.notify_all();
  }
  void RemoveLocked(const std::string& key) {
    if (items_.erase(key) > 0) {
      history_.emplace_back(key, item{.revision = ++revision_, .is_removed = true});
    }
  }
  void EndLeaseLocked(std::int64_t id) {
    std::vector<std::string> keys;
    for (const auto& [key, held] : items_) {
      if (held.lease == id) {
        keys.push_back(key);
      }
    }
    for (const auto& key : keys) {
      RemoveLocked(key);
    }
    leases_.erase(id);
    changed_.notify_all();
  }
  void ExpireLocked() {
    std::vector<std::int64_t> ended;
    for (const auto& [id, held] : leases_) {
      if (held.ends_at <= Now()) {
        ended.push_back(id);
      }
    }
    for (const auto id : ended) {
      EndLeaseLocked(id);
    }
  }
  static std::string Encode(const std::string& key, const item& held) {
    std::string out = R"({"key":")" + key + R"(","revision":)" + std::to_string(held.revision);
    if (held.is_removed) {
      return out + R"(,"tombstone":true})";
    }
    return out + R"(,"value":")" + held.value + R"(","createdRev":)" +
           std::to_string(held.created) + R"(,"lease":)" + std::to_string(held.lease) + "}";
  }
  static std::string Decoded(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }
  static std::string Parameter(const std::string& target, const std::string& name) {
    const std::string query = "&" + target.substr(std::min(target.size(), target.find('?') + 1));
    const std::size_t at = query.find("&" + name + "=");
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t from = at + name.size() + 2;
    return Decoded(query.substr(from, query.find('&', from) - from));
  }

  std::string Range(const std::string& target) {
    const std::lock_guard lock(mutex_);
    ExpireLocked();
    const std::string prefix = Parameter(target, "prefix");
    const std::string after = Parameter(target, "after");
    std::string list;
    for (const auto& [key, held] : items_) {
      if (key.starts_with(prefix) && key > after) {
        list += (list.empty() ? "" : ",") + Encode(key, held);
      }
    }
    return R"({"items":[)" + list + R"(],"hasMore":false,"currentRev":)" +
           std::to_string(revision_) + "}";
  }
  std::string Watch(const std::string& target) {
    const std::string prefix = Parameter(target, "prefix");
    const std::int64_t after = std::atoll(Parameter(target, "after").c_str());
    const std::int64_t until = Now() + std::atoll(Parameter(target, "waitMs").c_str());
    std::unique_lock lock(mutex_);
    while (true) {
      ExpireLocked();
      std::string list;
      for (const auto& [key, held] : history_) {
        if (held.revision > after && key.starts_with(prefix)) {
          list += (list.empty() ? "" : ",") + Encode(key, held);
        }
      }
      if (!list.empty() || Now() >= until) {
        return R"({"events":[)" + list + R"(],"currentRev":)" + std::to_string(revision_) + "}";
      }
      changed_.wait_for(lock, std::chrono::milliseconds(100));
    }
  }
  std::pair<int, std::string> Transact(const std::string& body) {
    rapidjson::Document document;
    document.Parse(body.data(), body.size());
    std::int64_t revision = 0;
    for (const auto& put : document["puts"].GetArray()) {
      const std::int64_t lease_id = put.HasMember("lease") ? put["lease"].GetInt64() : 0;
      {
        const std::lock_guard lock(mutex_);
        ExpireLocked();
        if (lease_id != 0 && !leases_.contains(lease_id)) {
          return {404, "{}"};
        }
      }
      Put(put["key"].GetString(), put["value"].GetString(), lease_id);
    }
    const std::lock_guard lock(mutex_);
    for (const auto& key : document["deletes"].GetArray()) {
      RemoveLocked(key.GetString());
    }
    revision = revision_;
    return {200, R"({"revision":)" + std::to_string(revision) + "}"};
  }
  std::pair<int, std::string> Lease(const std::string& body) {
    rapidjson::Document document;
    document.Parse(body.data(), body.size());
    const std::int64_t ttl = document["ttlMs"].GetInt64();
    const std::lock_guard lock(mutex_);
    const std::int64_t id = ++next_lease_;
    leases_[id] = {.ttl = ttl, .ends_at = Now() + ttl};
    return {200, R"({"lease":)" + std::to_string(id) + R"(,"ttlMs":)" + std::to_string(ttl) + "}"};
  }
  std::pair<int, std::string> Keep(std::int64_t id) {
    const std::lock_guard lock(mutex_);
    ExpireLocked();
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
      return {404, "{}"};
    }
    found->second.ends_at = Now() + found->second.ttl;
    return {200, R"({"ttlMs":)" + std::to_string(found->second.ttl) + "}"};
  }
  std::pair<int, std::string> Handle(const message& request) {
    const std::string target = request.Word(1);
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/kv-range") {
      return {200, Range(target)};
    }
    if (path == "/kv-watch") {
      return {200, Watch(target)};
    }
    if (path == "/kv-txn") {
      return Transact(request.body);
    }
    if (path == "/kv-lease") {
      return Lease(request.body);
    }
    if (path.starts_with("/kv-keep/")) {
      return Keep(std::atoll(path.c_str() + 9));
    }
    if (path.starts_with("/kv-lease-end/")) {
      const std::lock_guard lock(mutex_);
      EndLeaseLocked(std::atoll(path.c_str() + 14));
      return {200, "{}"};
    }
    return {404, "{}"};
  }
  void Serve(int fd) {
    reader in(fd);
    while (const auto request = in.Read()) {
      const auto [status, body] = Handle(*request);
      if (!SendAll(fd, Response(status, {{"Content-Type", "application/json"}}, body))) {
        break;
      }
    }
    close(fd);
  }

  const int listener_;
  const int port_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::vector<std::pair<std::string, item>> history_;
  std::map<std::int64_t, lease> leases_;
  std::int64_t revision_ = 100;
  std::int64_t next_lease_ = 7000;
};

// --- Replicas ---

/** One process of a replica. `handle` answers a request on its connection. */
class replica {
 public:
  /** Returns false if the connection is to be closed after the call. */
  using handler = std::function<bool(replica& self, int fd, const message& request)>;

  replica(std::string id, std::string service, handler handle, std::string zone = "bern-a")
      : id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        handle_(std::move(handle)),
        listener_(Listen(0)),
        port_(PortOf(listener_)),
        born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()) {
    std::thread([this] {
      while (true) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          return;
        }
        const std::lock_guard lock(mutex_);
        if (has_ended_) {
          Reset(fd);
          return;
        }
        open_.push_back(fd);
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }).detach();
  }
  const std::string& id() const { return id_; }
  int port() const { return port_; }

  /** The replica's entry in the store. */
  std::string Entry(const char* state, int seq = 1, int slots = 2) const {
    return R"({"service":")" + service_ + R"(","address":"127.0.0.1:)" + std::to_string(port_) +
           R"(","zone":")" + zone_ + R"(","version":"v1","slots":)" + std::to_string(slots) +
           R"(,"state":")" + state + R"(","warmupLeftMs":0,"seq":)" + std::to_string(seq) +
           R"(,"born":)" + std::to_string(born_) + "}";
  }
  void Register(store& into, const char* state = "ready") {
    into.Write("servers/" + id_, Entry(state));
    Note("%s is registered as %s, confirmed by the store", id_.c_str(), state);
  }
  /** The process ends: its connections are closed and new ones are refused. */
  void End() {
    const std::lock_guard lock(mutex_);
    has_ended_ = true;
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    for (const int fd : open_) {
      shutdown(fd, SHUT_RDWR);
    }
    Note("%s has ended", id_.c_str());
  }
  bool has_ended() const { return has_ended_; }

 private:
  void Serve(int fd) {
    reader in(fd);
    while (!has_ended_) {
      const auto request = in.Read();
      if (!request) {
        break;
      }
      if (request->Find("Target-Instance") != id_) {
        SendAll(fd,
                Response(421, {{"Instance-Id", id_}, {"Attempt-Id", request->Find("Attempt-Id")}}));
        continue;
      }
      if (!handle_(*this, fd, *request)) {
        break;
      }
    }
    const std::lock_guard lock(mutex_);
    std::erase(open_, fd);
    close(fd);
  }

  const std::string id_;
  const std::string service_;
  const std::string zone_;
  const handler handle_;
  const int listener_;
  const int port_;
  const std::int64_t born_;
  std::mutex mutex_;
  std::vector<int> open_;
  std::atomic<bool> has_ended_ = false;
};

inline std::string Seal(const std::string& id, const std::string& request_id) {
  return id + "." + request_id;
}
/** Whether the peer has closed its connection. */
inline bool HasPeerClosed(int fd) {
  pollfd item{.fd = fd, .events = POLLRDHUP, .revents = 0};
  return poll(&item, 1, 0) > 0;
}
/** The answer of a replica that has run the request. */
inline std::string Ran(const replica& self,
                       const message& request,
                       int status,
                       const std::string& body,
                       field_list more = {}) {
  const std::string id = request.Find("Attempt-Id");
  field_list fields{{"Attempt-Id", id}, {"Response-Seal", Seal(self.id(), id)}};
  fields.insert(fields.end(), more.begin(), more.end());
  return Response(status, fields, body);
}
inline std::string NotRun(const message& request, field_list more = {}) {
  field_list fields{{"Attempt-Id", request.Find("Attempt-Id")}, {"Not-Executed", "1"}};
  fields.insert(fields.end(), more.begin(), more.end());
  return Response(503, fields);
}

// --- The program under test ---

inline std::vector<pid_t>& Processes() {
  static std::vector<pid_t> started;
  return started;
}
inline void EndProcesses() {
  for (const pid_t pid : Processes()) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  Processes().clear();
}
inline void CannotRun(const std::string& why) {
  Note("the case could not run: %s", why.c_str());
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  EndProcesses();
  std::_Exit(2);
}

struct node_ports {
  int front, ready, directory, peer, metrics;
};

/** One limpetlever-node process with the settings of a small deployment. */
class node {
 public:
  node(std::string name, const std::string& folder, int store_port, std::string zone = "bern-a")
      : name_(std::move(name)),
        settings_path_(folder + "/" + name_ + ".json"),
        log_path_(folder + "/" + name_ + ".log"),
        ports_{FreePort(), FreePort(), FreePort(), FreePort(), FreePort()} {
    std::FILE* file = std::fopen(settings_path_.c_str(), "w");
    std::fprintf(file,
                 "{\"name\": \"%s\", \"region\": \"ch-mittelland\", \"data_centre\": \"%s\",\n"
                 " \"caller_address\": \"127.0.0.1:%d\", \"readiness_address\": \"127.0.0.1:%d\",\n"
                 " \"directory_address\": \"127.0.0.1:%d\", \"peer_address\": \"127.0.0.1:%d\",\n"
                 " \"metrics_address\": \"127.0.0.1:%d\", \"store_address\": \"127.0.0.1:%d\",\n"
                 " \"processor_share\": 0.17, \"max_descriptors\": 2870, \"grace_s\": 6,\n"
                 " \"max_advice_lifetime_s\": 5, \"retry_ratio\": 0.2, \"retry_slack\": 104,\n"
                 " \"retry_window_s\": 10}\n",
                 name_.c_str(), zone.c_str(), ports_.front, ports_.ready, ports_.directory,
                 ports_.peer, ports_.metrics, store_port);
    std::fclose(file);
  }
  void Start() {
    pid_ = fork();
    if (pid_ == 0) {
      const int log = open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      setenv("LIMPETLEVER_BOOT", settings_path_.c_str(), 1);
      execl("target/limpetlever-node", "target/limpetlever-node", "serve", nullptr);
      std::_Exit(127);
    }
    Processes().push_back(pid_);
    Note("%s started", name_.c_str());
  }
  void Signal(int signal) { kill(pid_, signal); }
  /** Whether the process has ended. */
  bool HasEnded() const {
    siginfo_t info{};
    return waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == pid_;
  }
  void WaitUntilReady() {
    for (int i = 0; i < 200; ++i) {
      const int fd = Connect(ports_.ready);
      if (fd >= 0) {
        SendAll(fd, "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
        const auto answer = reader(fd).Read(1000);
        close(fd);
        if (answer && answer->Status() == 200) {
          Note("%s is ready", name_.c_str());
          return;
        }
      }
      SleepMs(50);
    }
    CannotRun(name_ + " did not become ready");
  }
  const node_ports& ports() const { return ports_; }
  pid_t pid() const { return pid_; }
  const std::string& log_path() const { return log_path_; }

 private:
  const std::string name_;
  const std::string settings_path_;
  const std::string log_path_;
  const node_ports ports_;
  pid_t pid_ = -1;
};

// --- Consumers ---

inline const char* kHost = "pupu76.example";

inline std::string Request(const std::string& method,
                           const std::string& target,
                           const std::string& id,
                           int deadline_ms,
                           const std::string& body = {}) {
  std::string out = method + " " + target + " HTTP/1.1\r\nHost: " + kHost +
                    "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                    "\r\n";
  if (method == "POST") {
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return out + "\r\n" + body;
}

struct outcome {
  /** 0: the connection ended without a complete answer; -1: no answer by the time-out. */
  int status = 0;
  std::string body;
  std::int64_t sent_at = 0;
  std::int64_t answered_at = 0;
  message answer;
};

/** Sends one request on a new connection and waits for the answer. */
inline outcome Ask(int port,
                   const std::string& method,
                   const std::string& target,
                   const std::string& id,
                   int deadline_ms,
                   const std::string& body = {}) {
  outcome result;
  const int fd = Connect(port);
  result.sent_at = Now();
  if (fd < 0) {
    return result;
  }
  Note("consumer sends %s (%s %s, deadline %d ms)", id.c_str(), method.c_str(), target.c_str(),
       deadline_ms);
  SendAll(fd, Request(method, target, id, deadline_ms, body));
  reader in(fd);
  if (const auto answer = in.Read(deadline_ms + 2000)) {
    result.status = answer->Status();
    result.body = answer->body;
    result.answer = *answer;
  } else {
    result.status = in.timed_out() ? -1 : 0;
  }
  result.answered_at = Now();
  close(fd);
  Note("consumer's %s is answered %d", id.c_str(), result.status);
  return result;
}

/** Prepares the folder and record.txt; arguments: the folder of the case, a temporary folder. */
inline bool Begin(int argc, char** argv, std::string& folder) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: CASE FOLDER TEMPORARY-FOLDER\n");
    std::_Exit(2);
  }
  signal(SIGPIPE, SIG_IGN);
  record::Get().Open(std::string(argv[1]) + "/record.txt");
  folder = argv[2];
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  Note("TROUBLE=%d", has_trouble ? 1 : 0);
  std::thread([] {
    SleepMs(kMaxCaseMs);
    CannotRun("the case takes too long");
  }).detach();
  return has_trouble;
}
[[noreturn]] inline void Finish(bool is_broken) {
  EndProcesses();
  Note("%s", is_broken ? "the rule is broken" : "the rule held");
  std::_Exit(is_broken ? 1 : 0);
}

}  // namespace world

#endif  // REVIEW_STANDIN_WORLD_H_
