#include <criterion/criterion.h>

#include "base/random_source.h"
#include "config/route_table.h"
#include "platform/config_decoder.h"

using namespace limpetlever;

namespace {

constexpr const char* kConfig = R"({"version":7,"routes":[
  {"name":"q","host":"h","prefix":"/q/","timeoutMs":600,"targetLatencyMs":40,"priority":2,
   "fanout":["a","b"],"maxAttempts":2,"topK":5,"minShardRatio":0.75},
  {"name":"r","host":"h","prefix":"/r/","kind":"non_idempotent","timeoutMs":4000,
   "split":[{"service":"a","weight":3},{"service":"b","weight":1}],"maxAttempts":2},
  {"name":"t","host":"h","prefix":"/t/","kind":"idempotent","timeoutMs":4000,"service":"a"}],
  "services":[{"name":"a","healthPath":"/health","maxConns":50,"warmupS":3.0,"warmupPerS":0.5}],
  "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

}  // namespace

// Guards against a field that is decoded into the wrong member, with the wrong unit or not at all.
Test(config_decoder, all_fields) {
  const auto decoded = platform::DecodeConfig(kConfig);
  cr_assert(decoded);
  const route_table& table = **decoded;
  cr_assert(table.version() == 7);
  const route* query = table.Find("h", "/q/1");
  cr_assert(query->IsSharded() && query->shards.size() == 2 && query->is_idempotent);
  cr_assert(query->timeout == std::chrono::milliseconds(600));
  cr_assert(query->target_latency == std::chrono::milliseconds(40));
  cr_assert(query->max_attempts == 2 && query->top_k == 5 && query->min_shard_ratio == 0.75);
  const route* split = table.Find("h", "/r/1");
  cr_assert(!split->is_idempotent && split->services.size() == 2 &&
            split->services[0].weight == 3.0);
  cr_assert(table.Find("h", "/t/")->is_idempotent);
  const service_settings* service = table.FindService("a");
  cr_assert(service->max_connections == 50 && service->warm_up == std::chrono::seconds(3));
  cr_assert(service->cold_requests_per_s == 0.5);
  cr_assert(table.limits().max_header_bytes == 100 && table.limits().max_body_bytes == 200);
  cr_assert(table.limits().idle_timeout == std::chrono::seconds(15));
}

// Guards against a configuration of which only a part is applied.
Test(config_decoder, an_invalid_configuration_is_refused_as_a_whole) {
  for (const char* text :
       {"", "[]", "{}", R"({"version":1})", R"({"version":"1","routes":[]})",
        R"({"version":1,"routes":[{"name":"x"}]})",
        R"({"version":1,"routes":[{"name":"x","host":"h","prefix":"/","timeoutMs":1}]})"}) {
    cr_assert(!platform::DecodeConfig(text), "%s", text);
  }
}

// Guards against a crash on a corrupt value: 20,000 random mutations with a fixed seed.
Test(config_decoder, corrupt_bytes_do_not_crash) {
  random_source random(9);
  const std::string good = kConfig;
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = good;
    for (std::uint64_t n = 1 + random.Below(6); n > 0; --n) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    (void)platform::DecodeConfig(bytes);
  }
}

// Guards against a health check that is sent to another path, and against a path that would end the
// request line.
Test(config_decoder, the_path_of_the_health_check) {
  const auto path = [](const std::string& value) {
    const auto decoded = platform::DecodeConfig(
        R"({"version":1,"routes":[],"services":[{"name":"a","healthPath":)" + value + "}]}");
    cr_assert(decoded);
    return (*decoded)->FindService("a")->health_path;
  };
  cr_assert(path(R"("/health")") == "/health");
  for (const char* odd : {"7", R"("")", R"("health")", R"("/a b")", R"("/a\r\nX: 1")"}) {
    cr_assert(path(odd).empty(), "%s", odd);
  }
}
