#ifndef LIMPETLEVER_TESTS_SERVER_TEST_CLUSTER_H_
#define LIMPETLEVER_TESTS_SERVER_TEST_CLUSTER_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <criterion/criterion.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "backend_server.h"
#include "host_list_service.h"
#include "key_value_service.h"
#include "server/backend_record.h"
#include "server/cluster_shape.h"
#include "server/host_server.h"
#include "server/test_answer.h"
#include "table/table_json.h"
#include "transport/http_fetch.h"
#include "transport/key_value_client.h"

namespace limpetlever {

/**
 * Several hosts of one region with their stand-ins, all in this process. Each process uses a
 * loopback address of its own, so that tests can run in parallel and no other process's outgoing
 * connections occupy its ports.
 */
class test_cluster {
 public:
  explicit test_cluster(const cluster_shape& shape = {})
      : shape_(shape),
        store_(ip_, 0),
        host_list_(ip_, 0),
        store_client_(LocalAddress(store_.port())) {
    // A write to a connection that a server has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    operator_table table{.version = 1,
                         .workloads = {{.name = "matching", .default_deadline_ms = 8000},
                                       {.name = "pledges", .kind = request_kind::submission}},
                         .services = {},
                         .data_centres = {},
                         .backend_servers = {}};
    for (const std::string& name : shape_.data_centres) {
      table.data_centres.push_back({.name = name, .region = kRegion});
    }
    for (int shard = 0; shard < shape_.shards; ++shard) {
      AddService(table, "m" + std::to_string(shard), "matching", shard, shape_.shards);
    }
    AddService(table, "p", "pledges", 0, 1);
    cr_assert(store_client_.Put("table", FormatTableJson(table), 0));
    ticker_ = std::thread([this] {
      while (!is_stopping_) {
        for (const auto& server : backends_) {
          server->Tick();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    });
    for (int i = 0; i < shape_.hosts; ++i) {
      AddHost();
    }
    WaitUntilServing();
  }

  ~test_cluster() {
    hosts_.clear();
    is_stopping_ = true;
    ticker_.join();
  }
  test_cluster(const test_cluster&) = delete;
  test_cluster& operator=(const test_cluster&) = delete;

  key_value_service& store() { return store_; }
  host_server& host(int index) { return *hosts_.at(index); }
  /** Indices of the running hosts. */
  std::vector<int> hosts() const {
    std::vector<int> indices;
    for (const auto& [index, server] : hosts_) {
      indices.push_back(index);
    }
    return indices;
  }
  const std::vector<std::unique_ptr<backend_server>>& backends() const { return backends_; }
  /** Backend servers of the service or data centre with this name. */
  std::vector<backend_server*> FindBackends(const std::string& name) const {
    std::vector<backend_server*> found;
    for (const auto& server : backends_) {
      if (server->settings().service == name || server->settings().data_centre == name) {
        found.push_back(server.get());
      }
    }
    return found;
  }
  void ChangeSettings(backend_server& server,
                      const std::function<void(backend_settings&)>& change) {
    backend_settings settings = server.settings();
    change(settings);
    server.set_settings(settings);
  }

  /** Starts a further host and adds it to the list of hosts; returns its index. */
  int AddHost() {
    const int index = next_host_++;
    const auto name = "h" + std::to_string(index);
    const host_settings settings{
        .name = name,
        .region = kRegion,
        .data_centre =
            shape_.data_centres[static_cast<std::size_t>(index) % shape_.data_centres.size()],
        .http_address = FreeAddress(),
        .peer_address = FreeAddress(),
        .key_value_address = LocalAddress(store_.port()),
        .host_list_address = LocalAddress(host_list_.port()),
        .http_threads = 32,
        .backend_threads = 32,
        .address_lifetime_ms = kAddressLifetimeMs};
    host_list_entries_[index] =
        R"({"name":")" + name + R"(","region":")" + settings.region + R"(","data_centre":")" +
        settings.data_centre + R"(","http_address":")" + settings.http_address +
        R"(","peer_address":")" + settings.peer_address + R"(","state":"live"})";
    PublishHostList();
    addresses_[index] = settings.http_address;
    hosts_[index] = std::make_unique<host_server>(settings);
    hosts_[index]->Start();
    return index;
  }

  /** Stops a host without notifying the others; it stays on the list of hosts, which lags. */
  void StopHost(int index) { hosts_.erase(index); }

  /** Makes a host leave as on SIGTERM, then stops it and removes it from the list of hosts. */
  void LeaveHost(int index) {
    hosts_.at(index)->Leave();
    hosts_.erase(index);
    host_list_entries_.erase(index);
    PublishHostList();
  }

  std::string Address(int index) const { return addresses_.at(index); }

  result<http_reply> Call(const std::string& address,
                          const std::string& method,
                          const std::string& path,
                          const std::string& body = {}) const {
    return HttpFetch({.address = address,
                      .method = method,
                      .path = path,
                      .body = body,
                      .time_limit = std::chrono::seconds(30)});
  }
  test_answer Query(const std::string& address, const std::string& body) const {
    return test_answer::Parse(
        Call(address, "POST", "/v1/query", R"({"workload":"matching","body":")" + body + "\"}"));
  }
  test_answer Query(int index, const std::string& body) const {
    return Query(Address(index), body);
  }
  test_answer Submit(int index, const std::string& key) const {
    return test_answer::Parse(Call(
        Address(index), "POST", "/v1/submit",
        R"({"workload":"pledges","deadline_ms":8000,"body":"one blanket","key":")" + key + "\"}"));
  }
  test_answer Edit(int index, const std::string& edit) const {
    return test_answer::Parse(Call(Address(index), "POST", "/v1/table", edit));
  }
  operator_table StoredTable() {
    return *ParseTableJson(store_client_.Get("table")->value, "stored table");
  }

  /** Number of runs of a submission key on all backend servers. */
  int CountRuns(const std::string& key) const {
    int runs = 0;
    for (const auto& server : backends_) {
      const auto ledger = backend_record::Read(*server).ledger;
      const auto found = ledger.find(key);
      runs += found == ledger.end() ? 0 : found->second;
    }
    return runs;
  }
  long CountReceived(const std::vector<backend_server*>& servers) const {
    long received = 0;
    for (const backend_server* server : servers) {
      received += backend_record::Read(*server).received;
    }
    return received;
  }
  /** Fails the test if a backend server received a request while all its slots were in use. */
  void AssertWithinSlots() const {
    for (const auto& server : backends_) {
      const backend_record record = backend_record::Read(*server);
      cr_assert(record.over_limit == 0, "%s", server->Record().c_str());
      cr_assert(record.greatest_running <= shape_.slots, "%s", server->Record().c_str());
    }
  }

  /** Waits until `condition` holds; fails the test after 60 s, a limit for busy machines. */
  static void WaitFor(const char* what, const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!condition()) {
      cr_assert(std::chrono::steady_clock::now() < end, "timed out waiting for %s", what);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }
  /** Waits until every view has exactly the running hosts and every host answers completely. */
  void WaitUntilServing() {
    WaitFor("views of all running hosts", [this] {
      for (const auto& [index, server] : hosts_) {
        const auto view = server->state().view();
        if (view->members.size() != hosts_.size()) {
          return false;
        }
        for (const view_member& member : view->members) {
          const int number = std::stoi(member.name.substr(1));
          if (!hosts_.contains(number)) {
            return false;
          }
        }
      }
      return true;
    });
    WaitFor("complete answers of all hosts", [this] {
      for (const auto& [index, server] : hosts_) {
        if (!Query(index, "ready").is_complete) {
          return false;
        }
      }
      return true;
    });
  }
  /** Waits until every host uses `version` of the table or a later one. */
  void WaitForTable(std::int64_t version) {
    WaitFor("a table in force on all hosts", [this, version] {
      for (const auto& [index, server] : hosts_) {
        if (server->state().table()->version < version) {
          return false;
        }
      }
      return true;
    });
  }

 private:
  static constexpr const char* kRegion = "r";
  static constexpr int kAddressLifetimeMs = 1000;

  static std::string ProcessIp() {
    const int pid = static_cast<int>(getpid());
    return "127." + std::to_string(10 + pid / (254 * 256) % 200) + "." +
           std::to_string(pid / 254 % 256) + "." + std::to_string(pid % 254 + 1);
  }
  std::string LocalAddress(int port) const { return ip_ + ":" + std::to_string(port); }
  std::string FreeAddress() const {
    return Poco::Net::ServerSocket(Poco::Net::SocketAddress(ip_, 0)).address().toString();
  }
  void AddService(operator_table& table,
                  const std::string& name,
                  const std::string& workload,
                  int shard,
                  int shard_count) {
    table.services.push_back({.name = name,
                              .workload = workload,
                              .slots = shape_.slots,
                              .connections = 20,
                              .connection_cost_ms = 1});
    for (int i = 0; i < shape_.replicas; ++i) {
      const auto& data_centre =
          shape_.data_centres[static_cast<std::size_t>(shard + i) % shape_.data_centres.size()];
      backends_.push_back(std::make_unique<backend_server>(
          ip_,
          backend_settings{
              .service = name,
              .data_centre = data_centre,
              .versions = {{.version = 1, .shard_count = shard_count, .shards = {shard}}},
              .service_time_us = shape_.service_time_us,
              .slots = shape_.slots},
          backends_.size() + 1));
      table.backend_servers.push_back({.address = LocalAddress(backends_.back()->port()),
                                       .service = name,
                                       .data_centre = data_centre});
    }
  }
  void PublishHostList() {
    std::string text;
    for (const auto& [index, entry] : host_list_entries_) {
      text += (text.empty() ? "" : ",") + entry;
    }
    Call(LocalAddress(host_list_.port()), "PUT", "/hosts", R"({"hosts":[)" + text + "]}");
  }

  const cluster_shape shape_;
  const std::string ip_ = ProcessIp();
  key_value_service store_;
  host_list_service host_list_;
  key_value_client store_client_;
  std::vector<std::unique_ptr<backend_server>> backends_;
  int next_host_ = 0;
  std::map<int, std::string> host_list_entries_;
  std::map<int, std::string> addresses_;
  std::map<int, std::unique_ptr<host_server>> hosts_;
  std::atomic<bool> is_stopping_ = false;
  std::thread ticker_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TESTS_SERVER_TEST_CLUSTER_H_
