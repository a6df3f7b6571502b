#ifndef TESTS_QUERY_QUERY_FIXTURE_H_
#define TESTS_QUERY_QUERY_FIXTURE_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/route_table.h"
#include "query/query_plan.h"
#include "query/query_state.h"
#include "replicas/replica.h"
#include "replicas/replica_record.h"
#include "replicas/replica_registry.h"

namespace limpetlever {

/**
 * On simulated time: a route over shards with one server in each of two data centres, and a route
 * to a single service with three servers whose requests must not run twice.
 */
struct query_fixture {
  explicit query_fixture(int shards = 20)
      : registry("dc-a"), state{.replicas = registry, .random = random_source(1)} {
    state.budget_limits = {.per_request = 0.2, .burst = 100.0};
    search.name = "search";
    search.host = "h";
    search.prefix = "/s/";
    search.is_idempotent = true;
    search.timeout = std::chrono::milliseconds(1000);
    search.target_latency = std::chrono::milliseconds(100);
    search.max_attempts = 2;
    search.top_k = 5;
    search.min_shard_ratio = 0.9;
    for (int i = 0; i < shards; ++i) {
      search.shards.push_back("shard" + std::to_string(i));
      AddServer("a" + std::to_string(i), search.shards.back(), "dc-a");
      AddServer("b" + std::to_string(i), search.shards.back(), "dc-b");
    }
    record = search;
    record.name = "record";
    record.shards.clear();
    record.services = {{.service = "single"}};
    record.is_idempotent = false;
    AddServer("s1", "single", "dc-a");
    AddServer("s2", "single", "dc-a");
    AddServer("s3", "single", "dc-b");
  }

  void AddServer(const std::string& id,
                 const std::string& service,
                 const std::string& data_centre) {
    registry.Put({.id = id, .service = service, .data_centre = data_centre, .slots = 2}, now);
  }

  std::unique_ptr<query_plan> Plan(const route& route_entry) {
    const auto table = std::make_shared<route_table>(
        7, std::vector<route>{route_entry}, std::vector<service_settings>{}, caller_limits{});
    return std::make_unique<query_plan>(table, table->routes().front(), state, now,
                                        now + route_entry.timeout);
  }

  /** The actions that send an attempt. */
  static std::vector<query_action> Sends(const query_plan::action_list& actions) {
    std::vector<query_action> sends;
    for (const query_action& action : actions) {
      if (action.kind == query_action::kind_type::send) {
        sends.push_back(action);
      }
    }
    return sends;
  }

  static replica_reply SuccessReply(std::string signature) {
    return {.status = 200, .signature = std::move(signature), .body = std::string(16, 'x')};
  }
  static replica_reply RefusalReply() { return {.status = 503, .is_not_run = true}; }

  void Advance(int ms) { now += std::chrono::milliseconds(ms); }

  instant now{std::chrono::seconds(100)};
  replica_registry registry;
  query_state state;
  route search;
  route record;
};

}  // namespace limpetlever

#endif  // TESTS_QUERY_QUERY_FIXTURE_H_
