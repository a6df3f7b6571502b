#ifndef TESTS_PLATFORM_FEED_FIXTURE_H_
#define TESTS_PLATFORM_FEED_FIXTURE_H_

#include <chrono>

#include "base/socket_address.h"
#include "feed_recorder.h"
#include "loop_fixture.h"
#include "platform/control_feed.h"

namespace limpetlever {

inline constexpr const char* kServer =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"1","slots":2,)"
    R"("state":"ready","warmupLeftMs":0,"seq":1,"born":1})";

// Within this time after the store has confirmed a change, it must be in force.
inline constexpr duration kChangeBound = std::chrono::seconds(3);

/** The store, a host that can follow it, and one that can follow the first or the store. */
struct host_pair : loop_fixture {
  host_pair()
      : feed(loop, store.address(), counts, ListenOnFreePort(relay_address), 1, recorded),
        follower(loop,
                 store.address(),
                 follower_counts,
                 ListenOnFreePort(follower_address),
                 2,
                 follower_recorded) {}

  feed_recorder recorded;
  feed_recorder follower_recorded;
  platform::store_call_history follower_counts;
  socket_address relay_address;
  socket_address follower_address;
  platform::control_feed feed;
  platform::control_feed follower;
};

/** A pair of hosts of which the first follows the store and waits for changes. */
struct feed_fixture : host_pair {
  feed_fixture() {
    store.Write("servers/i1", kServer);
    store.Write("servers/i2", kServer);
    feed.Start();
    RunUntil([this] { return recorded.replicas.size() == 2; });
    // The first watches of a host are some seconds apart.
    RunFor(std::chrono::seconds(2));
    store.Write("other", "a change that answers the first watch");
    RunFor(std::chrono::seconds(3));
  }

  /**
   * The host's next watch is refused, about a second after the last answer; after that the store
   * serves it again.
   */
  void RefuseOnce() {
    store.Write("other", "a change that answers the watch");
    RunFor(std::chrono::milliseconds(1000));
    const int before = recorded.regained;
    const int calls = store.CallCount("/kv-watch");
    store.SetMode(platform::platform_store::mode_type::busy);
    feed.RestartWatch();
    RunUntil([this, calls] { return store.CallCount("/kv-watch") > calls; });
    store.SetMode(platform::platform_store::mode_type::normal);
    store.Write("other", "another change");
    RunUntil([this, before] { return recorded.regained > before; });
  }

  /**
   * The store receives a watch of the host and never answers it: it is silent for less than a
   * second, in which the host sends nothing else.
   */
  void LoseWatch() {
    const int calls = store.CallCount("/kv-watch");
    store.Write("other", "a change that answers the watch");
    RunFor(std::chrono::milliseconds(400));
    store.SetMode(platform::platform_store::mode_type::silent);
    RunUntil([this, calls] { return store.CallCount("/kv-watch") > calls; });
    store.SetMode(platform::platform_store::mode_type::normal);
  }

  /** How long the host needs to learn of a server that registers now. */
  duration TimeToLearnOfServer() {
    const instant start = loop.UpdateNow();
    store.Write("servers/i3", kServer);
    RunUntil([this] { return recorded.replicas.contains("i3"); });
    return loop.Now() - start;
  }

  /** The store is away for `time`, as this host's calls show. */
  void TakeStoreAway(duration time) {
    const int before = recorded.regained;
    store.SetMode(platform::platform_store::mode_type::busy);
    feed.RestartWatch();
    RunFor(time);
    store.Remove("servers/i1");
    store.SetMode(platform::platform_store::mode_type::normal);
    RunUntil([this, before] { return recorded.regained > before; });
  }
};

}  // namespace limpetlever

#endif  // TESTS_PLATFORM_FEED_FIXTURE_H_
