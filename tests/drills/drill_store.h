#ifndef TESTS_DRILLS_DRILL_STORE_H_
#define TESTS_DRILLS_DRILL_STORE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/socket_address.h"
#include "base/time_types.h"

namespace limpetlever {

class event_loop;
class http_server;
class server_connection;

/**
 * A stand-in for the platform's store that can go away and return from a copy of its earlier
 * contents. Shares no code with the hosts' own handling of revisions.
 */
class drill_store {
 public:
  enum class mode_type {
    up,
    /** Calls and waiting watches end with a reset. */
    closed,
    /** Calls and waiting watches are never answered, not even after the return. */
    silent,
    /** Calls are answered 503. */
    refused
  };
  struct item {
    std::string value;
    /** The part of the value whose change raises the revision. */
    std::string content;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  /** Called after each change of a key, also those that a return from a copy brings about. */
  using change_function = std::function<void(const std::string& key, const std::string* value)>;

  drill_store(event_loop& loop, const socket_address& address, change_function on_change);
  ~drill_store();

  const socket_address& address() const { return address_; }
  bool IsUp() const { return mode_ == mode_type::up; }
  std::int64_t revision() const { return revision_; }
  std::int64_t era() const { return era_; }
  const item* Find(const std::string& key) const;
  std::vector<std::string> Keys(std::string_view prefix) const;

  /**
   * Writes a key as an operator or a backend server would; false if the store is away. The revision
   * stays if the key exists with the same `content`.
   */
  bool Write(const std::string& key, const std::string& value, const std::string& content);
  /** False if the store is away. */
  bool Remove(const std::string& key);

  void GoAway(mode_type mode);
  void Return() { mode_ = mode_type::up; }
  /**
   * Returns with the contents that it had `age` before it went away, or the oldest known ones. What
   * was written since is gone, leases too; revisions are given out again and the era rises.
   */
  void ReturnFromCopy(duration age);

 private:
  struct lease {
    duration ttl{};
    instant ends;
  };
  struct event {
    std::string key;
    std::int64_t revision = 0;
    /** Nullopt: the key was removed. */
    std::optional<item> written;
  };
  struct copy {
    instant time;
    std::int64_t revision = 0;
    std::map<std::string, item> items;
    std::map<std::int64_t, lease> leases;
  };
  struct watch {
    std::shared_ptr<server_connection> caller;
    std::string prefix;
    std::int64_t after = 0;
    instant deadline;
  };

  void Handle(const std::shared_ptr<server_connection>& caller);
  void HandleRange(const std::shared_ptr<server_connection>& caller, std::string_view target);
  void HandleWatch(const std::shared_ptr<server_connection>& caller, std::string_view target);
  void HandleLease(const std::shared_ptr<server_connection>& caller, const std::string& path);
  int Transact(const std::string& text, std::string& body);
  void Answer(const std::shared_ptr<server_connection>& caller, int status, std::string_view body);
  void PutItem(const std::string& key, item written);
  bool RemoveItem(const std::string& key);
  void EndLease(std::int64_t id);
  void OnTick(instant now);
  void TakeCopy(instant now);
  void AnswerWatches(instant now);
  /** The events of a watch as JSON; empty if there are none. */
  std::string EventsOf(const watch& waiting) const;

  event_loop& loop_;
  const socket_address address_;
  const change_function on_change_;
  std::unique_ptr<http_server> server_;
  mode_type mode_ = mode_type::up;
  instant away_since_;
  std::int64_t era_ = 1;
  std::int64_t revision_ = 100;
  /** Watches from an earlier revision get 410. */
  std::int64_t history_start_ = 100;
  std::int64_t last_lease_ = 1000;
  std::map<std::string, item> items_;
  std::map<std::int64_t, lease> leases_;
  std::deque<event> history_;
  std::deque<copy> copies_;
  std::vector<watch> watches_;
  /** Connections that are never answered; kept open. */
  std::vector<std::shared_ptr<server_connection>> unanswered_;
};

}  // namespace limpetlever

#endif  // TESTS_DRILLS_DRILL_STORE_H_
