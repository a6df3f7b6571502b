#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <criterion/criterion.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "drills/drill_store.h"
#include "drills/host_process.h"
#include "net/event_loop.h"
#include "net/socket.h"

using namespace limpetlever;
using namespace std::chrono_literals;

namespace {

constexpr int kHosts = 20;
// From the end of a host on: stability time of the smallest deployment and 3 s.
constexpr auto kNamedBound = 7s;
constexpr auto kAskPeriod = 100ms;
constexpr const char* kConfig =
    R"({"version":1,"routes":[],"services":[],"limits":{"maxHeaderBytes":4096,)"
    R"("maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

/** The store and hosts as processes of their own. */
class fleet {
 public:
  fleet() : ip_("127.43." + std::to_string(getpid() % 250) + ".1") {
    folder_ = std::filesystem::temp_directory_path().string() + "/killed-hosts-XXXXXX";
    cr_assert(mkdtemp(folder_.data()) != nullptr);
    const socket_address store_address = NewAddress();
    std::atomic<bool> is_ready = false;
    store_thread_ = std::thread([this, store_address, &is_ready] {
      event_loop loop;
      loop.UpdateNow();
      drill_store store(loop, store_address, [](const std::string&, const std::string*) {});
      store.Write("op/config", kConfig, kConfig);
      is_ready = true;
      loop.timers().SubscribeEvery(loop.Now(), 10ms, [this, &loop](instant) {
        if (is_stopping_) {
          loop.Stop();
        }
      });
      loop.Run();
    });
    while (!is_ready) {
      std::this_thread::sleep_for(1ms);
    }
    for (int i = 0; i < kHosts; ++i) {
      hosts.push_back(std::make_unique<host_process>(
          host_process::options{.program = NODE_PROGRAM,
                                .folder = folder_,
                                .name = "host-" + std::to_string(i),
                                .data_centre = "dc-" + std::to_string(i % 3),
                                .caller_address = NewAddress(),
                                .readiness_address = NewAddress(),
                                .directory_address = NewAddress(),
                                .peer_address = NewAddress(),
                                .metrics_address = NewAddress(),
                                .store_address = store_address}));
      hosts.back()->Start();
    }
  }
  ~fleet() {
    hosts.clear();
    is_stopping_ = true;
    store_thread_.join();
    std::filesystem::remove_all(folder_);
  }

  /** The answer of a host's directory to callers of no data centre; nullopt if there is none. */
  std::optional<std::string> Ask(int host) const {
    try {
      const socket_address& at =
          hosts[static_cast<std::size_t>(host)]->settings().directory_address;
      Poco::Net::HTTPClientSession session(at.ip, at.port);
      session.setTimeout(Poco::Timespan(2, 0));
      Poco::Net::HTTPRequest request("GET", "/lookup?name=h&region=r&zone=none", "HTTP/1.1");
      session.sendRequest(request);
      Poco::Net::HTTPResponse response;
      std::string body;
      Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
      return response.getStatus() == 200 ? std::optional(body) : std::nullopt;
    } catch (const Poco::Exception&) {
      return std::nullopt;
    }
  }
  /** How many hosts from number `first` on the answer names. */
  int CountNamed(const std::string& answer, int first) const {
    int named = 0;
    for (int i = first; i < kHosts; ++i) {
      const socket_address& at = hosts[static_cast<std::size_t>(i)]->settings().caller_address;
      const std::string text = "\"" + at.ip + ":" + std::to_string(at.port) + "\"";
      named += answer.find(text) != std::string::npos ? 1 : 0;
    }
    return named;
  }

  std::vector<std::unique_ptr<host_process>> hosts;

 private:
  socket_address NewAddress() {
    while (true) {
      const socket_address address{.ip = ip_, .port = next_port_++};
      if (Listen(address)) {
        return address;
      }
    }
  }

  const std::string ip_;
  std::uint16_t next_port_ = 10'000;
  std::string folder_;
  std::atomic<bool> is_stopping_ = false;
  std::thread store_thread_;
};

}  // namespace

// Guards against callers that are sent to hosts which were killed long before: the last host of
// many once found each of them by a probe of its own, two a second.
Test(killed_hosts, the_last_host_names_no_killed_host) {
  fleet all;
  const auto started = std::chrono::steady_clock::now();
  int named = 0;
  while (named < kHosts && std::chrono::steady_clock::now() - started < 60s) {
    const auto answer = all.Ask(0);
    named = answer ? all.CountNamed(*answer, 0) : 0;
    std::this_thread::sleep_for(kAskPeriod);
  }
  cr_assert(named == kHosts, "%d of %d hosts are named", named, kHosts);
  for (int i = 1; i < kHosts; ++i) {
    all.hosts[static_cast<std::size_t>(i)]->Kill();
  }
  const auto killed = std::chrono::steady_clock::now();
  std::this_thread::sleep_until(killed + kNamedBound);
  int answers = 0;
  while (std::chrono::steady_clock::now() < killed + kNamedBound + 2s) {
    if (const auto answer = all.Ask(0)) {
      ++answers;
      cr_assert(all.CountNamed(*answer, 1) == 0, "%s", answer->c_str());
      cr_assert(all.CountNamed(*answer, 0) == 1, "%s", answer->c_str());
    }
    std::this_thread::sleep_for(kAskPeriod);
  }
  cr_assert(answers > 0);
}

// Guards against running hosts that are left out of the answers.
Test(killed_hosts, running_hosts_stay_named) {
  fleet all;
  std::this_thread::sleep_for(5s);
  for (int i = 0; i < 60; ++i) {
    const auto answer = all.Ask(i % kHosts);
    if (answer) {
      const int named = all.CountNamed(*answer, 0);
      cr_assert(named == kHosts, "%d of %d hosts are named: %s", named, kHosts, answer->c_str());
    }
    std::this_thread::sleep_for(kAskPeriod);
  }
}

// Guards against a host that was frozen and takes the others for ended because it has heard nothing
// of them, and against hosts that leave it out for long after that.
Test(killed_hosts, a_frozen_host_names_the_others_and_is_named_again) {
  fleet all;
  std::this_thread::sleep_for(6s);
  all.hosts[0]->Signal(SIGSTOP);
  std::this_thread::sleep_for(8s);
  all.hosts[0]->Signal(SIGCONT);
  const auto resumed = std::chrono::steady_clock::now();
  int answers = 0;
  while (std::chrono::steady_clock::now() < resumed + 8s) {
    if (const auto answer = all.Ask(0)) {
      ++answers;
      const int named = all.CountNamed(*answer, 0);
      cr_assert(named == kHosts, "%d of %d hosts are named: %s", named, kHosts, answer->c_str());
    }
    std::this_thread::sleep_for(kAskPeriod);
  }
  cr_assert(answers > 0);
  for (int i = 1; i < kHosts; ++i) {
    const auto answer = all.Ask(i);
    cr_assert(answer && all.CountNamed(*answer, 0) == kHosts, "host %d: %s", i,
              answer ? answer->c_str() : "no answer");
  }
}
