#ifndef TESTS_QUERY_NOTICE_MODEL_H_
#define TESTS_QUERY_NOTICE_MODEL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/route_table.h"
#include "query/query_plan.h"
#include "query/query_state.h"
#include "replicas/admission.h"
#include "replicas/replica.h"
#include "replicas/replica_record.h"
#include "replicas/replica_registry.h"
#include "replicas/server_notice.h"

namespace limpetlever {

/** Faults that a model plants in its hosts, to show that it finds them. */
struct planted_faults {
  /** An entry that says "ready" makes the host forget that the server is leaving. */
  bool entry_ends_leaving = false;
  /** Any answer without a pause ends the pause. */
  bool answer_ends_pause = false;
};

/**
 * A fleet of hosts on simulated time that send requests to one service of three servers: one
 * leaves, one asks for pauses, one serves. Hosts freeze and restart, answers are late or lost, and
 * entries of the servers expire and come back. Counts what breaks the users' rules.
 */
class notice_model {
 public:
  notice_model(int hosts, std::uint64_t seed, planted_faults faults)
      : faults_(faults), random_(seed) {
    route item;
    item.name = "r";
    item.host = "h";
    item.prefix = "/r/";
    item.is_idempotent = true;
    item.timeout = std::chrono::seconds(2);
    item.target_latency = std::chrono::milliseconds(500);
    item.max_attempts = 2;
    item.services = {{.service = "s"}};
    table_ = std::make_shared<route_table>(1, std::vector<route>{item},
                                           std::vector<service_settings>{}, caller_limits{});
    for (int i = 0; i < hosts; ++i) {
      hosts_.push_back(std::make_unique<host>());
      Restart(*hosts_.back());
    }
  }

  void Run() {
    constexpr duration kStep = std::chrono::milliseconds(20);
    for (const instant end = now_ + kPlayTime; now_ < end; now_ += kStep) {
      for (const auto& item : hosts_) {
        Disturb(*item);
        if (now_ >= item->frozen_until) {
          Deliver(*item);
          if (random_.Unit() < kRequestShare) {
            Ask(*item);
          }
        }
      }
    }
  }

  int broken_drains() const { return broken_drains_; }
  int broken_pauses() const { return broken_pauses_; }
  int notices() const { return notices_; }
  /** Requests sent to the leaving server since it began to leave. */
  int asked_while_leaving() const { return asked_while_leaving_; }
  /** Starts of hosts, the first ones included. */
  int starts() const { return starts_; }
  int asked() const { return asked_; }
  int served() const { return served_; }

 private:
  static constexpr duration kPlayTime = std::chrono::seconds(30);
  static constexpr duration kLeavesAfter = std::chrono::seconds(4);
  static constexpr duration kPauseSlack = std::chrono::milliseconds(500);
  static constexpr double kRequestShare = 0.25;
  static constexpr double kLostShare = 0.05;
  static constexpr double kPauseShare = 0.1;
  static constexpr int kMaxInPause = 2;

  struct delivery {
    instant due;
    std::shared_ptr<query_plan> plan;
    std::uint32_t attempt = 0;
    std::string server;
    std::optional<replica_reply> reply;
  };
  struct pause_window {
    instant answered;
    instant end;
    int arrivals = 0;
  };
  struct host {
    std::unique_ptr<replica_registry> registry;
    std::unique_ptr<query_state> state;
    std::vector<delivery> under_way;
    std::vector<pause_window> pauses;
    instant frozen_until;
    bool knows_of_leaving = false;
  };

  static replica Entry(const std::string& id) {
    return {.id = id, .service = "s", .data_centre = "d", .slots = 2, .started_ms = 1};
  }

  bool IsLeaving() const { return now_ - instant(std::chrono::seconds(100)) > kLeavesAfter; }

  void Restart(host& item) {
    ++starts_;
    item.registry = std::make_unique<replica_registry>("d");
    item.state = std::make_unique<query_state>(
        query_state{.replicas = *item.registry, .random = random_source(random_.Below(1000))});
    item.state->budget_limits = {.per_request = 0.2, .burst = 100.0};
    item.under_way.clear();
    item.pauses.clear();
    item.knows_of_leaving = false;
    for (const char* id : {"leaving", "pausing", "serving"}) {
      item.registry->Put(Entry(id), now_);
    }
  }

  void Disturb(host& item) {
    const double chance = random_.Unit();
    if (chance < 0.0005) {
      Restart(item);
    } else if (chance < 0.002) {
      item.frozen_until = now_ + std::chrono::milliseconds(500 + random_.Below(4000));
    } else if (chance < 0.02) {
      // An older copy of the store removes an entry and brings it back.
      for (const char* id : {"leaving", "pausing"}) {
        if (random_.Unit() < 0.5) {
          item.registry->Remove(id, now_);
        }
        item.registry->Put(Entry(id), now_);
        if (faults_.entry_ends_leaving) {
          item.registry->Find(id)->is_leaving = false;
        }
      }
    }
  }

  void Ask(host& item) {
    auto plan = std::make_shared<query_plan>(table_, table_->routes().front(), *item.state, now_,
                                             now_ + table_->routes().front().timeout);
    ++asked_;
    query_plan::action_list actions;
    plan->Start(now_, actions);
    Carry(item, plan, actions);
  }

  void Carry(host& item,
             const std::shared_ptr<query_plan>& plan,
             const query_plan::action_list& actions) {
    for (const query_action& action : actions) {
      if (action.kind == query_action::kind_type::finish) {
        served_ += plan->outcome().HasAnswer() ? 1 : 0;
      } else if (action.kind == query_action::kind_type::send) {
        Send(item, plan, action);
      }
    }
  }

  void Send(host& item, const std::shared_ptr<query_plan>& plan, const query_action& action) {
    const std::string& server = action.target->registered.id;
    if (server == "leaving" && item.knows_of_leaving) {
      ++broken_drains_;
    }
    const instant arrival = now_ + std::chrono::milliseconds(1);
    asked_while_leaving_ += server == "leaving" && IsLeaving() ? 1 : 0;
    if (server == "pausing") {
      for (pause_window& pause : item.pauses) {
        if (arrival > pause.answered + kPauseSlack && arrival < pause.end &&
            ++pause.arrivals > kMaxInPause) {
          ++broken_pauses_;
        }
      }
    }
    delivery answer{.due = now_ + std::chrono::milliseconds(2 + random_.Below(300)),
                    .plan = plan,
                    .attempt = action.attempt,
                    .server = server};
    if (random_.Unit() >= kLostShare) {
      answer.reply = replica_reply{.status = 200, .signature = "s", .body = "b"};
      answer.reply->notice.is_leaving = server == "leaving" && IsLeaving();
      if (server == "pausing" && random_.Unit() < kPauseShare) {
        answer.reply = replica_reply{.status = 503, .is_not_run = true};
        answer.reply->notice.pause = std::chrono::milliseconds(300 + random_.Below(5000));
      }
    }
    item.under_way.push_back(std::move(answer));
  }

  void Deliver(host& item) {
    std::vector<delivery> due;
    std::erase_if(item.under_way, [this, &due](delivery& answer) {
      const bool is_due = answer.due <= now_;
      if (is_due) {
        due.push_back(std::move(answer));
      }
      return is_due;
    });
    for (delivery& answer : due) {
      query_plan::action_list actions;
      if (answer.reply) {
        NoteNotice(item, answer);
        const auto record = item.registry->Find(answer.server);
        answer.plan->OnReply(answer.attempt, std::move(*answer.reply), now_, actions);
        if (faults_.answer_ends_pause && record) {
          record->pause = request_pause();
        }
      } else {
        answer.plan->OnFailure(answer.attempt, attempt_failure::connection_lost, now_, actions);
      }
      Carry(item, answer.plan, actions);
    }
  }

  void NoteNotice(host& item, const delivery& answer) {
    const server_notice& notice = answer.reply->notice;
    notices_ += notice.is_leaving || notice.pause ? 1 : 0;
    item.knows_of_leaving = item.knows_of_leaving || notice.is_leaving;
    if (notice.pause) {
      item.pauses.push_back({.answered = now_, .end = now_ + *notice.pause});
    }
  }

  const planted_faults faults_;
  random_source random_;
  std::shared_ptr<const route_table> table_;
  std::vector<std::unique_ptr<host>> hosts_;
  instant now_{std::chrono::seconds(100)};
  int broken_drains_ = 0;
  int broken_pauses_ = 0;
  int notices_ = 0;
  int asked_while_leaving_ = 0;
  int starts_ = 0;
  int asked_ = 0;
  int served_ = 0;
};

}  // namespace limpetlever

#endif  // TESTS_QUERY_NOTICE_MODEL_H_
