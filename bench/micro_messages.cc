// Cost of the messages between hosts by their number of attempts or results: time to encode and
// decode, and bytes.
#include <benchmark/benchmark.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

#include "transport/peer_codec.h"

namespace limpetlever {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t kQueryBodyBytes = 200;
constexpr std::size_t kAnswerBodyBytes = 500;

std::vector<attempt_request> MakeAttempts(std::int64_t count) {
  const auto body = std::make_shared<const std::string>(kQueryBodyBytes, 'q');
  std::vector<attempt_request> attempts;
  for (std::int64_t i = 0; i < count; ++i) {
    attempts.push_back({.id = {.query = 0x123456789abcdefULL,
                               .shard = static_cast<std::uint32_t>(i),
                               .ordinal = 0},
                        .replica = "10.20.30.40:12345",
                        .workload = "matching",
                        .snapshot_version = 123456,
                        .body = body,
                        .time_limit = std::chrono::milliseconds(170),
                        .urgent = false,
                        .fingerprint = 0xfedcba9876543210ULL,
                        .key = {}});
  }
  return attempts;
}

void AttemptBatchRoundTrip(benchmark::State& state) {
  const auto attempts = MakeAttempts(state.range(0));
  std::uint32_t bytes = 0;
  for (auto _ : state) {
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    ToThrift("10.0.0.1:4000", attempts).write(&protocol);
    bytes = buffer->available_read();
    peer::AttemptBatch read;
    read.read(&protocol);
    benchmark::DoNotOptimize(FromThrift(read));
  }
  state.counters["items"] = static_cast<double>(state.range(0));
  state.counters["bytes"] = bytes;
}
BENCHMARK(AttemptBatchRoundTrip)->RangeMultiplier(10)->Range(1, 1000);

void ResultBatchRoundTrip(benchmark::State& state) {
  std::vector<attempt_result> results;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    results.push_back({.id = {.query = 0x123456789abcdefULL,
                              .shard = static_cast<std::uint32_t>(i),
                              .ordinal = 0},
                       .replica = "10.20.30.40:12345",
                       .outcome = Ran(),
                       .body = std::string(kAnswerBodyBytes, 'a'),
                       .snapshot_version = 123456,
                       .elapsed = std::chrono::milliseconds(3),
                       .limit = 2,
                       .in_flight = 1});
  }
  std::uint32_t bytes = 0;
  for (auto _ : state) {
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    ToThrift("10.0.0.1:4000", results).write(&protocol);
    bytes = buffer->available_read();
    peer::ResultBatch read;
    read.read(&protocol);
    benchmark::DoNotOptimize(FromThrift(read));
  }
  state.counters["items"] = static_cast<double>(state.range(0));
  state.counters["bytes"] = bytes;
}
BENCHMARK(ResultBatchRoundTrip)->RangeMultiplier(10)->Range(1, 1000);

}  // namespace

}  // namespace limpetlever
