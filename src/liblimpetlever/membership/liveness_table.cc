#include "membership/liveness_table.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/hash.h"

namespace limpetlever {

namespace {

// A report is a sequence of entries: the id of a host in 5 characters of 6 bits each, the lowest
// bits first, and the age of its last sign of life in one.
constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::size_t kIdDigits = 5;
constexpr std::size_t kEntrySize = kIdDigits + 1;
constexpr unsigned kBitsPerDigit = 6;
constexpr std::uint32_t kDigitMask = (1U << kBitsPerDigit) - 1;
constexpr duration kAgeUnit = std::chrono::milliseconds(100);
// Part of the timeout that hosts have after a pause of this process. It must end before this host
// counts as undisturbed again, 4 s after the pause.
constexpr duration kTimeoutAfterPause = std::chrono::milliseconds(3500);
// More than the hosts of the largest fleet (2,500). Bounds the memory if reports name hosts that
// do not exist.
constexpr std::size_t kMaxHosts = 8192;

constexpr std::array<int, 256> MakeDigitValues() {
  std::array<int, 256> values{};
  values.fill(-1);
  for (std::size_t i = 0; i < kDigits.size(); ++i) {
    values[static_cast<unsigned char>(kDigits[i])] = static_cast<int>(i);
  }
  return values;
}
constexpr std::array<int, 256> kDigitValues = MakeDigitValues();

int DigitValue(char digit) {
  return kDigitValues[static_cast<unsigned char>(digit)];
}

void AppendEntry(std::string& report, std::uint32_t id, duration age) {
  for (std::size_t i = 0; i < kIdDigits; ++i) {
    report.push_back(kDigits[(id >> (i * kBitsPerDigit)) & kDigitMask]);
  }
  // Rounded up: ages that are too low at each host on the way would keep an ended host longer.
  const auto units = static_cast<std::size_t>((age + kAgeUnit - duration(1)) / kAgeUnit);
  report.push_back(kDigits[std::min(units, kDigits.size() - 1)]);
}

}  // namespace

liveness_table::liveness_table(std::string_view own_name) : own_(IdOf(own_name)) {}

liveness_table::host_id liveness_table::IdOf(std::string_view name) {
  constexpr std::uint64_t kIdMask = (std::uint64_t{1} << (kIdDigits * kBitsPerDigit)) - 1;
  return static_cast<host_id>(Hash(name) & kIdMask);
}

void liveness_table::SetHostsInUse(const std::vector<std::string>& names) {
  in_use_.clear();
  for (const std::string& name : names) {
    in_use_.insert(IdOf(name));
  }
}

void liveness_table::Merge(std::string_view report, instant received) {
  report = report.substr(0, kMaxReported * kEntrySize);
  for (; report.size() >= kEntrySize; report.remove_prefix(kEntrySize)) {
    host_id id = 0;
    bool is_valid = true;
    for (std::size_t i = 0; i < kIdDigits; ++i) {
      const int value = DigitValue(report[i]);
      is_valid = is_valid && value >= 0;
      id |= static_cast<host_id>(std::max(0, value)) << (i * kBitsPerDigit);
    }
    const int age = DigitValue(report[kIdDigits]);
    if (!is_valid || age < 0) {
      return;
    }
    const duration age_time = kAgeUnit * age;
    if (age_time < kTimeout) {
      Record(id, received - age_time);
    }
  }
}

void liveness_table::Record(host_id id, instant heard) {
  if (id == own_) {
    return;
  }
  if (heard_.size() >= kMaxHosts && !heard_.contains(id)) {
    ForgetSilent(heard);
    if (heard_.size() >= kMaxHosts) {
      return;
    }
  }
  const auto [known, is_new] = heard_.try_emplace(id, heard);
  known->second = std::max(known->second, heard);
}

std::string liveness_table::Report(instant now) {
  ForgetSilent(now);
  // Hosts in use first, then the one that was heard last.
  std::vector<std::pair<bool, std::pair<instant, host_id>>> known;
  known.reserve(heard_.size());
  for (const auto& [id, heard] : heard_) {
    known.push_back({in_use_.contains(id), {heard, id}});
  }
  const auto in_use = static_cast<std::size_t>(
      std::count_if(known.begin(), known.end(), [](const auto& item) { return item.first; }));
  const std::size_t count = std::min({kMaxReported - 1, known.size(), in_use + kMaxReportedSpare});
  std::partial_sort(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(count), known.end(),
                    std::greater<>());
  std::string report;
  report.reserve((count + 1) * kEntrySize);
  AppendEntry(report, own_, duration::zero());
  for (std::size_t i = 0; i < count; ++i) {
    const auto& [heard, id] = known[i].second;
    AppendEntry(report, id, std::max(duration::zero(), now - heard));
  }
  return report;
}

void liveness_table::OnPause(duration pause, instant now) {
  const instant latest = now - (kTimeout - kTimeoutAfterPause);
  for (auto& [id, heard] : heard_) {
    heard = std::max(heard, std::min(heard + pause, latest));
  }
}

bool liveness_table::IsLive(std::string_view name, instant now) const {
  const host_id id = IdOf(name);
  const auto known = heard_.find(id);
  return id == own_ || (known != heard_.end() && now - known->second < kTimeout);
}

bool liveness_table::IsComplete(instant now) const {
  if (in_use_.size() <= kMaxReported) {
    return true;
  }
  const auto live = std::count_if(heard_.begin(), heard_.end(),
                                  [now](const auto& item) { return now - item.second < kTimeout; });
  return static_cast<std::size_t>(live) < kMaxReported;
}

void liveness_table::ForgetSilent(instant now) {
  std::erase_if(heard_, [now](const auto& item) { return now - item.second >= kTimeout; });
}

}  // namespace limpetlever
