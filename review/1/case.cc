// A host is frozen while pledges wait for a connection. After it wakes it answers them 503, "not
// run and never will be", and sends them to a replica all the same.
#include <set>

#include "standin/world.h"

using namespace world;

namespace {

constexpr int kTimeoutMs = 2500;   // of the route
constexpr int kDeadlineMs = 4000;  // of the consumer
constexpr int kPledges = 12;
constexpr int kWorkMs = 600;
constexpr int kFreezeMs = 2800;

std::mutex mutex;
std::condition_variable slot_freed;
std::map<std::string, int> free_slots = {{"i-1", 2}, {"i-2", 2}};
/** By Attempt-Id. */
std::map<std::string, int> runs;
std::map<std::string, int> statuses;
/** By pledge. */
std::map<std::string, int> recorded;

/** A sound replica of a service that records pledges: two slots, and a queue for the others. */
bool Serve(replica& self, int fd, const message& request) {
  const std::string id = request.Find("Attempt-Id");
  Note("%s reaches %s", id.c_str(), self.id().c_str());
  {
    std::unique_lock lock(mutex);
    const bool must_queue = free_slots[self.id()] == 0;
    slot_freed.wait(lock, [&self] { return free_slots[self.id()] > 0; });
    if (must_queue && HasPeerClosed(fd)) {
      Note("%s drops %s from its queue: its connection is closed", self.id().c_str(), id.c_str());
      slot_freed.notify_all();
      return false;
    }
    --free_slots[self.id()];
    ++runs[id];
    ++recorded[request.body];
    Note("%s runs %s (%s)%s", self.id().c_str(), id.c_str(), request.body.c_str(),
         statuses.contains(id) ? ", which the consumer was told has not run and never will" : "");
  }
  SleepMs(kWorkMs);
  {
    const std::lock_guard lock(mutex);
    ++free_slots[self.id()];
    slot_freed.notify_all();
  }
  return SendAll(fd, Ran(self, request, 200, "recorded"));
}

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/** Sends a pledge, and once more after a promise that it has not run, within its deadline. */
void Pledge(int port, int number) {
  const std::string pledge = "pledge-" + std::to_string(number);
  const std::int64_t until = Now() + kDeadlineMs;
  for (int attempt = 1; attempt <= 2; ++attempt) {
    const std::string id = "a" + std::to_string(number) + "-" + std::to_string(attempt);
    const auto left = static_cast<int>(until - Now());
    const outcome result = Ask(port, "POST", "/pledges/new", id, left, pledge);
    const bool is_refused = PromisesNotRun(result.status);
    if (is_refused) {
      const std::lock_guard lock(mutex);
      statuses[id] = result.status;
    }
    const double pause_s = std::atof(result.answer.Find("Retry-After").c_str());
    const auto pause_ms = static_cast<std::int64_t>(pause_s * 1000);
    if (!is_refused || Now() + pause_ms >= until) {
      return;
    }
    SleepMs(pause_ms);
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::string folder;
  const bool has_trouble = Begin(argc, argv, folder);
  store platform;
  platform.Write("op/config",
                 R"({"version":7,"routes":[{"name":"r-1","host":"pupu76.example",
  "prefix":"/pledges/","kind":"non_idempotent","timeoutMs":2500,"targetLatencyMs":250,"priority":2,
  "service":"pledges","maxAttempts":2}],
  "services":[{"name":"pledges","maxConns":50,"healthPath":"/health"}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000}})");
  replica first("i-1", "pledges", Serve, "bern-a");
  replica second("i-2", "pledges", Serve, "bern-b");
  first.Register(platform);
  second.Register(platform);
  const std::vector<std::string> zones = {"bern-a", "bern-a", "bern-a",      "bern-a",
                                          "bern-b", "bern-b", "bern-b",      "bern-b",
                                          "biel-a", "biel-a", "solothurn-a", "solothurn-a"};
  std::vector<std::unique_ptr<node>> nodes;
  for (std::size_t i = 0; i < zones.size(); ++i) {
    nodes.push_back(std::make_unique<node>("frontend-" + std::to_string(i + 1), folder,
                                           platform.port(), zones[i]));
    nodes.back()->Start();
  }
  nodes[0]->WaitUntilReady();
  SleepMs(5000);  // The hosts have found each other and share the connections of the replicas.
  std::vector<std::thread> consumers;
  for (int i = 1; i <= kPledges; ++i) {
    consumers.emplace_back(Pledge, nodes[0]->ports().front, i);
  }
  SleepMs(200);
  if (has_trouble) {
    Note("frontend-1 is frozen for %d ms", kFreezeMs);
    nodes[0]->Signal(SIGSTOP);
    SleepMs(kFreezeMs);
    nodes[0]->Signal(SIGCONT);
    Note("frontend-1 wakes");
  }
  for (auto& consumer : consumers) {
    consumer.join();
  }
  SleepMs(4000);
  if (nodes[0]->HasEnded()) {
    CannotRun("the host has ended");
  }
  const std::lock_guard lock(mutex);
  int broken = 0;
  for (const auto& [id, status] : statuses) {
    if (runs.contains(id)) {
      ++broken;
      Note("REFUSED: %s was answered %d and ran", id.c_str(), status);
    }
  }
  for (const auto& [pledge, count] : recorded) {
    if (count > 1) {
      Note("%s was recorded %d times", pledge.c_str(), count);
    }
  }
  Note("%d of %zu refused requests ran", broken, statuses.size());
  Finish(broken > 0);
}
