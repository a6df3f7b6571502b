#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"

using namespace limpetlever;

namespace {

/** A server that sends the next of the given texts for each read, whatever it received. */
class scripted_server : public io_watch::handler, public stream_socket::handler {
 public:
  scripted_server(event_loop& loop, std::vector<std::string> answers, bool closes)
      : loop_(loop),
        answers_(std::move(answers)),
        closes_(closes),
        listener_(std::move(Listen({.ip = "127.0.0.1", .port = 0}).value())),
        watch_(loop, listener_.fd(), *this) {
    watch_.WantRead(true);
  }

  socket_address address() const {
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(listener_.fd(), reinterpret_cast<sockaddr*>(&bound), &size);
    return {.ip = "127.0.0.1", .port = ntohs(bound.sin_port)};
  }

  void OnReadable() override {
    connection_ = std::make_unique<stream_socket>(loop_, Accept(listener_.fd()), false, *this);
  }
  void OnWritable() override {}
  void OnBytes(std::string_view) override {
    if (next_ < answers_.size()) {
      connection_->Write(answers_[next_++]);
    }
    if (closes_) {
      connection_->EndWriting();
    }
  }
  void OnEnd() override {}
  void OnError(int) override {}
  void SendMore(std::string_view bytes) { connection_->Write(bytes); }

 private:
  event_loop& loop_;
  std::vector<std::string> answers_;
  bool closes_;
  std::size_t next_ = 0;
  socket_handle listener_;
  io_watch watch_;
  std::unique_ptr<stream_socket> connection_;
};

/**
 * Sends a request once connected and records the outcome; answers are identified by an Id field.
 */
class test_client : public http_client::handler {
 public:
  test_client(event_loop& loop, const socket_address& server)
      : loop_(loop), client(loop, server, 4096, std::chrono::seconds(5), *this) {}

  void OnConnected(http_client& connection) override { connection.Send("GET / HTTP/1.1\r\n\r\n"); }
  bool OnResponse(http_client&, http_message& response) override {
    if (response.Find("Id") != wanted_id) {
      ++foreign_answers;
      return false;
    }
    body = response.body;
    if (stops_at_answer) {
      loop_.Stop();
    }
    return true;
  }
  void OnEnded(http_client&, http_client::end_reason reason) override {
    ended = reason;
    loop_.Stop();
  }

 private:
  event_loop& loop_;

 public:
  std::string wanted_id = "1";
  bool stops_at_answer = true;
  int foreign_answers = 0;
  std::optional<std::string> body;
  std::optional<http_client::end_reason> ended;
  http_client client;
};

std::string Answer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace

// Guards against taking a late answer to an earlier request for the answer to this one.
Test(http_client, a_foreign_answer_is_skipped) {
  event_loop loop;
  scripted_server server(loop, {Answer("0", "old") + Answer("1", "new")}, false);
  test_client test(loop, server.address());
  loop.Run();
  cr_assert(test.foreign_answers == 1 && test.body == "new");
  cr_assert(test.client.IsReusable());
}

// Guards against reusing a connection with unread bytes on it.
Test(http_client, bytes_after_an_answer_end_the_connection) {
  event_loop loop;
  scripted_server server(loop, {Answer("1", "one") + Answer("1", "two")}, false);
  test_client test(loop, server.address());
  loop.Run();
  cr_assert(test.body == "one");
  cr_assert(!test.client.IsReusable());
}

// Guards against accepting a second answer that arrives while no request is in flight.
Test(http_client, unexpected_bytes_end_an_idle_connection) {
  event_loop loop;
  scripted_server server(loop, {Answer("1", "one")}, false);
  test_client test(loop, server.address());
  loop.Run();
  cr_assert(test.client.IsReusable());
  server.SendMore(Answer("1", "again"));
  loop.Run();
  cr_assert(test.ended == http_client::end_reason::unexpected_bytes);
}

// Guards against accepting a truncated answer as complete.
Test(http_client, a_truncated_answer_is_lost) {
  event_loop loop;
  scripted_server server(loop, {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nab"}, true);
  test_client test(loop, server.address());
  loop.Run();
  cr_assert(!test.body && test.ended == http_client::end_reason::lost);
}

// Guards against losing an answer without Content-Length, which ends with its connection.
Test(http_client, an_answer_without_length_ends_with_its_connection) {
  event_loop loop;
  scripted_server server(loop, {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc"}, true);
  test_client test(loop, server.address());
  loop.Run();
  cr_assert(test.body == "abc" && !test.client.IsReusable());
}

// Guards against passing on bytes that are not an HTTP response.
Test(http_client, an_invalid_response_is_malformed) {
  event_loop loop;
  scripted_server server(loop, {"\x01\x02 garbage\r\n\r\n"}, false);
  test_client test(loop, server.address());
  loop.Run();
  cr_assert(test.ended == http_client::end_reason::malformed);
}

// Guards against waiting for a server that does not listen on its port.
Test(http_client, a_refused_connection_is_reported) {
  event_loop loop;
  test_client test(loop, {.ip = "127.0.0.1", .port = 1});
  loop.Run();
  cr_assert(test.ended == http_client::end_reason::not_connected);
}

// Guards against passing on an answer as whole whose server stopped in the middle of its head.
Test(http_client, an_answer_that_ends_in_its_head_is_lost) {
  const std::string answer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t size = 0; size < answer.size(); ++size) {
    event_loop loop;
    scripted_server server(loop, {answer.substr(0, size)}, true);
    test_client test(loop, server.address());
    loop.Run();
    cr_assert(!test.body && test.ended == http_client::end_reason::lost, "cut after %zu bytes",
              size);
  }
}

// Guards against memory and time that a server takes whose bytes are no answer and never end.
Test(http_client, bytes_without_end_end_the_connection) {
  struct endless {
    const char* name;
    const char* first;
    const char* repeated;
  };
  const endless cases[] = {
      {"reason", "HTTP/1.1 200 ", "x"},
      {"field", "HTTP/1.1 200 OK\r\nId: 1\r\nX: ", "x"},
      {"fields", "HTTP/1.1 200 OK\r\nId: 1\r\n", "X: y\r\n"},
      {"empty lines", "", "\r\n"},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"answers to other requests", "", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n"},
      {"body without length", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x"},
      {"body with length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 999999999\r\n\r\n", "x"},
      {"chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
      {"chunk extension", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
      {"trailers", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       "X: y\r\n"},
  };
  constexpr std::size_t kPieceBytes = 8 * 1024;
  constexpr std::size_t kMaxSentBytes = 8 * 1024 * 1024;
  for (const endless& item : cases) {
    event_loop loop;
    scripted_server server(loop, {item.first}, false);
    test_client test(loop, server.address());
    std::string piece;
    while (piece.size() < kPieceBytes) {
      piece += item.repeated;
    }
    std::size_t sent = 0;
    loop.timers().SubscribeEvery(loop.Now() + std::chrono::milliseconds(20),
                                 std::chrono::microseconds(500), [&](instant) {
                                   server.SendMore(piece);
                                   sent += piece.size();
                                   if (sent > kMaxSentBytes) {
                                     loop.Stop();
                                   }
                                 });
    loop.Run();
    cr_assert(test.ended && !test.body, "%s: %zu bytes sent", item.name, sent);
  }
}
