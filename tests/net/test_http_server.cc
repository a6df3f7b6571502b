#include "net/http_server.h"

#include <criterion/criterion.h>
#include <sys/socket.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_text.h"
#include "net/server_connection.h"
#include "node/host_fixture.h"

using namespace limpetlever;

namespace {

constexpr std::size_t kAnswerBytes = 1024 * 1024;
constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/** A server that answers each request at once, except those for "/wait". */
struct server_fixture {
  server_fixture()
      : server(std::make_unique<http_server>(loop,
                                             std::move(Listen(address).value()),
                                             [this](const auto& caller) {
                                               ++request_count;
                                               if (caller->request().target == "/wait") {
                                                 waiting.push_back(caller);
                                                 return;
                                               }
                                               std::string head;
                                               AppendStatusLine(head, 200);
                                               caller->Answer(head, std::string(answer_bytes, 'a'));
                                             })) {
    server->OnGivenUp([this](http_server::give_up_cause given, std::size_t) {
      cause = given;
      ++given_up_count;
    });
  }

  /** Connects, sends `bytes` and lets the server read them. */
  socket_handle Send(const std::string& bytes) {
    socket_handle handle = std::move(BeginConnect(address).value());
    RunFor(std::chrono::milliseconds(20));
    cr_assert(send(handle.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
              static_cast<ssize_t>(bytes.size()));
    RunFor(std::chrono::milliseconds(20));
    return handle;
  }
  /** What has arrived; "closed" at the end of the connection. */
  static std::string Received(const socket_handle& handle) {
    std::array<char, 64 * 1024> buffer;
    const ssize_t size = recv(handle.fd(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    return size > 0 ? std::string(buffer.data(), static_cast<std::size_t>(size))
                    : std::string(size == 0 ? "closed" : "");
  }
  void RunFor(duration time) {
    loop.timers().Subscribe(loop.UpdateNow() + time, [this](instant) { loop.Stop(); });
    loop.Run();
  }

  event_loop loop;
  const socket_address address = FreeAddress();
  std::size_t answer_bytes = 2;
  int request_count = 0;
  int given_up_count = 0;
  http_server::give_up_cause cause{};
  std::vector<std::shared_ptr<server_connection>> waiting;
  std::unique_ptr<http_server> server;
};

std::string BodyWithoutEnd(std::size_t bytes) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes + 1) + "\r\n\r\n" +
         std::string(bytes, 'b');
}

}  // namespace

// Guards against an incomplete request that ends without a word, or takes down others with it.
Test(http_server, the_largest_incomplete_request_is_refused) {
  server_fixture fixture;
  fixture.server->SetMaxMemory(32'000);
  const auto small = fixture.Send(BodyWithoutEnd(1000));
  const auto large = fixture.Send(BodyWithoutEnd(15'500));
  const std::string refusal = server_fixture::Received(large);
  cr_assert(
      refusal.starts_with("HTTP/1.1 503") && refusal.find("Retry-After: 1") != std::string::npos,
      "%s", refusal.c_str());
  cr_assert(fixture.given_up_count == 1 && fixture.cause == http_server::give_up_cause::memory);
  cr_assert(send(small.fd(), "b", 1, MSG_NOSIGNAL) == 1);
  fixture.RunFor(std::chrono::milliseconds(20));
  cr_assert(server_fixture::Received(small).starts_with("HTTP/1.1 200"));
  cr_assert(fixture.server->memory().held_bytes() == 0);
}

// Guards against a request that is being handled and is given up for others, and against one that
// is refused after it was handled.
Test(http_server, a_request_that_does_not_fit_is_refused_before_it_is_handled) {
  server_fixture fixture;
  fixture.server->SetMaxMemory(64'000);
  const std::string body(2000, 'b');
  const std::string request =
      "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + body;
  std::vector<socket_handle> callers;
  for (int i = 0; i < 12; ++i) {
    callers.push_back(fixture.Send(request));
  }
  const auto handled = static_cast<std::size_t>(fixture.request_count);
  cr_assert(handled > 2 && handled < callers.size(), "%zu", handled);
  for (std::size_t i = 0; i < callers.size(); ++i) {
    const std::string received = server_fixture::Received(callers[i]);
    cr_assert(i < handled ? received.empty() : received.starts_with("HTTP/1.1 503"), "%zu: %s", i,
              received.c_str());
  }
  cr_assert(server_fixture::Received(fixture.Send(kRequest)).starts_with("HTTP/1.1 200"),
            "a small request still fits");
  std::string head;
  AppendStatusLine(head, 200);
  for (const auto& caller : fixture.waiting) {
    caller->Answer(head, {});
  }
  fixture.RunFor(std::chrono::milliseconds(20));
  cr_assert(server_fixture::Received(callers[0]).starts_with("HTTP/1.1 200"));
  cr_assert(fixture.server->memory().held_bytes() == 0);
}

// Guards against requests that are handled although the caller reads none of the answers before.
Test(http_server, no_request_is_read_while_an_answer_waits) {
  server_fixture fixture;
  fixture.answer_bytes = 8 * kAnswerBytes;
  std::string requests;
  for (int i = 0; i < 100; ++i) {
    requests += kRequest;
  }
  const auto caller = fixture.Send(requests);
  cr_assert(fixture.request_count == 1, "%d", fixture.request_count);
  std::size_t received = 0;
  for (int i = 0; fixture.request_count == 1 && i < 10'000; ++i) {
    received += server_fixture::Received(caller).size();
    fixture.RunFor(std::chrono::milliseconds(1));
  }
  cr_assert(fixture.request_count == 2 && received > 7 * kAnswerBytes, "%zu", received);
}

// Guards against unread answers that take the memory of the host.
Test(http_server, an_unread_answer_that_does_not_fit_ends_its_connection) {
  server_fixture fixture;
  fixture.answer_bytes = 8 * kAnswerBytes;
  fixture.server->SetMaxMemory(kAnswerBytes);
  const auto caller = fixture.Send(kRequest);
  cr_assert(fixture.given_up_count == 1 && fixture.cause == http_server::give_up_cause::memory);
  cr_assert(fixture.server->connection_count() == 0);
  cr_assert(fixture.server->memory().held_bytes() == 0);
}

// Guards against a caller that keeps its answer on the host for good by reading nothing of it.
Test(http_server, a_caller_that_reads_nothing_is_disconnected) {
  server_fixture fixture;
  fixture.answer_bytes = 8 * kAnswerBytes;
  fixture.server->SetLimits({.idle_timeout = std::chrono::milliseconds(300)});
  const auto caller = fixture.Send(kRequest);
  cr_assert(fixture.server->memory().held_bytes() > kAnswerBytes);
  for (int i = 0; fixture.server->connection_count() > 0 && i < 100; ++i) {
    fixture.RunFor(std::chrono::milliseconds(100));
  }
  cr_assert(fixture.server->connection_count() == 0);
  cr_assert(fixture.server->memory().held_bytes() == 0);
}

// Guards against idle connections that keep new callers out, and against the loss of requests that
// are being handled.
Test(http_server, idle_connections_give_way_to_new_callers) {
  server_fixture fixture;
  fixture.server->SetMaxConnections(8);
  const auto busy = fixture.Send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
  std::vector<socket_handle> idle;
  for (int i = 0; i < 7; ++i) {
    idle.push_back(fixture.Send(i % 2 == 0 ? "GET / HTTP/1.1\r\n" : ""));
  }
  const auto late = fixture.Send(kRequest);
  cr_assert(fixture.request_count == 1, "there is no connection left");
  for (int i = 0; fixture.request_count == 1 && i < 100; ++i) {
    fixture.RunFor(std::chrono::milliseconds(100));
  }
  fixture.RunFor(std::chrono::milliseconds(20));
  cr_assert(server_fixture::Received(late).starts_with("HTTP/1.1 200"));
  cr_assert(fixture.cause == http_server::give_up_cause::connections);
  cr_assert(fixture.waiting.front()->IsOpen() && server_fixture::Received(busy).empty());
}
