#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "byte_mutator.h"
#include "config/route_table.h"
#include "limits/crash_report.h"
#include "membership/liveness_table.h"
#include "membership/member_entry.h"
#include "membership/peer_message.h"
#include "net/http_reader.h"
#include "node/node_settings.h"
#include "platform/base64.h"
#include "platform/compression.h"
#include "platform/config_decoder.h"
#include "platform/control_feed.h"
#include "platform/directory_codec.h"
#include "platform/replica_decoder.h"
#include "platform/request_codec.h"
#include "platform/store_client.h"
#include "query/replica_reply.h"
#include "replicas/replica.h"

using namespace limpetlever;

namespace {

using sample_list = std::vector<std::string>;

constexpr std::uint64_t kDefaultRounds = 2000;
constexpr std::size_t kMaxMessageBytes = 64 * 1024;

std::uint64_t NumberFromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/** Calls `read` with mutations of `samples`; scripts/fuzz sets the seed and their number. */
void Fuzz(const sample_list& samples, const std::function<void(const std::string&)>& read) {
  byte_mutator mutator(NumberFromEnvironment("LIMPETLEVER_FUZZ_SEED", 1));
  for (std::uint64_t n = NumberFromEnvironment("LIMPETLEVER_FUZZ_ROUNDS", kDefaultRounds); n > 0;
       --n) {
    read(mutator.Mutate(samples));
  }
}

const sample_list kConfigurations = {
    R"({"version":7,"routes":[{"name":"q","host":"h","prefix":"/q/","timeoutMs":600,)"
    R"("targetLatencyMs":40,"priority":2,"fanout":["a","b"],"maxAttempts":2,"topK":5,)"
    R"("minShardRatio":0.75},{"name":"r","host":"h","prefix":"/r/","kind":"non_idempotent",)"
    R"("timeoutMs":4000,"split":[{"service":"a","weight":3},{"service":"b","weight":1}],)"
    R"("maxAttempts":2}],"services":[{"name":"a","healthPath":"/health","maxConns":50,)"
    R"("warmupS":3.0,"warmupPerS":0.5}],"limits":{"maxHeaderBytes":100,"maxBodyBytes":200,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})"};

const sample_list kServers = {
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":2,)"
    R"("state":"draining","warmupLeftMs":1500,"seq":4,"born":77})"};

const sample_list kPages = {
    R"({"items":[{"key":"servers/a","value":"e30=","revision":5,"createdRev":3,"lease":0},)"
    R"({"key":"hosts/b","value":"e30=","revision":6}],"hasMore":true,"currentRev":9})",
    R"({"events":[{"key":"a","revision":5,"tombstone":true},{"key":"b","value":"eA==",)"
    R"("revision":6}],"currentRev":9})"};

const sample_list kHosts = {
    R"({"key":"member/h","incarnation":1700000000000000,"version":4,)"
    R"("value":"r\nd\n10.0.0.1:80\n10.0.0.1:81\n500"})",
    R"({"key":"crash/00000000000000ff/i-1","incarnation":0,"version":5,"value":"mark"})"};

const sample_list kDatagrams = {
    R"([0,12345678901234567,"10.0.0.1:700",42,[["member/a",5,9,"r\nd\n1.2.3.4:5\n1.2.3.4:6"]]])",
    R"([3,0,"",7,[["crash/00000000000000ff/i-1",0,5,"mark"],["limit-ended/i-1",0,0,""]]])",
    R"([0,7,"",9,[["cold/i-1",0,2500,""],["liveness",0,0,"abcdeAfghijBklmnoC-_-_-9"]]])"};

const sample_list kResponses = {
    "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nCold-Ms: 2500\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nAttempt-Id: 7\r\nResponse-Seal: 3e1b.07\r\nServer-Load: 1,0,2\r\n"
    "Server-Limit: 9.6\r\nKeep-Alive: timeout=5\r\nContent-Length: 16\r\n\r\n0123456789abcdef",
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 2.5\r\n"
    "Retry-After: Fri, 04 Dec 2026 10:00:00 GMT\r\nServer-Leaving: 1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 421 Misdirected Request\r\nConnection: close\r\n\r\n"};

const sample_list kRequests = {
    "POST /a/b?x=%20y HTTP/1.1\r\nHost: h\r\nAttempt-Id: 77\r\nDeadline-Ms: 400\r\n"
    "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
    "0\r\n\r\n",
    "GET /lookup?name=h.example&region=r&zone=z-1 HTTP/1.1\r\nHost: h\r\n\r\n"};

const sample_list kSettings = {
    R"({"name":"n","region":"r","data_centre":"d","caller_address":"10.0.0.1:1",)"
    R"("readiness_address":"10.0.0.1:2","peer_address":"10.0.0.1:3","metrics_address":"10.0.0.1:4",)"
    R"("store_address":"10.0.0.2:1","max_descriptors":2870,"grace_s":6,"retry_window_s":10})"};

}  // namespace

// Each of these guards against a crash, undefined behaviour (in the build with sanitizers) or a
// value out of its range, for bytes that another program may send or store.

Test(outside_bytes, configuration) {
  Fuzz(kConfigurations, [](const std::string& bytes) {
    const auto decoded = platform::DecodeConfig(bytes);
    if (decoded) {
      for (const route& item : (*decoded)->routes()) {
        cr_assert(item.timeout >= duration::zero() && item.timeout <= std::chrono::hours(24));
        cr_assert(item.max_attempts >= 1 && item.min_shard_ratio <= 1.0);
      }
    }
  });
}

Test(outside_bytes, entry_of_a_server) {
  Fuzz(kServers, [](const std::string& bytes) {
    const auto decoded = platform::DecodeReplica("i-1", bytes);
    if (decoded) {
      cr_assert(decoded->slots >= 1 && decoded->address.port != 0);
      cr_assert(decoded->warm_up_left >= duration::zero() &&
                decoded->warm_up_left <= std::chrono::minutes(10));
    }
  });
}

Test(outside_bytes, answer_of_the_store) {
  Fuzz(kPages, [](const std::string& bytes) {
    const auto page = platform::DecodePage(bytes);
    if (page) {
      cr_assert(page->revision >= 0);
    }
    platform::DecodeLease(bytes);
    platform::DecodeBase64(bytes);
    (void)platform::Inflate(bytes, kMaxMessageBytes);
  });
}

Test(outside_bytes, compressed_answer) {
  Fuzz({platform::Deflate(kPages[0]), platform::Deflate(std::string(100'000, 'x'))},
       [](const std::string& bytes) {
         const auto body = platform::Inflate(bytes, kMaxMessageBytes);
         cr_assert(!body || body->size() <= kMaxMessageBytes);
       });
}

Test(outside_bytes, entry_of_a_host) {
  Fuzz(kHosts, [](const std::string& bytes) {
    const auto entry = platform::DecodeEntry(bytes);
    if (entry) {
      const auto host = ParseMember(*entry);
      cr_assert(!host || (host->incarnation >= 0 && host->processor_share >= 0));
      (void)ParseCrashReport(*entry);
    }
  });
}

Test(outside_bytes, datagram) {
  Fuzz(kDatagrams, [](const std::string& bytes) {
    const auto message = DecodePeerMessage(bytes);
    if (message) {
      for (const gossip_entry& entry : message->updates) {
        (void)ParseMember(entry);
        (void)ParseCrashReport(entry);
      }
      liveness_table("a").Merge(message->liveness_report, instant());
      cr_assert(DecodePeerMessage(EncodePeerMessage(*message)) == message);
    }
  });
}

Test(outside_bytes, response_of_a_server) {
  Fuzz(kResponses, [](const std::string& bytes) {
    http_reader reader(http_reader::side::responses, kMaxMessageBytes, kMaxMessageBytes);
    reader.Feed(bytes);
    reader.FeedEndOfStream();
    if (reader.current() == http_reader::state::complete) {
      const auto health = platform::ParseHealth(reader.message());
      cr_assert(!health || !health->cold_left ||
                (*health->cold_left >= duration::zero() &&
                 *health->cold_left <= std::chrono::minutes(10)));
      const auto reply = platform::ParseReply(reader.message(), {});
      cr_assert(!reply.load || reply.load->running + reply.load->waiting >= 0);
    }
  });
}

Test(outside_bytes, request_of_a_caller) {
  Fuzz(kRequests, [](const std::string& bytes) {
    http_reader reader(http_reader::side::requests, kMaxMessageBytes, kMaxMessageBytes);
    reader.Feed(bytes);
    if (reader.current() == http_reader::state::complete) {
      const auto options = platform::ParseCallerOptions(reader.message());
      cr_assert(!options.timeout || *options.timeout <= std::chrono::hours(24));
      const platform::replica_request_writer writer(reader.message());
      (void)writer.Write({.id = "i-1"}, std::chrono::milliseconds(5));
      (void)platform::ParseDirectoryRequest(reader.message().target);
    }
  });
}

Test(outside_bytes, settings) {
  Fuzz(kSettings, [](const std::string& bytes) {
    const auto settings = ParseNodeSettings(bytes, "settings");
    cr_assert(!settings || settings->max_descriptors > 0);
  });
}
