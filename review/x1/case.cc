// A request that waits for a connection to a replica stays bound to it when the replica drains.
#include "standin/world.h"

using namespace world;

namespace {

constexpr int kDrainMs = 3000;
constexpr int kDeadlineMs = 4000;
constexpr int kRequests = 9;
constexpr int kSlowWorkMs = 1800;
constexpr int kExtraServingMs = 600;

std::atomic<bool> is_first_full = false;
std::atomic<bool> is_second_slow = false;
std::atomic<std::int64_t> confirmed_at = 0;
std::atomic<int> late_arrivals = 0;
std::atomic<int> cut_runs = 0;

/** A replica's two slots. */
class slots {
 public:
  void Take() {
    std::unique_lock lock(mutex_);
    freed_.wait(lock, [this] { return free_ > 0; });
    --free_;
  }
  void Free() {
    const std::lock_guard lock(mutex_);
    ++free_;
    freed_.notify_one();
  }

 private:
  std::mutex mutex_;
  std::condition_variable freed_;
  int free_ = 2;
};
slots second_slots;

bool ServeFirst(replica& self, int fd, const message& request) {
  const std::string id = request.Find("Attempt-Id");
  if (is_first_full) {
    Note("%s rejects %s: it is full", self.id().c_str(), id.c_str());
    return SendAll(fd, NotRun(request));
  }
  Note("%s runs %s", self.id().c_str(), id.c_str());
  SleepMs(5);
  return SendAll(fd, Ran(self, request, 200, "done"));
}

bool ServeSecond(replica& self, int fd, const message& request) {
  const std::string id = request.Find("Attempt-Id");
  const std::int64_t since = confirmed_at == 0 ? 0 : Now() - confirmed_at;
  if (confirmed_at != 0) {
    Note("%s reaches %s %lld ms after its draining was confirmed", id.c_str(), self.id().c_str(),
         static_cast<long long>(since));
    late_arrivals += since > kDrainMs ? 1 : 0;
  } else {
    Note("%s reaches %s", id.c_str(), self.id().c_str());
  }
  second_slots.Take();
  Note("%s runs %s", self.id().c_str(), id.c_str());
  SleepMs(is_second_slow ? kSlowWorkMs : 5);
  second_slots.Free();
  if (self.has_ended()) {
    ++cut_runs;
    return false;
  }
  return SendAll(fd, Ran(self, request, 200, "done"));
}

}  // namespace

int main(int argc, char** argv) {
  std::string folder;
  const bool has_trouble = Begin(argc, argv, folder);
  store platform;
  platform.Write("op/config",
                 R"({"version":7,"routes":[{"name":"r-1","host":"pupu76.example","prefix":"/p/",
  "kind":"non_idempotent","timeoutMs":4000,"targetLatencyMs":250,"priority":2,"service":"portal",
  "maxAttempts":2}],"services":[{"name":"portal","maxConns":50,"healthPath":"/health"}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
  replica first("i-new", "portal", ServeFirst, "bern-a");
  replica second("i-old", "portal", ServeSecond, "bern-a");
  second.Register(platform);
  const std::vector<std::string> zones = {"bern-a", "bern-a", "bern-a", "bern-a", "bern-b", "bern-b",
                                          "bern-b", "bern-b", "biel-a", "biel-a", "solothurn-a",
                                          "solothurn-a"};
  std::vector<std::unique_ptr<node>> nodes;
  for (std::size_t i = 0; i < zones.size(); ++i) {
    nodes.push_back(std::make_unique<node>("frontend-" + std::to_string(i + 1), folder,
                                           platform.port(), zones[i]));
    nodes.back()->Start();
  }
  nodes[0]->WaitUntilReady();
  SleepMs(5000);  // The hosts have found each other.
  const int port = nodes[0]->ports().front;
  for (int i = 0; i < 60; ++i) {
    if (Ask(port, "POST", "/p/x", "warm-" + std::to_string(i), kDeadlineMs, "x").status != 200) {
      CannotRun("a request of the quiet time was not served");
    }
  }
  is_first_full = true;
  is_second_slow = true;
  std::vector<std::thread> consumers;
  const auto send = [&consumers, port](int i) {
    consumers.emplace_back([port, i] {
      Ask(port, "POST", "/p/x", "req-" + std::to_string(i), kDeadlineMs, "x");
    });
    SleepMs(5);
  };
  // Fills the host's share of the connections to i-old.
  for (int i = 0; i < 3; ++i) {
    send(i);
  }
  const std::int64_t begin = Now();
  first.Register(platform);
  SleepMs(100);
  for (int i = 3; i < kRequests; ++i) {
    send(i);
  }
  SleepUntil(begin + 300);
  if (has_trouble) {
    second.Register(platform, "draining");
    confirmed_at = Now();
  }
  SleepUntil(begin + 1000);
  is_first_full = false;
  Note("i-new is no longer full");
  if (has_trouble) {
    SleepUntil(confirmed_at + kDrainMs + kExtraServingMs);
    second.End();
  }
  for (auto& consumer : consumers) {
    consumer.join();
  }
  SleepMs(500);
  Note("%d requests reached i-old later than %d ms after the confirmation", late_arrivals.load(),
       kDrainMs);
  Finish(late_arrivals > 0);
}
