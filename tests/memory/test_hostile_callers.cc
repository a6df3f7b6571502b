#include <algorithm>
#include <memory>
#include <string>

#include "memory/hostile_crowd.h"
#include "memory/process_fixture.h"

using namespace limpetlever;

namespace {

// The bodies of so many callers take more memory than the process may.
constexpr std::size_t kCrowd = 250;
constexpr std::size_t kFewCallers = 8;
constexpr std::size_t kRequestsAhead = 400;
constexpr std::size_t kPieceBytes = 16 * 1024;
constexpr std::size_t kMemoryBytes = process_fixture::kMemoryMb * 1024 * 1024;
constexpr std::chrono::seconds kSettlingTime{2};
constexpr int kCalmChecks = 300;
constexpr std::chrono::milliseconds kCalmCheckPeriod{100};

std::string Head(const std::string& method, const std::string& target, const std::string& fields) {
  return method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: crowd\r\n" +
         "Deadline-Ms: 20000\r\n" + fields + "\r\n";
}

std::string RequestWithLength(const std::string& target) {
  return Head("POST", target,
              "Content-Length: " + std::to_string(process_fixture::kMaxBodyBytes) + "\r\n") +
         std::string(process_fixture::kMaxBodyBytes, 'b');
}

/** A request with a chunked body; its last chunk and the end are missing. */
std::string ChunkedRequest(std::size_t chunk_bytes) {
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", chunk_bytes);
  const std::string chunk = size.data() + std::string(chunk_bytes, 'b') + "\r\n";
  std::string request = Head("POST", "/i/1", "Transfer-Encoding: chunked\r\n");
  for (std::size_t sent = chunk_bytes; sent < process_fixture::kMaxBodyBytes; sent += chunk_bytes) {
    request += chunk;
  }
  return request;
}

std::string RequestsAhead() {
  std::string requests;
  for (std::size_t i = 0; i < kRequestsAhead; ++i) {
    requests += Head("GET", "/i/1", "");
  }
  return requests;
}

/** Checks memory and descriptors of the host while the crowd stays. */
void CheckBounds(process_fixture& host) {
  cr_assert(host.process().IsRunning());
  const std::size_t descriptors = host.process().DescriptorCount();
  cr_assert(descriptors <= process_fixture::kMaxDescriptors, "%zu descriptors", descriptors);
#if !defined(__SANITIZE_ADDRESS__)
  // Sanitizers keep memory that was freed.
  const std::size_t peak = host.process().Memory("VmHWM");
  const std::size_t unread = UnreadBytes(host.caller_address());
  const std::size_t at_rest = host.process().Memory("VmRSS") + unread;
  cr_log_info("%zu KB at most, %zu KB at rest with %zu KB unread", peak / 1024, at_rest / 1024,
              unread / 1024);
  cr_assert(peak <= kMemoryBytes && at_rest <= kMemoryBytes,
            "%zu KB at most, %zu KB at rest with %zu KB unread, of %zu KB", peak / 1024,
            at_rest / 1024, unread / 1024, kMemoryBytes / 1024);
#endif
}

/** Checks, while the crowd stays and after it has left, that the host stays sound and serves. */
void CheckServes(process_fixture& host, std::unique_ptr<hostile_crowd> crowd) {
  std::this_thread::sleep_for(kSettlingTime);
  const int status = host.Send("GET", "/i/1").status;
  CheckBounds(host);
  cr_assert(status == 200, "an ordinary request is answered with %d", status);
  crowd.reset();
  int largest = 0;
  for (int i = 0; largest != 200 && i < kCalmChecks; ++i) {
    std::this_thread::sleep_for(kCalmCheckPeriod);
    largest = host.Send("POST", "/i/1", process_fixture::kMaxBodyBytes).status;
  }
  cr_assert(largest == 200, "the largest request is answered with %d", largest);
  CheckBounds(host);
}

void PlayCrowd(const std::string& bytes,
               std::size_t piece_bytes = std::string::npos,
               std::size_t size = kCrowd) {
  process_fixture host;
  auto crowd = std::make_unique<hostile_crowd>(host.caller_address(), size);
  crowd->Send(bytes, piece_bytes);
  CheckServes(host, std::move(crowd));
}

}  // namespace

// Guards against complete requests that exhaust the memory while they wait for a silent server.
Test(hostile_callers, whole_bodies_that_wait_for_a_silent_server) {
  PlayCrowd(RequestWithLength("/s/1"));
}

// Guards against bodies that exhaust the memory because their last byte never comes.
Test(hostile_callers, bodies_that_stop_short_of_their_end) {
  std::string request = RequestWithLength("/i/1");
  request.pop_back();
  PlayCrowd(request);
}

// Guards against bodies that grow together, so that none is large when the memory is exhausted.
Test(hostile_callers, bodies_that_come_piece_by_piece) {
  std::string request = RequestWithLength("/i/1");
  request.pop_back();
  PlayCrowd(request, kPieceBytes);
}

// Guards against bodies without a stated length that exhaust the memory.
Test(hostile_callers, large_chunks_without_an_end) {
  PlayCrowd(ChunkedRequest(64 * 1024 - 1));
}

// Guards against framing that costs more memory or time than the body that it carries.
Test(hostile_callers, very_small_chunks_without_an_end) {
  PlayCrowd(ChunkedRequest(1));
}

// Guards against header fields whose positions take more memory than their text.
Test(hostile_callers, headers_of_many_short_fields_without_an_end) {
  std::string request = "GET /i/1 HTTP/1.1\r\nHost: h.example\r\n";
  for (int i = 0; i < 16'000; ++i) {
    request += "a:\r\n";
  }
  PlayCrowd(request);
}

// Guards against answers that are kept without limit for a caller that reads none of them.
Test(hostile_callers, requests_sent_ahead_with_unread_answers) {
  PlayCrowd(RequestsAhead(), std::string::npos, kFewCallers);
}

// Guards against a caller that keeps its answers in memory by reading very little of them.
Test(hostile_callers, answers_that_are_read_very_slowly) {
  process_fixture host;
  auto crowd = std::make_unique<hostile_crowd>(host.caller_address(), kFewCallers);
  crowd->Send(RequestsAhead(), std::string::npos);
  for (int i = 0; i < 100; ++i) {
    crowd->ReadLittle();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  CheckServes(host, std::move(crowd));
}

// Guards against look-ups of the directory that exhaust the memory in the same way.
Test(hostile_callers, bodies_sent_to_the_directory) {
  std::string request = RequestWithLength("/lookup?name=h.example");
  request.pop_back();
  process_fixture host;
  auto crowd = std::make_unique<hostile_crowd>(host.directory_address(), kCrowd);
  crowd->Send(request, std::string::npos);
  CheckServes(host, std::move(crowd));
}
