#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "host_fixture.h"

using namespace limpetlever;
using platform::platform_store;

namespace {

// Within this time after the store has confirmed a change, it must be in force.
constexpr std::chrono::milliseconds kChangeBound{3000};
// Within this time a host has replaced what it had written.
constexpr std::chrono::milliseconds kRewriteBound{5000};
constexpr int kWritesAfterCopy = 20;

std::string Replace(std::string text, const std::string& part, const std::string& by) {
  return text.replace(text.find(part), part.size(), by);
}

/** The initial configuration under a later version, with a route for the prefix /n/. */
std::string ConfigWithRoute(int version) {
  const std::string config =
      Replace(host_fixture::Config(), "\"version\":5", "\"version\":" + std::to_string(version));
  return Replace(
      config, "\"routes\":[",
      R"("routes":[{"name":"n","host":"h.example","prefix":"/n/","kind":"idempotent",)"
      R"("timeoutMs":20000,"targetLatencyMs":10000,"service":"single","maxAttempts":2},)");
}

void WriteOthers(platform_store& store, int count) {
  for (int i = 0; i < count; ++i) {
    store.Write("other", std::to_string(i));
  }
}

/**
 * The store's copy holds what host_fixture writes. Since then, a configuration with a further route
 * was written, a1 has reported that it drains and b1 was removed.
 */
struct copied_host : host_fixture {
  copied_host() {
    WaitUntilReady();
    OnStore([this](platform_store& store) {
      store.Remove("servers/a2");
      store.Remove("servers/b2");
      store.TakeCopy();
      WriteOthers(store, kWritesAfterCopy);
      store.Write("op/config", ConfigWithRoute(6));
      store.Write("servers/a1", EntryWith("a1", 2, "draining"));
      store.Write("servers/b1", EntryWith("b1", 2, "ready"));
      store.Remove("servers/b1");
    });
    cr_assert(Await([this] { return Metric("limpetlever_config_version") == 6; }));
    cr_assert(!IsQueryServed());
  }

  /** Waits for the second watch: the first ones of a host are some seconds apart. */
  void AwaitWatch() {
    int watches = 0;
    cr_assert(Await([&] {
      OnStore([&](platform_store& store) { watches = store.CallCount("/kv-watch"); });
      return watches >= 2;
    }));
  }

  std::string EntryWith(const std::string& id, int sequence, const std::string& state) const {
    const std::string entry =
        Replace(EntryOf(id), "\"seq\":1", "\"seq\":" + std::to_string(sequence));
    return Replace(entry, "\"ready\"", "\"" + state + "\"");
  }

  void ComeBack(const std::function<void(platform_store&)>& write = [](platform_store&) {}) {
    OnStore([&](platform_store& store) {
      store.ReturnFromCopy();
      write(store);
    });
  }

  /** Queries need the draining and the removed server, each the only one of its shard. */
  bool IsQueryServed() {
    const std::string id = "q" + std::to_string(++sent_);
    return SendRequest("GET", "/q/1", id).status == 200 || RunCount(id) > 0;
  }

  /** Returns whether `condition` holds within `time`. */
  static bool Await(const std::function<bool()>& condition,
                    std::chrono::milliseconds time = std::chrono::seconds(30)) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (!condition()) {
      if (std::chrono::steady_clock::now() >= end) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
  }

  bool HasVersionInTime(int version) const {
    return Await([&] { return Metric("limpetlever_config_version") == version; }, kChangeBound);
  }

 private:
  int sent_ = 0;
};

}  // namespace

// Guards against hosts that apply no configuration since the store came back from a copy.
Test(host_store_copies, a_later_configuration_is_in_force) {
  copied_host host;
  host.AwaitWatch();
  host.ComeBack([](platform_store& store) { store.Write("op/config", ConfigWithRoute(7)); });
  cr_assert(host.HasVersionInTime(7));
}

// Guards against the same, where revisions have passed the host's before its first call.
Test(host_store_copies, a_later_configuration_is_in_force_without_a_410) {
  copied_host host;
  host.AwaitWatch();
  host.ComeBack([](platform_store& store) {
    store.Write("op/config", ConfigWithRoute(7));
    WriteOthers(store, 4 * kWritesAfterCopy);
  });
  cr_assert(host.HasVersionInTime(7));
}

// Guards against an older configuration from the copy that takes a route away again.
Test(host_store_copies, an_older_configuration_is_not_put_in_force) {
  copied_host host;
  host.ComeBack();
  const auto is_older = [&host, count = 0]() mutable {
    return host.SendRequest("GET", "/n/1", "n" + std::to_string(++count)).status != 200 ||
           host.Metric("limpetlever_config_version") != 6;
  };
  cr_assert(!copied_host::Await(is_older, kChangeBound));
}

// Guards against requests to servers that have reported in the new era that they drain.
Test(host_store_copies, servers_that_drain_get_no_requests) {
  copied_host host;
  host.AwaitWatch();
  cr_assert(host.SendRequest("GET", "/i/1", "before").status == 200);
  host.ComeBack([&](platform_store& store) {
    store.Write("servers/s1", host.EntryWith("s1", 2, "draining"));
    store.Write("servers/s2", host.EntryWith("s2", 2, "draining"));
  });
  std::this_thread::sleep_for(kChangeBound);
  cr_assert(host.SendRequest("GET", "/i/1", "after").status == 503);
  cr_assert(host.RunCount("after") == 0);
}

// Guards against requests to servers that drain or were removed, since the copy has older entries.
Test(host_store_copies, older_entries_bring_no_server_back) {
  copied_host host;
  host.ComeBack();
  cr_assert(!copied_host::Await([&] { return host.IsQueryServed(); }, kChangeBound));
}

// Guards against servers that stay out of use, although they have registered again.
Test(host_store_copies, later_entries_bring_servers_back) {
  copied_host host;
  host.AwaitWatch();
  host.ComeBack([&](platform_store& store) {
    store.Write("servers/a1", host.EntryWith("a1", 3, "ready"));
    store.Write("servers/b1", host.EntryWith("b1", 3, "ready"));
  });
  cr_assert(copied_host::Await([&] { return host.IsQueryServed(); }, kChangeBound));
}

// Guards against a host whose entry stays bound to a lease that another host has been granted.
Test(host_store_copies, a_host_registers_again_under_a_lease_of_its_own) {
  copied_host host;
  host.AwaitWatch();
  std::int64_t lease = 0;
  host.OnStore([&](platform_store& store) { lease = store.LeaseOf("hosts/host"); });
  host.ComeBack([&](platform_store& store) {
    while (store.GrantLease() < lease) {
    }
  });
  std::int64_t own = 0;
  const auto has_own_lease = [&] {
    host.OnStore([&](platform_store& store) { own = store.LeaseOf("hosts/host"); });
    return own > lease;
  };
  cr_assert(copied_host::Await(has_own_lease, kRewriteBound));
}

// Guards against a request that crashes servers again, since the reports on it are lost.
Test(host_store_copies, crash_reports_are_written_again) {
  host_fixture host;
  host.WaitUntilReady();
  host.OnStore([](platform_store& store) { store.TakeCopy(); });
  const auto has_report = [&host] {
    bool has_report = false;
    host.OnStore([&](platform_store& store) {
      const auto first = store.items().lower_bound("crash/");
      has_report = first != store.items().end() && first->first.starts_with("crash/");
    });
    return has_report;
  };
  host.SendRequest("GET", "/i/poison", "poison");
  cr_assert(copied_host::Await(has_report));
  host.OnStore([](platform_store& store) { store.ReturnFromCopy(); });
  cr_assert(copied_host::Await(has_report, kRewriteBound));
}
