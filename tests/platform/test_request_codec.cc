#include <criterion/criterion.h>

#include <string>

#include "base/errc.h"
#include "config/route.h"
#include "net/http_reader.h"
#include "platform/directory_codec.h"
#include "platform/request_codec.h"
#include "query/query_outcome.h"
#include "replicas/replica.h"

using namespace limpetlever;

namespace {

/** The message parsed from `text`, which must be complete. */
struct parsed {
  parsed(http_reader::side side, const std::string& text) : reader(side, 4096, 4096) {
    reader.Feed(text);
    reader.FeedEndOfStream();
    cr_assert(reader.current() == http_reader::state::complete, "%s", text.c_str());
  }
  http_message& operator*() { return reader.message(); }
  http_message* operator->() { return &reader.message(); }
  http_reader reader;
};

const replica kTarget{.id = "i-1"};

/** The bytes of the request for kTarget. */
std::string Encode(const platform::replica_request_writer& writer, duration timeout) {
  const outgoing_request request = writer.Write(kTarget, timeout);
  return request.head + (request.body ? *request.body : "");
}

}  // namespace

// Guards against hop-by-hop fields that are forwarded to a server, a deadline that is not
// shortened, and a changed target or body.
Test(request_codec, a_request_to_a_server) {
  parsed request(http_reader::side::requests,
                 "POST /a/b?x=%20y HTTP/1.1\r\nHost: h\r\nAttempt-Id: 77\r\nDeadline-Ms: 400\r\n"
                 "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nX-Kept: v\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
  const auto options = platform::ParseCallerOptions(*request);
  cr_assert(options.request_id == "77" && options.timeout == std::chrono::milliseconds(400));
  const platform::replica_request_writer writer(*request);
  parsed sent(http_reader::side::requests, Encode(writer, std::chrono::milliseconds(250)));
  cr_assert(sent->method == "POST" && sent->target == "/a/b?x=%20y" && sent->body == "ab");
  cr_assert(sent->Find("Attempt-Id") == "77" && sent->Find("Host") == "h");
  cr_assert(sent->Count("Deadline-Ms") == 1 && sent->Find("Deadline-Ms") == "250");
  cr_assert(sent->Find("Target-Instance") == "i-1" && sent->Find("X-Kept") == "v");
  cr_assert(!sent->Has("X-Hop") && !sent->Has("TE") && !sent->Has("Connection"));
  cr_assert(sent->Count("Content-Length") == 1 && !sent->Has("Transfer-Encoding"));
}

// Guards against a caller's own server id or deadline that is forwarded beside or instead of the
// host's.
Test(request_codec, fields_of_the_host_replace_those_of_the_caller) {
  parsed request(http_reader::side::requests,
                 "GET /a HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\ntarget-instance: i-9\r\n"
                 "deadline-ms: 9000\r\n\r\n");
  const platform::replica_request_writer writer(*request);
  parsed sent(http_reader::side::requests, Encode(writer, std::chrono::milliseconds(100)));
  cr_assert(sent->Count("Target-Instance") == 1 && sent->Find("Target-Instance") == "i-1");
  cr_assert(sent->Count("Deadline-Ms") == 1 && sent->Find("Deadline-Ms") == "100");
  cr_assert(!sent->Has("Content-Length"));
}

// Guards against an answer to another request that is forwarded to the caller.
Test(request_codec, answers_are_matched_by_id) {
  parsed own(http_reader::side::responses,
             "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nContent-Length: 0\r\n\r\n");
  cr_assert(platform::IsAnswerTo(*own, "77"));
  cr_assert(!platform::IsAnswerTo(*own, "78"));
  parsed without(http_reader::side::responses, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  cr_assert(!platform::IsAnswerTo(*without, "77"));
}

// Guards against a refused request that is taken for one that has run, and the reverse.
Test(request_codec, a_reply_states_whether_the_request_ran) {
  parsed refused(http_reader::side::responses,
                 "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nServer-Load: 2,12,2\r\n"
                 "Attempt-Id: 77\r\nContent-Length: 0\r\n\r\n");
  const auto refusal = platform::ParseReply(*refused, {});
  cr_assert(refusal.is_not_run && refusal.load);
  cr_assert(refusal.load->running == 2 && refusal.load->waiting == 12 && refusal.load->slots == 2);
  parsed failed(
      http_reader::side::responses,
      "HTTP/1.1 503 Service Unavailable\r\nServer-Load: 2,x\r\nContent-Length: 0\r\n\r\n");
  cr_assert(!platform::ParseReply(*failed, {}).is_not_run &&
            !platform::ParseReply(*failed, {}).load);
  parsed unnamed(http_reader::side::responses,
                 "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                 "Content-Length: 0\r\n\r\n");
  cr_assert(!platform::ParseReply(*unnamed, {}).is_not_run, "of which request is not known");
  parsed other(http_reader::side::responses,
               "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
  cr_assert(platform::ParseReply(*other, {}).is_misdirected &&
            platform::ParseReply(*other, {}).is_not_run);
}

// Guards against a 503, which states that the request has not run, for one that may have run.
Test(request_codec, the_status_tells_whether_it_may_have_run) {
  const route query_route;
  query_outcome outcome;
  outcome.result = NotRun(errc::no_replica);
  const auto refused =
      platform::WriteQueryAnswer(query_route, outcome, std::chrono::milliseconds(250));
  cr_assert(refused.status == 503);
  cr_assert(refused.head.find("Retry-After: 0.250\r\n") != std::string::npos);
  outcome.result = MayHaveRun(errc::connection_lost);
  cr_assert(platform::WriteQueryAnswer(query_route, outcome, {}).status == 502);
  outcome.result = MayHaveRun(errc::deadline_exceeded);
  cr_assert(platform::WriteQueryAnswer(query_route, outcome, {}).status == 504);
}

// Guards against a merged answer that reports wrong signatures or a wrong number of missing parts.
Test(request_codec, a_merged_answer_lists_its_parts) {
  route query_route;
  query_route.shards = {"a", "b", "c"};
  query_route.top_k = 1;
  query_outcome outcome;
  outcome.result = Ran();
  outcome.parts = {{.status = 200, .signature = "s1", .body = std::string(16, 'a')},
                   {.status = 200, .signature = "s2", .body = std::string(16, 'b')}};
  outcome.missing_shards = 1;
  const auto answer = platform::WriteQueryAnswer(query_route, outcome, {});
  cr_assert(answer.status == 200 && answer.body == std::string(16, 'b'));
  cr_assert(answer.head.find("Part-Stamps: s1, s2\r\n") != std::string::npos);
  cr_assert(answer.head.find("Parts-Missing: 1\r\n") != std::string::npos);
}

// Guards against a directory request that is parsed wrongly, and an answer that callers cannot
// parse.
Test(directory_codec, request_and_answer) {
  const auto request = platform::ParseDirectoryRequest("/lookup?name=h.example&region=r&zone=z-1");
  cr_assert(request && request->region == "r" && request->data_centre == "z-1");
  cr_assert(!platform::ParseDirectoryRequest("/other"));
  const auto body = platform::EncodeDirectoryAnswer({{.http_address = "10.0.0.1:80"}},
                                                    std::chrono::milliseconds(1200));
  cr_assert(body == R"({"addrs":["10.0.0.1:80"],"ttl_s":1.2})", "%s", body.c_str());
}

// Guards against a limit of a server in need that is not read, or is read from text that is none.
Test(request_codec, a_reply_names_the_limit_of_its_server) {
  const auto limit_in = [](const std::string& field) {
    parsed reply(http_reader::side::responses,
                 "HTTP/1.1 200 OK\r\n" + field + "Content-Length: 0\r\n\r\n");
    return platform::ParseReply(*reply, {}).request_limit;
  };
  cr_assert(limit_in("Server-Limit: 9.6\r\n") == 9.6);
  cr_assert(limit_in("server-limit: 12\r\n") == 12.0);
  cr_assert(limit_in("Server-Limit: 0\r\n") == 0.0);
  cr_assert(!limit_in(""));
  for (const char* text : {"", "-1", "many", "9,6", "1e999", "nan", "inf", "7 a second"}) {
    cr_assert(!limit_in("Server-Limit: " + std::string(text) + "\r\n"), "%s", text);
  }
  parsed other(http_reader::side::responses,
               "HTTP/1.1 421 Misdirected Request\r\nServer-Limit: 1\r\nContent-Length: 0\r\n\r\n");
  cr_assert(!platform::ParseReply(*other, {}).request_limit, "of another server at the address");
}

// Guards against a status that states that a request has not run, for an answer of a server that
// does not declare it: the caller would send a request again that may have run.
Test(request_codec, a_status_that_denies_a_run_needs_the_servers_word) {
  const route query_route;
  for (const int status : {408, 421, 429, 503}) {
    query_outcome outcome;
    outcome.result = Ran();
    outcome.reply = replica_reply{.status = status, .signature = "seal", .body = "text"};
    const auto answer = platform::WriteQueryAnswer(query_route, outcome, {});
    cr_assert(answer.status == 502, "%d gave %d", status, answer.status);
    cr_assert(answer.head.find("Response-Seal") == std::string::npos && answer.body.empty());
  }
  query_outcome outcome;
  outcome.result = Ran();
  outcome.reply = replica_reply{.status = 500, .signature = "seal", .body = "text"};
  cr_assert(platform::WriteQueryAnswer(query_route, outcome, {}).status == 500);
}

// Guards against a signature that makes the list of signatures of a whole merged answer wrong, and
// against callers that are sent away for the pause that a server wants from this host.
Test(request_codec, fields_that_are_not_for_the_caller) {
  parsed odd(http_reader::side::responses,
             "HTTP/1.1 200 OK\r\nResponse-Seal: a, b\r\nContent-Length: 0\r\n\r\n");
  cr_assert(platform::ParseReply(*odd, {}).signature.empty());
  parsed busy(http_reader::side::responses,
              "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 60\r\nNot-Executed: 1\r\n"
              "Content-Length: 0\r\n\r\n");
  const auto reply = platform::ParseReply(*busy, {});
  cr_assert(reply.notice.pause == std::chrono::seconds(60));
  for (const auto& [name, value] : reply.fields) {
    cr_assert(name != "Retry-After");
  }
}

// Guards against a health check that carries a caller's id or names a process: servers answer it
// whoever asks.
Test(request_codec, a_health_check) {
  const replica target{.id = "i-1", .address = {.ip = "10.0.0.9", .port = 8080}};
  parsed sent(http_reader::side::requests, platform::WriteHealthCheck(target, "/health").head);
  cr_assert(sent->method == "GET" && sent->target == "/health");
  cr_assert(sent->Find("Host") == "10.0.0.9:8080" && sent->field_count() == 1);
}

// Guards against the time for which a server is cold being ignored, or invented where the answer
// does not state it or belongs to another request.
Test(request_codec, the_answer_to_a_health_check) {
  const auto parse = [](const std::string& status, const std::string& fields) {
    parsed response(http_reader::side::responses,
                    "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: 0\r\n\r\n");
    return platform::ParseHealth(*response);
  };
  using health = platform::server_health;
  using std::chrono::milliseconds;
  cr_assert(parse("200", "Instance-Id: i-1\r\nCold-Ms: 2500\r\n") ==
            (health{.id = "i-1", .cold_left = milliseconds(2500)}));
  cr_assert(parse("503", "Instance-Id: i-1\r\nCold-Ms: 0\r\n") ==
            (health{.id = "i-1", .cold_left = milliseconds(0)}));
  cr_assert(parse("200", "Instance-Id: i-1\r\n") == health{.id = "i-1"});
  for (const char* odd : {"-1", "x", "", "99999999999999999999"}) {
    cr_assert(!parse("200", "Cold-Ms: " + std::string(odd) + "\r\n")->cold_left, "%s", odd);
  }
  cr_assert(parse("200", "Cold-Ms: 999999999999\r\n")->cold_left == std::chrono::minutes(10));
  cr_assert(!parse("503", "Attempt-Id: 7\r\nCold-Ms: 5\r\n"));
  cr_assert(parse("503", "Not-Executed: 1\r\n")->is_rejected);
}
