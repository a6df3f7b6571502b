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

/** A server that sends given bytes for each request it reads, whatever they are. */
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

/** Sends a request once connected and keeps what comes of it; ids tell answers apart. */
class asker : public http_client::handler {
 public:
  asker(event_loop& loop, const socket_address& server)
      : loop_(loop), client(loop, server, 4096, std::chrono::seconds(5), *this) {}

  void OnConnected(http_client& connection) override { connection.Send("GET / HTTP/1.1\r\n\r\n"); }
  bool OnResponse(http_client&, http_message& response) override {
    if (response.Find("Id") != wanted_id) {
      ++foreign;
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
  int foreign = 0;
  std::optional<std::string> body;
  std::optional<http_client::end_reason> ended;
  http_client client;
};

std::string Answer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace

// Guards against an answer to another request, come late, that is taken for this one's.
Test(http_client, a_foreign_answer_is_skipped) {
  event_loop loop;
  scripted_server server(loop, {Answer("0", "old") + Answer("1", "new")}, false);
  asker user(loop, server.address());
  loop.Run();
  cr_assert(user.foreign == 1 && user.body == "new");
  cr_assert(user.client.IsReusable());
}

// Guards against a connection that is used again although bytes are left on it.
Test(http_client, bytes_after_an_answer_end_the_connection) {
  event_loop loop;
  scripted_server server(loop, {Answer("1", "one") + Answer("1", "two")}, false);
  asker user(loop, server.address());
  loop.Run();
  cr_assert(user.body == "one");
  cr_assert(!user.client.IsReusable());
}

// Guards against a second answer that arrives while no request is under way.
Test(http_client, unasked_bytes_end_an_idle_connection) {
  event_loop loop;
  scripted_server server(loop, {Answer("1", "one")}, false);
  asker user(loop, server.address());
  loop.Run();
  cr_assert(user.client.IsReusable());
  server.SendMore(Answer("1", "again"));
  loop.Run();
  cr_assert(user.ended == http_client::end_reason::unexpected_bytes);
}

// Guards against an answer that ended early and counts as whole.
Test(http_client, a_cut_answer_is_lost) {
  event_loop loop;
  scripted_server server(loop, {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nab"}, true);
  asker user(loop, server.address());
  loop.Run();
  cr_assert(!user.body && user.ended == http_client::end_reason::lost);
}

// Guards against losing an answer without a length, which ends with its connection.
Test(http_client, an_answer_without_length_ends_with_its_connection) {
  event_loop loop;
  scripted_server server(loop, {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc"}, true);
  asker user(loop, server.address());
  loop.Run();
  cr_assert(user.body == "abc" && !user.client.IsReusable());
}

// Guards against bytes that are no answer being passed on.
Test(http_client, bytes_that_are_no_answer) {
  event_loop loop;
  scripted_server server(loop, {"\x01\x02 garbage\r\n\r\n"}, false);
  asker user(loop, server.address());
  loop.Run();
  cr_assert(user.ended == http_client::end_reason::malformed);
}

// Guards against waiting for a server that does not listen.
Test(http_client, a_refused_connection_is_reported) {
  event_loop loop;
  asker user(loop, {.ip = "127.0.0.1", .port = 1});
  loop.Run();
  cr_assert(user.ended == http_client::end_reason::not_connected);
}
