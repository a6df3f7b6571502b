#ifndef TESTS_OWNERSHIP_OWNERSHIP_MODEL_H_
#define TESTS_OWNERSHIP_OWNERSHIP_MODEL_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random_source.h"
#include "ownership/handover.h"
#include "ownership/view_lease.h"
#include "ownership/view_proposer.h"

namespace limpetlever {

/**
 * Simulates a region of hosts that run the real decision classes over a simulated network and
 * key-value service. Messages are delayed, lost and duplicated, links fail, hosts pause and
 * restart, clock rates differ by the full margin, and each host considers arbitrary hosts alive.
 * Attempts run on the backend server for up to their time limit, and outlive the host that sent
 * them.
 */
template <typename Lease = view_lease,
          typename Handover = handover,
          typename Proposer = view_proposer>
class ownership_model {
 public:
  struct outcome {
    std::string violation;  // empty if no replica had two users at a time
    int dispatched = 0;
    int epochs = 0;
    int releases = 0;
    /** Whether all replicas were in use at the end, after a time without faults. */
    bool recovered = false;
  };

  ownership_model(std::uint64_t seed, int hosts, duration faulty_time)
      : random_(seed), faulty_until_(faulty_time) {
    for (int r = 0; r < 4; ++r) {
      replicas_.push_back({.address = "r" + std::to_string(r), .data_centre = "dc"});
    }
    for (int h = 0; h < hosts; ++h) {
      host_count_ = h + 1;
      Start(h);
    }
  }

  outcome Run() {
    const duration end = faulty_until_ + std::chrono::seconds(25);
    Schedule(duration(0), [this] { Step(); });
    while (!queue_.empty() && now_ < end && result_.violation.empty()) {
      auto next = queue_.extract(queue_.begin());
      now_ = next.key().first;
      next.mapped()();
    }
    result_.epochs = static_cast<int>(committed_views_.size());
    std::set<std::string> in_use;
    for (const auto& [replica, attempts] : attempts_) {
      for (const attempt& running_attempt : attempts) {
        if (running_attempt.start > end - std::chrono::seconds(4)) {
          in_use.insert(replica);
        }
      }
    }
    result_.recovered = in_use.size() == replicas_.size();
    return result_;
  }

 private:
  struct process {
    process(const std::string& host_name, std::int64_t process_incarnation, std::uint64_t seed)
        : name(host_name),
          incarnation(process_incarnation),
          lease(host_name, process_incarnation),
          replica_handover(host_name, process_incarnation),
          proposer(host_name, seed) {}
    std::string name;
    std::int64_t incarnation;
    Lease lease;
    Handover replica_handover;
    Proposer proposer;
    double rate = 1.0;
    duration offset{};
    duration paused_until{};
    bool crashed = false;
    std::set<std::string> in_flight;
  };
  using process_ptr = std::shared_ptr<process>;
  struct attempt {
    const process* owner;
    duration start;
    duration end;
  };

  bool FaultsAreActive() const { return now_ < faulty_until_; }
  bool Chance(double probability) { return random_.Unit() < probability; }
  duration Random(int low_ms, int high_ms) {
    return std::chrono::milliseconds(
        low_ms + static_cast<int>(random_.Below(static_cast<std::uint64_t>(high_ms - low_ms + 1))));
  }
  void Schedule(duration when, std::function<void()> call) {
    queue_.emplace(std::pair{when, ++sequence_}, std::move(call));
  }
  instant Clock(const process& host) const {
    return instant(host.offset + duration(static_cast<std::int64_t>(
                                     static_cast<double>(now_.count()) * host.rate)));
  }

  void Start(int index) {
    const std::string name = "h" + std::to_string(index);
    auto host = std::make_shared<process>(name, ++incarnations_, random_.Next());
    // The ratio of the fastest to the slowest clock is 1.1, which is the clock margin.
    static constexpr double kRates[] = {0.9535, 1.0, 1.0488};
    host->rate = kRates[random_.Below(3)];
    host->offset = Random(0, 100000);
    if (static_cast<int>(hosts_.size()) <= index) {
      hosts_.push_back(host);
    } else {
      hosts_[static_cast<std::size_t>(index)] = host;
    }
  }

  /** Runs `call` on the process now, or when its pause ends; never if the process has crashed. */
  void RunOn(const process_ptr& host, std::function<void()> call) {
    if (host->crashed) {
      return;
    }
    if (now_ < host->paused_until) {
      Schedule(host->paused_until, [this, host, call = std::move(call)] { RunOn(host, call); });
      return;
    }
    call();
  }

  /** Delivers a message over a link with delay, loss and duplication. Links are one-way. */
  void Send(const std::string& from, const std::string& to, std::function<void()> deliver) {
    const auto cut = cut_until_.find({from, to});
    if (cut != cut_until_.end() && now_ < cut->second) {
      return;
    }
    const int copies = !FaultsAreActive() ? 1 : Chance(0.1) ? 0 : Chance(0.1) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const duration delay = FaultsAreActive() && Chance(0.1) ? Random(200, 2500) : Random(1, 30);
      Schedule(now_ + delay, deliver);
    }
  }

  void AdoptView(const process_ptr& host, const ownership_view& view, bool in_turn) {
    const auto first =
        static_cast<std::size_t>(in_turn ? host->lease.view().epoch : view.epoch - 1);
    for (std::size_t e = first; e < static_cast<std::size_t>(view.epoch); ++e) {
      const ownership_view& next = committed_views_[e];
      if (host->lease.Adopt(next)) {
        host->replica_handover.Adopt(owner_index(next, replicas_), replicas_, Clock(*host));
      }
    }
    host->proposer.OnView(view, Clock(*host));
  }

  ownership_view StoredView() const {
    return committed_views_.empty() ? ownership_view{} : committed_views_.back();
  }

  void ReadStore(const process_ptr& host, bool for_proposer) {
    const instant sent = Clock(*host);
    auto answered = std::make_shared<bool>(false);
    Send(host->name, "kv", [=, this] {
      const ownership_view view = StoredView();
      const auto revision = static_cast<std::int64_t>(committed_views_.size());
      Send("kv", host->name, [=, this] {
        RunOn(host, [=, this] {
          if (for_proposer && !*answered) {
            host->proposer.OnRead(view, revision, Clock(*host));
          }
          *answered = true;
          AdoptView(host, view, Chance(0.7));
          host->lease.OnRead(view.epoch, 0, sent);
          RunProposer(host);
        });
      });
    });
    if (for_proposer) {
      Schedule(now_ + Random(300, 400), [=, this] {
        RunOn(host, [=, this] {
          if (!*answered) {
            *answered = true;
            host->proposer.OnReadFailed(Clock(*host));
          }
        });
      });
    }
  }

  void Commit(const process_ptr& host, const proposer_action& action) {
    using enum view_proposer::commit_outcome;
    auto answered = std::make_shared<bool>(false);
    const auto report = [=, this](view_proposer::commit_outcome result) {
      RunOn(host, [=, this] {
        if (*answered) {
          return;
        }
        *answered = true;
        host->proposer.OnCommit(result, Clock(*host));
        if (result == committed) {
          AdoptView(host, action.view, true);
        }
        RunProposer(host);
      });
    };
    Send(host->name, "kv", [=, this] {
      const bool matches = action.revision == static_cast<std::int64_t>(committed_views_.size());
      if (matches) {
        committed_views_.push_back(action.view);
      }
      Send("kv", host->name, [=] { report(matches ? committed : conflict); });
    });
    Schedule(now_ + Random(300, 400), [=] { report(unknown); });
  }

  void RunProposer(const process_ptr& host) {
    for (const proposer_action& action : host->proposer.Advance(Clock(*host))) {
      switch (action.kind) {
        case proposer_action::action_kind::read_view:
          ReadStore(host, true);
          break;
        case proposer_action::action_kind::commit:
          Commit(host, action);
          break;
        case proposer_action::action_kind::close_epoch:
          for (const std::string& target : action.targets) {
            SendClose(host, target, action.epoch);
          }
          break;
      }
    }
  }

  void SendClose(const process_ptr& host, const std::string& target, std::int64_t epoch) {
    if (target == host->name) {
      host->lease.CloseEpoch(epoch);
      host->proposer.OnEpochClosed(target, epoch);
      return;
    }
    Send(host->name, target, [=, this] {
      const process_ptr peer = Find(target);
      RunOn(peer, [=, this] {
        peer->lease.CloseEpoch(epoch);
        peer->proposer.OnEpochClosedLocally(epoch, Clock(*peer));
        if (FaultsAreActive() && Chance(0.1)) {
          Schedule(now_ + Random(5, 60), [this] { PartitionNetwork(); });
        }
        Send(target, host->name, [=, this] {
          RunOn(host, [=, this] {
            host->proposer.OnEpochClosed(target, epoch);
            RunProposer(host);
          });
        });
      });
    });
  }

  process_ptr Find(const std::string& name) const {
    return hosts_[static_cast<std::size_t>(std::stoi(name.substr(1)))];
  }

  /** Requests the view report and the view of another host. */
  void RequestReport(const process_ptr& host, const process_ptr& other) {
    const instant sent = Clock(*host);
    const std::string name = other->name;
    Send(host->name, name, [=, this] {
      const process_ptr peer = Find(name);
      RunOn(peer, [=, this] {
        const view_report report = peer->lease.Report(Clock(*peer));
        const ownership_view view = peer->lease.view();
        const std::int64_t incarnation = peer->incarnation;
        Send(name, host->name, [=, this] {
          RunOn(host, [=, this] {
            if (view.epoch > host->lease.view().epoch) {
              AdoptView(host, view, Chance(0.7));
            }
            host->lease.OnReport(name, incarnation, report, sent);
          });
        });
      });
    });
  }

  void Dispatch(const process_ptr& host, const std::string& replica) {
    const instant clock = Clock(*host);
    if (host->in_flight.contains(replica) || !host->lease.MayDispatch(clock) ||
        !host->replica_handover.IsReady(replica, clock)) {
      return;
    }
    std::vector<attempt>& running = attempts_[replica];
    std::erase_if(running, [this](const attempt& a) { return a.end <= now_; });
    for (const attempt& running_attempt : running) {
      if (running_attempt.owner != host.get()) {
        result_.violation =
            replica + " used by " + running_attempt.owner->name + " and " + host->name;
      }
    }
    for (const process_ptr& other : hosts_at_step_) {
      const instant other_clock = Clock(*other);
      if (other != host && !other->crashed && other->lease.MayDispatch(other_clock) &&
          other->replica_handover.IsReady(replica, other_clock)) {
        result_.violation = "both may use " + replica + ": " + other->name + " and " + host->name;
      }
    }
    // The time limit counts from the lease check, by this host's clock, even if a pause follows it.
    const duration time_limit(static_cast<std::int64_t>(2e6 / host->rate));
    const duration end = now_ + (Chance(0.3) ? time_limit : Random(1, 500));
    running.push_back({.owner = host.get(), .start = now_, .end = end});
    ++result_.dispatched;
    host->in_flight.insert(replica);
    Schedule(end, [=, this] { RunOn(host, [=] { host->in_flight.erase(replica); }); });
  }

  void Release(const process_ptr& host) {
    const auto lost = host->replica_handover.ReplicasToRelease();
    if (!lost || std::any_of(lost->begin(), lost->end(), [&host](const std::string& replica) {
          return host->in_flight.contains(replica);
        })) {
      return;
    }
    const std::int64_t epoch = host->lease.view().epoch;
    host->replica_handover.OnReleaseSent();
    ++result_.releases;
    for (const process_ptr& other : hosts_) {
      if (other == host) {
        continue;
      }
      const std::string target = other->name;
      Send(host->name, target, [=, this] {
        const process_ptr peer = Find(target);
        RunOn(peer, [=] { peer->replica_handover.OnRelease(host->name, epoch); });
      });
    }
  }

  void UpdateWantedMembers(const process_ptr& host) {
    std::vector<view_member> wanted;
    for (const process_ptr& other : hosts_) {
      if (other == host || !FaultsAreActive() || Chance(0.7)) {
        wanted.push_back(
            {.name = other->name, .data_centre = "dc", .incarnation = other->incarnation});
      }
    }
    std::sort(wanted.begin(), wanted.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    host->proposer.SetWantedMembers(std::move(wanted), {}, Clock(*host));
  }

  /**
   * Disconnects some hosts from the key-value service and from the other hosts; they still reach
   * each other.
   */
  void PartitionNetwork() {
    const duration until = now_ + Random(5000, 12000);
    std::set<std::string> inside;
    for (const process_ptr& host : hosts_) {
      if (Chance(0.6)) {
        inside.insert(host->name);
      }
    }
    for (const process_ptr& host : hosts_) {
      if (!inside.contains(host->name)) {
        continue;
      }
      cut_until_[{host->name, "kv"}] = until;
      cut_until_[{"kv", host->name}] = until;
      for (const process_ptr& other : hosts_) {
        if (!inside.contains(other->name)) {
          cut_until_[{host->name, other->name}] = until;
          cut_until_[{other->name, host->name}] = until;
        }
      }
    }
  }

  void InjectFaults() {
    if (Chance(0.004)) {
      hosts_[random_.Below(hosts_.size())]->paused_until = now_ + Random(100, 8000);
    }
    if (Chance(0.002)) {
      const std::size_t index = random_.Below(hosts_.size());
      hosts_[index]->crashed = true;
      Start(static_cast<int>(index));
    }
    const auto any = [this] {
      const std::uint64_t i = random_.Below(hosts_.size() + 1);
      return i == hosts_.size() ? std::string("kv") : "h" + std::to_string(i);
    };
    if (Chance(0.02)) {
      cut_until_[{any(), any()}] = now_ + Random(500, 10000);
    }
    if (Chance(0.004)) {  // One host loses its links with the key-value service.
      const std::string host = "h" + std::to_string(random_.Below(hosts_.size()));
      const duration until = now_ + Random(1000, 12000);
      cut_until_[{host, "kv"}] = until;
      cut_until_[{"kv", host}] = until;
    }
    if (Chance(0.002)) {  // No host can reach the key-value service.
      const duration until = now_ + Random(1000, 12000);
      for (const process_ptr& host : hosts_) {
        cut_until_[{host->name, "kv"}] = until;
      }
    }
  }

  void Step() {
    if (FaultsAreActive()) {
      InjectFaults();
    } else {
      cut_until_.clear();
    }
    hosts_at_step_ = hosts_;
    for (const process_ptr& host : hosts_) {
      RunOn(host, [=, this] {
        if (host->paused_until > now_) {
          return;
        }
        if (Chance(FaultsAreActive() ? 0.01 : 0.1)) {
          UpdateWantedMembers(host);
        }
        if (Chance(0.1)) {
          ReadStore(host, false);
        }
        if (Chance(0.3)) {
          RequestReport(host, hosts_[random_.Below(hosts_.size())]);
        }
        RunProposer(host);
        Release(host);
        for (const replica_location& replica : replicas_) {
          if (Chance(0.5)) {
            Dispatch(host, replica.address);
          }
        }
      });
    }
    Schedule(now_ + std::chrono::milliseconds(50), [this] { Step(); });
  }

  random_source random_;
  duration faulty_until_;
  duration now_{};
  std::uint64_t sequence_ = 0;
  std::map<std::pair<duration, std::uint64_t>, std::function<void()>> queue_;
  int host_count_ = 0;
  std::int64_t incarnations_ = 0;
  std::vector<process_ptr> hosts_;
  std::vector<process_ptr> hosts_at_step_;
  std::vector<replica_location> replicas_;
  std::vector<ownership_view> committed_views_;  // the view of epoch e is at index e - 1
  std::map<std::pair<std::string, std::string>, duration> cut_until_;
  std::map<std::string, std::vector<attempt>> attempts_;
  outcome result_;
};

}  // namespace limpetlever

#endif  // TESTS_OWNERSHIP_OWNERSHIP_MODEL_H_
