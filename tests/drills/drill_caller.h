#ifndef TESTS_DRILLS_DRILL_CALLER_H_
#define TESTS_DRILLS_DRILL_CALLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/random_source.h"
#include "base/socket_address.h"
#include "base/time_types.h"
#include "net/http_client.h"
#include "timer/timer_service.h"

namespace limpetlever {

class event_loop;
class http_message;

/**
 * Sends one request after another to one host, each on the connection of the last one while that is
 * open.
 */
class drill_caller : public http_client::handler {
 public:
  struct outcome {
    std::string id;
    std::string prefix;
    instant sent;
    /** 0: the connection ended, or nothing came in time. */
    int status = 0;
    /** The service that ran it; empty if none did. */
    std::string service;
  };
  struct options {
    socket_address host;
    /** Distinguishes the requests of all callers. */
    std::string id_prefix;
    std::uint64_t seed = 0;
  };
  /** Returns the prefix of the route to ask for. */
  using choose_function = std::function<std::string(random_source&)>;
  using outcome_function = std::function<void(const outcome&)>;

  drill_caller(event_loop& loop,
               options settings,
               choose_function choose,
               outcome_function on_outcome);
  ~drill_caller() override;

  /** The request that waits, or the last one. */
  const outcome& current() const { return current_; }

  void OnConnected(http_client& client) override;
  bool OnResponse(http_client& client, http_message& response) override;
  void OnEnded(http_client& client, http_client::end_reason reason) override;

 private:
  void Begin();
  void Send();
  void Finish(int status, const std::string& service);

  event_loop& loop_;
  const options options_;
  const choose_function choose_;
  const outcome_function on_outcome_;
  random_source random_;
  std::unique_ptr<http_client> client_;
  outcome current_;
  bool is_waiting_ = false;
  std::uint64_t count_ = 0;
  timer_service::timer_id limit_ = 0;
};

}  // namespace limpetlever

#endif  // TESTS_DRILLS_DRILL_CALLER_H_
