#include "node/crash_reporter.h"

#include <algorithm>

#include "net/event_loop.h"
#include "node/log_writer.h"
#include "replicas/replica.h"

namespace limpetlever {

namespace {

// Capacity of crash_guard. Requests that crash servers are rare; an entry takes about 100 bytes.
constexpr std::size_t kMaxFingerprints = 512;

std::string ProcessName(const replica& server) {
  return server.id + "@" + std::to_string(server.started_ms);
}

}  // namespace

crash_reporter::crash_reporter(event_loop& loop, log_writer& log)
    : loop_(loop), log_(log), crash_guard_(kMaxFingerprints) {}

bool crash_reporter::IsBlocked(const request_fingerprints& fingerprints) const {
  return std::any_of(fingerprints.begin(), fingerprints.end(), [this](std::uint64_t fingerprint) {
    return crash_guard_.IsBlocked(fingerprint, ReadWallClock());
  });
}

void crash_reporter::AddLost(const replica& server, const request_fingerprints& fingerprints) {
  for (const std::uint64_t fingerprint : fingerprints) {
    lost_requests_.Add(ProcessName(server), fingerprint, loop_.Now());
  }
}

void crash_reporter::Publish(const crash_report& report) {
  log_.Record(event_number::crash_suspected, {{"fingerprint", std::to_string(report.fingerprint)},
                                              {"replica", report.server},
                                              {"source", "own"}});
  if (on_report_) {
    on_report_(report);
  }
  if (!report.server.empty()) {
    unstored_marks_.push_back(report);
    if (unstored_marks_.size() > kMaxFingerprints) {
      unstored_marks_.pop_front();
    }
    StoreMarksIfBlocked(report.fingerprint);
  }
}

void crash_reporter::StoreMarksIfBlocked(std::uint64_t fingerprint) {
  if (!on_request_blocked_ || !crash_guard_.IsBlocked(fingerprint, ReadWallClock())) {
    return;
  }
  std::erase_if(unstored_marks_, [this, fingerprint](const crash_report& mark) {
    const bool is_stored = mark.fingerprint == fingerprint;
    if (is_stored) {
      on_request_blocked_(mark);
    }
    return is_stored;
  });
}

void crash_reporter::Merge(const crash_report& report, const char* source) {
  log_.Record(event_number::crash_suspected, {{"fingerprint", std::to_string(report.fingerprint)},
                                              {"replica", report.server},
                                              {"source", source}});
  crash_guard_.Merge(report, ReadWallClock());
  StoreMarksIfBlocked(report.fingerprint);
}

void crash_reporter::OnReplicaDown(const replica& server) {
  const std::string process = ProcessName(server);
  for (const crash_report& report : crash_guard_.OnServerCrash(
           process, lost_requests_.TakeForServer(process, loop_.Now()), ReadWallClock())) {
    Publish(report);
  }
}

void crash_reporter::OnCompleted(const request_fingerprints& fingerprints) {
  for (const std::uint64_t fingerprint : fingerprints) {
    if (const auto report = crash_guard_.OnCompleted(fingerprint, ReadWallClock())) {
      Publish(*report);
    }
  }
}

}  // namespace limpetlever
