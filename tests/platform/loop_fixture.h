#ifndef TESTS_PLATFORM_LOOP_FIXTURE_H_
#define TESTS_PLATFORM_LOOP_FIXTURE_H_

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <functional>
#include <utility>

#include "base/socket_address.h"
#include "net/event_loop.h"
#include "net/socket.h"
#include "platform/standins/platform_store.h"
#include "platform/store_call_history.h"

namespace limpetlever {

/** A listening socket on loopback; `address` becomes its address. */
inline socket_handle ListenOnFreePort(socket_address& address) {
  auto handle = Listen({.ip = "127.0.0.1", .port = 0});
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(handle->fd(), reinterpret_cast<sockaddr*>(&bound), &size);
  address = {.ip = "127.0.0.1", .port = ntohs(bound.sin_port)};
  return std::move(handle.value());
}

/** Runs the store's stand-in and the code under test on one loop, with real sockets on loopback. */
struct loop_fixture {
  loop_fixture() : store(loop) {}

  /** Runs the loop until `condition` holds; fails after 60 s, more than a slow machine needs. */
  void RunUntil(const std::function<bool()>& condition) {
    bool has_timed_out = false;
    const auto limit =
        loop.timers().Subscribe(loop.UpdateNow() + std::chrono::seconds(60), [&](instant) {
          has_timed_out = true;
          loop.Stop();
        });
    const auto check =
        loop.timers().SubscribeEvery(loop.Now(), std::chrono::milliseconds(5), [&](instant) {
          if (condition()) {
            loop.Stop();
          }
        });
    loop.Run();
    loop.timers().Cancel(limit);
    loop.timers().Cancel(check);
    cr_assert(!has_timed_out, "the condition did not hold within 60 s");
  }

  void RunFor(duration time) {
    const instant end = loop.UpdateNow() + time;
    RunUntil([this, end] { return loop.Now() >= end; });
  }
  /** Runs the loop until `condition` holds, for `time` at most; returns whether it holds. */
  bool HoldsWithin(duration time, const std::function<bool()>& condition) {
    const instant end = loop.UpdateNow() + time;
    RunUntil([&] { return condition() || loop.Now() >= end; });
    return condition();
  }

  event_loop loop;
  platform::platform_store store;
  platform::store_call_history counts;
};

}  // namespace limpetlever

#endif  // TESTS_PLATFORM_LOOP_FIXTURE_H_
