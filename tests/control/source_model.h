#ifndef TESTS_CONTROL_SOURCE_MODEL_H_
#define TESTS_CONTROL_SOURCE_MODEL_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "control/source_selector.h"
#include "control/watcher_choice.h"

namespace limpetlever {

/**
 * A fleet on simulated time whose hosts select where they read changes from, while the key-value
 * service goes away and returns. Counts the calls of all hosts to the service.
 */
class source_model {
 public:
  /** With `always_falls_back`, a planted fault, hosts without a watcher call the service. */
  source_model(int data_centres, int hosts_per_data_centre, bool always_falls_back)
      : always_falls_back_(always_falls_back) {
    for (int d = 0; d < data_centres; ++d) {
      for (int i = 0; i < hosts_per_data_centre; ++i) {
        members_.push_back({.name = "d" + std::to_string(d) + "h" + std::to_string(i),
                            .data_centre = "d" + std::to_string(d)});
      }
    }
    for (const member& item : members_) {
      hosts_.push_back({.selector = source_selector(item.name, item.data_centre),
                        .next_call = now_ + Jitter(std::chrono::seconds(1)),
                        .next_renewal = now_ + Jitter(std::chrono::seconds(5))});
      index_[item.name] = hosts_.size() - 1;
      const bool is_watcher = IsWatcher(members_, item.data_centre, item.name);
      watchers_ += is_watcher ? 1 : 0;
    }
  }

  void Run(duration time, bool is_service_up) {
    constexpr duration kStep = std::chrono::milliseconds(100);
    is_up_ = is_service_up;
    calls_ = 0;
    most_calls_in_second_ = 0;
    for (const instant end = now_ + time; now_ < end;) {
      int calls_in_second = 0;
      for (int step = 0; step < 10; ++step, now_ += kStep) {
        calls_in_second += Step();
      }
      ++revision_;
      calls_ += calls_in_second;
      most_calls_in_second_ = std::max(most_calls_in_second_, calls_in_second);
    }
  }

  /** Hosts that do not have all changes up to some seconds ago. */
  int BehindBy(int seconds) const {
    return static_cast<int>(std::count_if(
        hosts_.begin(), hosts_.end(),
        [this, seconds](const host& item) { return item.revision + seconds < revision_; }));
  }
  int watchers() const { return watchers_; }
  int size() const { return static_cast<int>(hosts_.size()); }
  /** Of the last call of Run(): reads of the service in all, and in the second with most of them.
   */
  int calls() const { return calls_; }
  int most_calls_in_second() const { return most_calls_in_second_; }

 private:
  struct host {
    source_selector selector;
    instant next_call;
    instant next_renewal;
    instant answered_at{};
    instant answers_since{};
    std::optional<instant> behind_since;
    bool is_answering = true;
    bool is_reachable = false;
    int failures = 0;
    int renewal_failures = 0;
    std::int64_t revision = 0;
  };

  duration Jitter(duration span) {
    return duration(
        static_cast<std::int64_t>(random_.Below(static_cast<std::uint64_t>(span.count()))));
  }
  duration Backoff(int failures, duration max) {
    const duration pause =
        std::min<duration>(max, std::chrono::milliseconds(100) * (1 << std::min(failures, 6)));
    return pause / 2 + Jitter(pause);
  }

  /** Lets all hosts act that are due; returns the number of reads of the service. */
  int Step() {
    int calls = 0;
    for (host& item : hosts_) {
      if (now_ >= item.next_renewal) {
        Renew(item);
      }
      if (now_ >= item.next_call) {
        calls += Read(item);
      }
    }
    return calls;
  }

  void Renew(host& item) {
    item.answers_since = is_up_ && !item.is_answering ? now_ : item.answers_since;
    item.is_answering = is_up_;
    item.answered_at = is_up_ ? now_ : item.answered_at;
    item.renewal_failures = is_up_ ? 0 : item.renewal_failures + 1;
    item.next_renewal = now_ + (is_up_ ? std::chrono::seconds(5)
                                       : Backoff(item.renewal_failures, std::chrono::seconds(3)));
  }

  int Read(host& item) {
    const auto newest =
        std::max_element(hosts_.begin(), hosts_.end(),
                         [](const host& a, const host& b) { return a.revision < b.revision; });
    const bool is_ahead = newest->revision > item.revision + 1;
    item.behind_since = is_ahead ? std::optional(item.behind_since.value_or(now_)) : std::nullopt;
    const source_evidence evidence{
        .is_service_answering = item.is_answering,
        .service_answers_since = item.answers_since,
        .service_answered_at = item.answered_at,
        .are_others_ahead = is_ahead,
        .is_left_behind = is_ahead && now_ - *item.behind_since > std::chrono::seconds(1)};
    const std::string& source =
        item.selector.Choose(members_, static_cast<int>(members_.size()), now_, evidence);
    if (item.selector.HasNoWatcher() && item.is_answering &&
        now_ - item.answered_at > std::chrono::seconds(1)) {
      item.next_renewal = now_;
    }
    const bool is_direct = source.empty() || (always_falls_back_ && item.selector.HasNoWatcher());
    const host* relay = is_direct ? nullptr : &hosts_[index_.at(source)];
    const bool is_relay_serving =
        relay != nullptr && relay->selector.current().empty() && relay->is_reachable;
    const bool is_answered = is_direct ? is_up_ : is_relay_serving;
    item.is_reachable = is_answered;
    if (is_answered) {
      item.failures = 0;
      item.revision = is_direct ? revision_ : relay->revision;
      item.next_call = now_ + std::chrono::milliseconds(800);
    } else {
      item.selector.OnFailed(now_);
      item.next_call = now_ + Backoff(++item.failures, is_direct ? std::chrono::milliseconds(1600)
                                                                 : std::chrono::milliseconds(600));
    }
    return is_direct ? 1 : 0;
  }

  const bool always_falls_back_;
  random_source random_{1};
  std::vector<member> members_;
  std::vector<host> hosts_;
  std::map<std::string, std::size_t> index_;
  instant now_{std::chrono::seconds(100)};
  bool is_up_ = true;
  std::int64_t revision_ = 1;
  int watchers_ = 0;
  int calls_ = 0;
  int most_calls_in_second_ = 0;
};

}  // namespace limpetlever

#endif  // TESTS_CONTROL_SOURCE_MODEL_H_
