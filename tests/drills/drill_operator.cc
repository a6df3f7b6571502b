#include "drills/drill_operator.h"

#include <cstddef>
#include <sstream>
#include <utility>

#include "base/json_document.h"
#include "drills/drill_store.h"
#include "net/event_loop.h"

namespace limpetlever {

namespace {

using std::chrono::milliseconds;

constexpr duration kRetry = milliseconds(100);
constexpr std::uint64_t kMaxRewriteDelayMs = 2000;
constexpr std::size_t kFixedRoutes = 4;
constexpr std::size_t kMaxAddedRoutes = 4;
constexpr std::size_t kRemovedKept = 2;
constexpr std::size_t kWrittenKept = 60;

std::string FixedPrefix(std::size_t number) {
  return "/fixed" + std::to_string(number) + "/";
}

}  // namespace

drill_operator::drill_operator(event_loop& loop,
                               drill_store& store,
                               std::vector<std::string> services)
    : loop_(loop), store_(store), services_(std::move(services)) {
  for (std::size_t i = 0; i < kFixedRoutes; ++i) {
    newest_.routes[FixedPrefix(i)] = services_[i % services_.size()];
  }
  WriteConfig(newest_);
}

std::string drill_operator::Encode(const config& value) const {
  std::ostringstream out;
  out << "{\"version\":" << value.version << ",\"routes\":[";
  const char* separator = "";
  for (const auto& [prefix, service] : value.routes) {
    out << separator << "{\"name\":\"r" << prefix.substr(1, prefix.size() - 2)
        << "\",\"host\":\"h.example\",\"prefix\":\"" << prefix
        << "\",\"kind\":\"idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":250,"
        << "\"priority\":2,\"service\":\"" << service << "\",\"maxAttempts\":2}";
    separator = ",";
  }
  out << "],\"services\":[";
  separator = "";
  for (const std::string& service : services_) {
    out << separator << "{\"name\":\"" << service
        << "\",\"healthPath\":\"/health\",\"maxConns\":192,\"protocol\":\"h1\",\"tls\":false,"
        << "\"warmupS\":0,\"warmupPerS\":0}";
    separator = ",";
  }
  out << "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
      << "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
  return out.str();
}

void drill_operator::WriteConfig(const config& value) {
  const std::string text = Encode(value);
  store_.Write("op/config", text, text);
}

std::int64_t drill_operator::StoredVersion() const {
  const drill_store::item* found = store_.Find("op/config");
  return found == nullptr
             ? 0
             : IntegerMember(*ParseJsonObject(found->value, "config").value(), "version")
                   .value_or(0);
}

void drill_operator::ChangeConfig(std::uint64_t choice) {
  random_source random(choice);
  newest_.version += 1 + static_cast<std::int64_t>(random.Below(3));
  for (int moved = 0; moved < 2; ++moved) {
    newest_.routes[FixedPrefix(random.Below(kFixedRoutes))] =
        services_[random.Below(services_.size())];
  }
  const bool adds = random.Below(2) == 0;
  if (adds && newest_.routes.size() < kFixedRoutes + kMaxAddedRoutes) {
    newest_.routes["/added" + std::to_string(next_route_++) + "/"] =
        services_[random.Below(services_.size())];
  } else if (newest_.routes.size() > kFixedRoutes) {
    const std::string prefix = newest_.routes.begin()->first;
    newest_.routes.erase(prefix);
    removed_prefixes_.push_back(prefix);
    if (removed_prefixes_.size() > kRemovedKept) {
      removed_prefixes_.erase(removed_prefixes_.begin());
    }
  }
  written_.push_back(newest_);
  if (written_.size() > kWrittenKept) {
    written_.erase(written_.begin());
  }
  Write();
}

void drill_operator::Evacuate(const std::string& data_centre) {
  evacuated_ = data_centre;
  all_evacuated_.insert(data_centre);
  Write();
}

void drill_operator::EndEvacuation() {
  evacuated_.reset();
  Write();
}

void drill_operator::Write() {
  if (!store_.IsUp()) {
    loop_.timers().Subscribe(loop_.Now() + kRetry, [this](instant) { Write(); });
    return;
  }
  if (StoredVersion() < newest_.version) {
    WriteConfig(newest_);
  }
  for (const std::string& data_centre : all_evacuated_) {
    const std::string key = "op/evacuate/" + data_centre;
    if (evacuated_ == data_centre) {
      store_.Write(key, "{}", "{}");
    } else {
      store_.Remove(key);
    }
  }
}

void drill_operator::OnStoreReturn(std::uint64_t choice, bool repeats_all_versions) {
  const auto delay = milliseconds(random_source(choice).Below(kMaxRewriteDelayMs));
  loop_.timers().Subscribe(loop_.Now() + delay, [this, repeats_all_versions](instant) {
    if (repeats_all_versions && store_.IsUp()) {
      const std::int64_t stored = StoredVersion();
      for (const config& value : written_) {
        if (value.version > stored) {
          WriteConfig(value);
        }
      }
    }
    Write();
  });
}

std::string drill_operator::ChoosePrefix(random_source& random) const {
  std::vector<std::string> prefixes = removed_prefixes_;
  for (const auto& [prefix, service] : newest_.routes) {
    prefixes.push_back(prefix);
  }
  return prefixes[random.Below(prefixes.size())];
}

}  // namespace limpetlever
