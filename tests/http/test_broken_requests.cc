#include <criterion/criterion.h>

#include <vector>

#include "base/random_source.h"
#include "http/test_host.h"

using namespace limpetlever;

namespace {

std::size_t BadInputs(test_host& host, const std::string& reason) {
  std::size_t count = 0;
  for (const event& entry : host.server().events().Read(0, 100'000)) {
    count += entry.number == event_number::bad_input && entry.fields.front().value == reason;
  }
  return count;
}

bool StillServes(test_host& host) {
  return host.Call("GET", "/v1/status").status == 200;
}

}  // namespace

// Guards against refused requests that get the wrong status or are not recorded as bad input.
Test(broken_requests, each_kind_has_its_status_and_event) {
  test_host host;
  cr_assert(host.Call("GET", "/v1/nothing").status == 404);
  const http_reply wrong_method = host.Call("DELETE", "/v1/table");
  cr_assert(wrong_method.status == 405 && HeaderValue(wrong_method, "allow") == "GET, POST");
  const http_reply invalid_json = host.Call("POST", "/v1/query", "{\"workload\":");
  cr_assert(invalid_json.status == 400);
  const http_reply wrong_type =
      host.Call("POST", "/v1/table", R"({"changes":[{"set":{"row":"service","name":5}}]})");
  cr_assert(wrong_type.status == 400);
  cr_assert(
      wrong_type.body.find("changes[0].set.name must be a string; found 5") != std::string::npos,
      "%s", wrong_type.body.c_str());
  cr_assert(host.Call("GET", "/v1/events?most=x").status == 400);
  const std::string head = "POST /v1/query HTTP/1.1\r\nHost: h\r\n";
  const std::pair<std::string, std::string> requests[] = {
      {head + "Content-Length: 262145\r\n\r\n", "413"},
      {head + "\r\n", "411"},
      {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "411"},
      {head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", "400"},
      {head + "Content-Length: -1\r\n\r\n", "400"},
      {head + "Content-Length: 99999999999999999999999\r\n\r\n", "400"},
      {"GET /" + std::string(20'000, 'a') + " HTTP/1.1\r\n\r\n", "400"},
      {"GET /v1/status HTTP/1.1\r\nX: " + std::string(10'000, 'a') + "\r\n\r\n", "400"},
      {std::string(200, 'x') + "\r\n\r\n", "400"},
  };
  for (const auto& [request, status] : requests) {
    const std::string answer = host.Raw(request);
    cr_assert(answer.starts_with("HTTP/1.1 " + status), "%s: %s", request.substr(0, 80).c_str(),
              answer.c_str());
  }
  std::string many_headers = "GET /v1/status HTTP/1.1\r\n";
  for (int i = 0; i < 200; ++i) {
    many_headers += "X" + std::to_string(i) + ": 1\r\n";
  }
  cr_assert(host.Raw(many_headers + "\r\n").starts_with("HTTP/1.1 400"));
  cr_assert(BadInputs(host, "unknown_path") == 1 && BadInputs(host, "wrong_method") == 1);
  cr_assert(BadInputs(host, "too_large") == 1 && BadInputs(host, "length_required") == 2);
  cr_assert(host.Call("GET", "/v1/status").body.find("\"length_required\":2") != std::string::npos);
}

// Guards against running a request whose body ends before its Content-Length.
Test(broken_requests, a_truncated_body_is_not_run) {
  test_host host;
  const std::string body = R"({"changes":[{"out":"data_centre/east"}]})";
  const std::string answer =
      host.Raw("POST /v1/table HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + body, "", true);
  cr_assert(answer.starts_with("HTTP/1.1 400"), "%s", answer.c_str());
  cr_assert(BadInputs(host, "incomplete_body") == 1);
  cr_assert(host.server().state().table()->version == 1);
}

// Guards against a client that occupies a thread by sending part of a request and then nothing.
Test(broken_requests, slow_requests_are_refused_at_the_time_limit) {
  test_host host(16, 200);
  cr_assert(host.Raw("POST /v1/query HTTP/1.1\r\nContent-Length: 10\r\n\r\n{")
                .starts_with("HTTP/1.1 408"));
  host.Raw("GET /v1/sta");
  cr_assert(BadInputs(host, "slow_request") == 2);
  cr_assert(StillServes(host));
}

// Guards against losing the second of two requests in one packet, or mixing it with the first.
Test(broken_requests, pipelined_requests_are_answered_in_order) {
  test_host host;
  const std::string answer = host.Raw(
      "POST /v1/query HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"
      "GET /v1/hosts HTTP/1.1\r\nConnection: close\r\n\r\n");
  const auto first = answer.find("workload is missing");
  cr_assert(first != std::string::npos && answer.find("lifetime_ms") > first, "%s", answer.c_str());
  cr_assert(answer.find("lifetime_ms") != std::string::npos);
}

// Guards against an unlimited number of connections; those above the limit get 503 at once.
Test(broken_requests, connections_above_the_limit_are_refused) {
  test_host host(2);
  std::vector<Poco::Net::StreamSocket> held;
  for (int i = 0; i < 2; ++i) {
    held.emplace_back(Poco::Net::SocketAddress(host.address()));
    held.back().setReceiveTimeout(Poco::Timespan(60, 0));
    const std::string request = "GET /v1/hosts HTTP/1.1\r\n\r\n";
    held.back().sendBytes(request.data(), static_cast<int>(request.size()));
    char block[4096];
    cr_assert(held.back().receiveBytes(block, sizeof(block)) > 0);
  }
  cr_assert(host.Raw("").starts_with("HTTP/1.1 503"));
  cr_assert(BadInputs(host, "too_many_connections") == 1);
}

// Guards against a crash or a blocked thread on malformed requests: 300 seeded mutations of a valid
// one.
Test(broken_requests, damaged_requests_do_not_stop_the_host) {
  test_host host(16, 300);
  random_source random(7);
  const std::string good =
      "POST /v1/query?a=%41 HTTP/1.1\r\nHost: h\r\nContent-Length: 31\r\nConnection: "
      "close\r\n\r\n{\"workload\":\"none\",\"body\":\"text\"}";
  for (int i = 0; i < 300; ++i) {
    std::string text = good;
    for (std::uint64_t n = 1 + random.Below(5); n > 0; --n) {
      text[random.Below(text.size())] = static_cast<char>(random.Below(256));
    }
    host.Raw(text, "", true);
  }
  cr_assert(StillServes(host));
}
