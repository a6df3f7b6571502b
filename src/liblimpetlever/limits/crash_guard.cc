#include "limits/crash_guard.h"

#include <algorithm>
#include <utility>

namespace limpetlever {

namespace {

// Design page: marks and blocks expire after 10 min; marks of two servers block a request.
constexpr duration kLifetime = std::chrono::minutes(10);
constexpr std::size_t kMarksToBlock = 2;
// Expired entries are removed at this interval, since each removal scans all entries.
constexpr duration kExpiryInterval = std::chrono::seconds(10);

bool IsUnexpired(wall_time at, wall_time now) {
  return now - at < kLifetime;
}

/** Removes the oldest eighth, so that the cost of the scan is amortised over many additions. */
template <typename Map, typename AgeOf>
void RemoveOldest(Map& entries, AgeOf age_of) {
  constexpr std::size_t kRemovalDivisor = 8;
  std::vector<std::pair<wall_time, std::uint64_t>> ages;
  ages.reserve(entries.size());
  for (const auto& [fingerprint, value] : entries) {
    ages.emplace_back(age_of(value), fingerprint);
  }
  const std::size_t count = std::max<std::size_t>(1, ages.size() / kRemovalDivisor);
  std::nth_element(ages.begin(), ages.begin() + static_cast<std::ptrdiff_t>(count - 1), ages.end());
  for (std::size_t i = 0; i < count; ++i) {
    entries.erase(ages[i].second);
  }
}

wall_time Latest(const std::map<std::string, wall_time>& marks) {
  wall_time latest{};
  for (const auto& [server, at] : marks) {
    latest = std::max(latest, at);
  }
  return latest;
}

}  // namespace

crash_guard::crash_guard(std::size_t capacity) : capacity_(std::max<std::size_t>(1, capacity)) {}

std::vector<crash_report> crash_guard::OnServerCrash(const std::string& server,
                                                     const std::vector<std::uint64_t>& fingerprints,
                                                     wall_time now) {
  std::vector<crash_report> added;
  for (const std::uint64_t fingerprint : fingerprints) {
    crash_report report{.fingerprint = fingerprint, .server = server, .at = now};
    if (AddMark(report, now)) {
      added.push_back(std::move(report));
    }
  }
  return added;
}

std::optional<crash_report> crash_guard::OnCompleted(std::uint64_t fingerprint, wall_time now) {
  const bool had_marks = marks_.contains(fingerprint);
  RecordCompletion(fingerprint, now, now);
  if (!had_marks) {
    return std::nullopt;
  }
  return crash_report{.fingerprint = fingerprint, .server = {}, .at = now};
}

void crash_guard::Merge(const crash_report& report, wall_time now) {
  // A remote clock that is ahead must not extend the lifetime.
  const wall_time at = std::min(report.at, now);
  if (!IsUnexpired(at, now)) {
    return;
  }
  if (report.server.empty()) {
    RecordCompletion(report.fingerprint, at, now);
  } else {
    AddMark({.fingerprint = report.fingerprint, .server = report.server, .at = at}, now);
  }
}

bool crash_guard::HasCompleted(std::uint64_t fingerprint, wall_time now) const {
  const auto found = completed_.find(fingerprint);
  return found != completed_.end() && IsUnexpired(found->second, now);
}

void crash_guard::RecordCompletion(std::uint64_t fingerprint, wall_time at, wall_time now) {
  RemoveExpired(now);
  marks_.erase(fingerprint);
  wall_time& known = completed_[fingerprint];
  known = std::max(known, at);
  if (completed_.size() > capacity_) {
    RemoveOldest(completed_, [](wall_time value) { return value; });
  }
}

bool crash_guard::AddMark(const crash_report& report, wall_time now) {
  RemoveExpired(now);
  if (HasCompleted(report.fingerprint, now)) {
    return false;
  }
  server_marks& marks = marks_[report.fingerprint];
  std::erase_if(marks, [now](const auto& mark) { return !IsUnexpired(mark.second, now); });
  const auto known = marks.find(report.server);
  if (known != marks.end()) {
    known->second = std::max(known->second, report.at);
    return false;
  }
  if (marks.size() >= kMarksToBlock) {
    return false;
  }
  marks.emplace(report.server, report.at);
  if (marks_.size() > capacity_) {
    RemoveOldest(marks_, Latest);
  }
  return true;
}

bool crash_guard::IsBlocked(std::uint64_t fingerprint, wall_time now) const {
  const auto found = marks_.find(fingerprint);
  return found != marks_.end() &&
         std::count_if(found->second.begin(), found->second.end(), [now](const auto& mark) {
           return IsUnexpired(mark.second, now);
         }) >= static_cast<std::ptrdiff_t>(kMarksToBlock);
}

bool crash_guard::IsCrashSuspect(std::uint64_t fingerprint,
                                 const std::string& server,
                                 wall_time now) const {
  const auto found = marks_.find(fingerprint);
  return found != marks_.end() &&
         std::any_of(found->second.begin(), found->second.end(), [&](const auto& mark) {
           return mark.first != server && IsUnexpired(mark.second, now);
         });
}

void crash_guard::RemoveExpired(wall_time now) {
  if (now - expired_removed_at_ < kExpiryInterval) {
    return;
  }
  expired_removed_at_ = now;
  std::erase_if(marks_, [now](const auto& item) { return !IsUnexpired(Latest(item.second), now); });
  std::erase_if(completed_, [now](const auto& item) { return !IsUnexpired(item.second, now); });
}

}  // namespace limpetlever
