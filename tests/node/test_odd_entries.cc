#include "host_fixture.h"

using namespace limpetlever;

namespace {

constexpr int kOddEntries = 9;
constexpr std::size_t kDeepNesting = 200'000;

// The rest of a complete entry.
constexpr const char* kRest =
    R"("version":"v1","slots":2,"state":"ready","warmupLeftMs":0,"seq":1)";

void WriteOddEntries(host_fixture& fixture) {
  const std::string rest = kRest;
  const std::string deep(kDeepNesting, '[');
  fixture.WriteToStore("servers/deep", deep);
  fixture.WriteToStore("servers/large", R"({"service":"single","address":"127.0.0.1:80","zone":")" +
                                            std::string(500'000, 'x') + R"(","born":1,)" + rest +
                                            "}");
  fixture.WriteToStore("servers/number",
                       R"({"service":"single","address":"127.0.0.1:80","zone":"dc-a",)" + rest +
                           R"(,"born":1e300})");
  fixture.WriteToStore(
      "servers/port",
      R"({"service":"single","address":"127.0.0.1:99999","zone":"dc-a",)" + rest + R"(,"born":1})");
  fixture.WriteToStore("hosts/deep", deep);
  fixture.WriteToStore("hosts/number",
                       R"({"key":"member/number","incarnation":9223372036854775807,"version":0,)"
                       R"("value":"r\ndc-a\n127.0.0.1:80\n127.0.0.1:81"})");
  fixture.WriteToStore("hosts/port", R"({"key":"member/port","incarnation":5,"version":0,)"
                                     R"("value":"r\ndc-a\n127.0.0.1:99999\n127.0.0.1:81"})");
  fixture.WriteToStore("crash/deep", deep);
  fixture.WriteToStore("crash/number", R"({"key":"crash/00000000000000ff/a1","incarnation":0,)"
                                       R"("version":9223372036854775807,"value":"mark"})");
  fixture.WriteToStore("op/evacuate/" + std::string(100, 'x'), deep);
}

}  // namespace

// Guards against a host that ends, or no longer follows the store, because of entries of another
// writer.
Test(odd_entries, do_not_end_a_host_or_its_watch) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  WriteOddEntries(fixture);
  while (fixture.Metric("limpetlever_store_entries_refused_total") < kOddEntries) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  cr_assert(fixture.SendRequest("GET", "/q/1", "id-1").status == 200);
  cr_assert(fixture.SendRequest("GET", "/i/1", "id-2").status == 200);
  fixture.WriteToStore("op/evacuate/dc-a", "");
  while (fixture.SendRequest("GET", "/i/1", "id-3").status != 503) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  cr_assert(fixture.Metric("limpetlever_store_entries_refused_total") == kOddEntries,
            "each entry is counted once");
}

// Guards against a host that cannot start while such entries are in the store.
Test(odd_entries, do_not_keep_a_host_from_starting) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  WriteOddEntries(fixture);
  while (fixture.Metric("limpetlever_store_entries_refused_total") < kOddEntries) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  kill(getpid(), SIGTERM);
  fixture.WaitUntilStopped();
  fixture.StartHost();
  fixture.WaitUntilReady();
  cr_assert(fixture.SendRequest("GET", "/q/1", "id-1").status == 200);
}

// Guards against requests to a server whose entry was replaced by one that cannot be read, and
// against one that is not used again after it has registered again.
Test(odd_entries, an_entry_that_replaces_that_of_a_server_names_none) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  const auto refused = [&fixture] {
    return fixture.Metric("limpetlever_store_entries_refused_total");
  };
  fixture.WriteToStore("servers/s1", "{}");
  fixture.WriteToStore("servers/s2", "{}");
  while (refused() < 2) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  cr_assert(fixture.SendRequest("GET", "/i/1", "id-1").status == 503);
  cr_assert(fixture.SendRequest("GET", "/q/1", "id-2").status == 200, "the other servers hold");
  fixture.RegisterServer("s1");
  while (fixture.SendRequest("GET", "/i/1", "id-3").status != 200) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

// Guards against requests to a server of another service: another writer has left an entry with
// missing fields under its key, which names the service of these requests.
Test(odd_entries, an_incomplete_entry_names_no_server) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  std::string entry = fixture.EntryOf("a1");
  const std::string service = "\"shard-a\"";
  entry.replace(entry.find(service), service.size(), "\"single\"");
  entry = entry.substr(0, entry.find(",\"warmupLeftMs\"")) + "}";
  fixture.WriteToStore("servers/a1", entry);
  // Longer than a change of the store takes to arrive.
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const int before = fixture.ServedCount("a1");
  for (int i = 0; i < 30; ++i) {
    cr_assert(fixture.SendRequest("POST", "/p/1", "id-" + std::to_string(i), "body").status == 200);
  }
  cr_assert(fixture.ServedCount("a1") == before);
}

// Guards against requests that run with an empty body: another writer has left a copy of the entry
// of a server under its key with a line end after it, which ended the header of the requests.
Test(odd_entries, a_key_with_a_line_end_changes_no_request) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  fixture.WriteToStore("servers/s1\r\n", fixture.EntryOf("s1"));
  // Longer than a change of the store takes to arrive.
  std::this_thread::sleep_for(std::chrono::seconds(2));
  for (int i = 0; i < 30; ++i) {
    const std::string id = "id-" + std::to_string(i);
    const std::string body = "body " + std::to_string(i);
    cr_assert(fixture.SendRequest("POST", "/p/1", id, body).status == 200);
    cr_assert(fixture.RunCount(id) == 1);
    cr_assert(fixture.LastBody(id) == body, "%s", fixture.LastBody(id).c_str());
  }
  cr_assert(fixture.Metric("limpetlever_store_entries_refused_total") == 1);
}

// Guards against requests to a server long after it began to drain: another writer had left a copy
// of its entry whose start time no server can have, and hosts took what the server wrote then for
// the entries of an earlier process.
Test(odd_entries, a_start_time_in_the_future_does_not_hold_back_later_entries) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  for (const char* born : {"9000000000000000000", "99000000000000"}) {
    std::string odd = fixture.EntryOf("s1");
    const std::string start = "\"born\":1}";
    odd.replace(odd.find(start), start.size(), "\"born\":" + std::string(born) + "}");
    fixture.WriteToStore("servers/s1", odd);
    // The next heartbeat of the server replaces the entry.
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    fixture.RegisterServer("s1");
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    fixture.DrainServer("s1");
    // The time in which the change must be in force.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const int before = fixture.ServedCount("s1");
    for (int i = 0; i < 20; ++i) {
      const std::string id = born + std::string("-") + std::to_string(i);
      cr_assert(fixture.SendRequest("GET", "/i/1", id).status == 200);
    }
    cr_assert(fixture.ServedCount("s1") == before, "born %s", born);
    fixture.RegisterServer("s1");
    const int drained = fixture.ServedCount("s1");
    for (int i = 0; fixture.ServedCount("s1") == drained; ++i) {
      cr_assert(i < 1000, "the server is not used again");
      fixture.SendRequest("GET", "/i/1", born + std::string("-again-") + std::to_string(i));
    }
  }
}
