#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "net/http_reader.h"

using namespace limpetlever;

namespace {

constexpr std::size_t kHeaderLimit = 1024;
constexpr std::size_t kBodyLimit = 64;

std::unique_ptr<http_reader> MakeReader(http_reader::side side) {
  return std::make_unique<http_reader>(side, kHeaderLimit, kBodyLimit);
}

http_reader::state ParseState(const std::string& text) {
  const auto reader = MakeReader(http_reader::side::requests);
  reader->Feed(text);
  return reader->current();
}

}  // namespace

// Guards against request smuggling: texts that two parsers may take for different requests.
Test(http_reader, ambiguous_requests_are_malformed) {
  const std::vector<std::string> bad = {
      "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: "
      "chunked\r\n\r\n0\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n folded\r\n\r\n",
      "GET / HTTP/1.1\nHost: a\n\n",
      "GET / HTTP/1.1\r\nHost : a\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1x\r\n\r\na",
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nabc",
      "GET / HTTP/1.1\r\nHost: a\r\nX\r\n\r\n",
      "\x16\x03\x01 not http"};
  for (const std::string& text : bad) {
    cr_assert(ParseState(text) == http_reader::state::malformed, "%s", text.c_str());
  }
}

// Guards against header and body limits that are not enforced.
Test(http_reader, limits_of_header_and_body) {
  const std::string long_header =
      "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(2000, 'x') + "\r\n\r\n";
  cr_assert(ParseState(long_header) == http_reader::state::header_too_large);
  cr_assert(ParseState("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n") ==
            http_reader::state::body_too_large);
  cr_assert(ParseState("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" +
                       std::string(65, 'a')) == http_reader::state::body_too_large);
}

// Guards against a result that depends on how the bytes were split into reads.
Test(http_reader, any_split_gives_the_same_message) {
  const std::string text =
      "POST /a/b?c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
      "chunked\r\n\r\n3\r\nab\n\r\n2\r\ncd\r\n0\r\n\r\n";
  for (std::size_t split = 1; split < text.size(); ++split) {
    const auto reader = MakeReader(http_reader::side::requests);
    reader->Feed(text.substr(0, split));
    reader->Feed(text.substr(split));
    cr_assert(reader->current() == http_reader::state::complete, "split at %zu", split);
    cr_assert(reader->message().body == "ab\ncd");
    cr_assert(reader->message().target == "/a/b?c");
    cr_assert(reader->message().Find("host") == "h");
  }
}

// Guards against parsing bytes of a second message as part of the first.
Test(http_reader, stops_at_the_end_of_a_message) {
  const auto reader = MakeReader(http_reader::side::responses);
  const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
  const std::string both = first + "HTTP/1.1 200 OK\r\n";
  cr_assert(reader->Feed(both) == first.size());
  cr_assert(reader->current() == http_reader::state::complete);
}

// Guards against taking a truncated response for a complete one.
Test(http_reader, a_truncated_response_is_malformed) {
  auto reader = MakeReader(http_reader::side::responses);
  reader->Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
  reader->FeedEndOfStream();
  cr_assert(reader->current() == http_reader::state::malformed);
  reader = MakeReader(http_reader::side::responses);
  reader->Feed("HTTP/1.1 200 OK\r\n\r\nab");
  cr_assert(reader->current() == http_reader::state::reading);
  reader->FeedEndOfStream();
  cr_assert(reader->current() == http_reader::state::complete);
  cr_assert(reader->message().body == "ab" && !reader->message().keeps_alive);
}

// Guards against taking an informational (1xx) response for the final one.
Test(http_reader, informational_responses_are_skipped) {
  const auto reader = MakeReader(http_reader::side::responses);
  reader->Feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nX: y\r\n\r\n");
  cr_assert(reader->current() == http_reader::state::complete);
  cr_assert(reader->message().status == 204 && reader->message().Find("X") == "y");
}

// Guards against a response that is passed on, or for whose successor its reader waits, although
// its status is none of HTTP: 000 and 099 look like interim responses, and nobody asks for 101.
Test(http_reader, a_status_that_http_does_not_have_is_malformed) {
  for (const char* status : {"000", "001", "099", "101", "600", "999", "0", "20", "0200", "2000",
                             "00200", "-200", "+20", "2 0", " 200", "0x0"}) {
    const auto reader = MakeReader(http_reader::side::responses);
    reader->Feed("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 2\r\n\r\nab");
    cr_assert(reader->current() == http_reader::state::malformed, "%s", status);
  }
  const auto reader = MakeReader(http_reader::side::responses);
  reader->Feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nab");
  cr_assert(reader->current() == http_reader::state::malformed, "after an interim response");
}

// Guards against answers that are refused although their status is valid, if seldom used.
Test(http_reader, each_status_of_http_is_read) {
  for (int status = 200; status < 600; ++status) {
    const auto reader = MakeReader(http_reader::side::responses);
    reader->Feed("HTTP/1.1 " + std::to_string(status) + "\r\nContent-Length: 0\r\n\r\n");
    cr_assert(reader->current() == http_reader::state::complete, "%d", status);
    cr_assert(reader->message().status == status);
  }
  for (const char* interim : {"100", "102", "103", "199"}) {
    const auto reader = MakeReader(http_reader::side::responses);
    reader->Feed("HTTP/1.1 " + std::string(interim) +
                 " X\r\n\r\nHTTP/1.0 200 OK\r\n"
                 "Content-Length: 0\r\n\r\n");
    cr_assert(reader->message().status == 200, "%s", interim);
  }
}

// Guards against crashes and broken limits on corrupted input: 20,000 mutations with a fixed seed.
Test(http_reader, corrupted_bytes_are_parsed_or_rejected) {
  const std::vector<std::string> corpus = {
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\nabc"};
  random_source random(5);
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = corpus[random.Below(corpus.size())];
    for (std::uint64_t n = random.Below(4); n > 0; --n) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    const auto reader = MakeReader(random.Below(2) == 0 ? http_reader::side::requests
                                                        : http_reader::side::responses);
    const std::size_t split = random.Below(bytes.size());
    reader->Feed(std::string_view(bytes).substr(0, split));
    reader->Feed(std::string_view(bytes).substr(split));
    reader->FeedEndOfStream();
    cr_assert(reader->message().body.size() <= kBodyLimit);
  }
}
