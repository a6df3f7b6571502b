#include <criterion/criterion.h>

#include <string>

#include "limits/request_pause.h"
#include "net/http_reader.h"
#include "platform/request_codec.h"
#include "platform/retry_after.h"
#include "query/replica_reply.h"

using namespace limpetlever;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// 2026-12-05 10:00:00 UTC
constexpr wall_time kNow{seconds(1'796'464'800)};

std::optional<duration> PauseIn(const std::string& fields,
                                const std::string& status = "503 Service Unavailable") {
  http_reader reader(http_reader::side::responses, 4096, 4096);
  reader.Feed("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 0\r\n\r\n");
  cr_assert(reader.current() == http_reader::state::complete, "%s", fields.c_str());
  return platform::ParseNotice(reader.message(), kNow).pause;
}

bool IsLeaving(const std::string& fields, const std::string& status = "200 OK") {
  http_reader reader(http_reader::side::responses, 4096, 4096);
  reader.Feed("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 0\r\n\r\n");
  return platform::ParseNotice(reader.message(), kNow).is_leaving;
}

}  // namespace

// Guards against a wish that is misread: too short a pause breaks the users' rule, and too long a
// one leaves a server without requests.
Test(retry_after, each_form_has_its_meaning) {
  cr_assert(PauseIn("Retry-After: 2\r\n") == seconds(2));
  cr_assert(PauseIn("retry-after: 0.25\r\n") == milliseconds(250));
  cr_assert(PauseIn("Retry-After:  7 \r\n") == seconds(7));
  cr_assert(PauseIn("Retry-After: 0\r\n") == duration::zero());
  cr_assert(PauseIn("Retry-After: 1\r\nRetry-After: 9\r\nRetry-After: 3\r\n") == seconds(9));
  cr_assert(PauseIn("Retry-After: soon\r\nRetry-After: 3\r\n") == seconds(3));
  for (const char* text : {"99999999999", "1e300", "1e999"}) {
    cr_assert(PauseIn("Retry-After: " + std::string(text) + "\r\n") == request_pause::kMaxPause,
              "%s", text);
  }
  for (const char* text : {"", "-1", "-0.5", "soon", "5s", "nan", "inf", "0x10", "1,5"}) {
    cr_assert(!PauseIn("Retry-After: " + std::string(text) + "\r\n"), "%s", text);
  }
  cr_assert(!PauseIn(""));
}

// Guards against a date that is taken for a number, or compared with a clock that is wrong.
Test(retry_after, a_date_is_a_pause_until_then) {
  cr_assert(PauseIn("Retry-After: Sat, 05 Dec 2026 10:00:30 GMT\r\n") == seconds(30));
  cr_assert(PauseIn("Date: Sat, 05 Dec 2026 09:00:00 GMT\r\n"
                    "Retry-After: Sat, 05 Dec 2026 09:00:05 GMT\r\n") == seconds(5));
  cr_assert(!PauseIn("Retry-After: Sat, 05 Dec 2026 09:59:59 GMT\r\n"));
  cr_assert(PauseIn("Retry-After: Sun, 05 Dec 2027 10:00:00 GMT\r\n") == request_pause::kMaxPause);
  cr_assert(!PauseIn("Retry-After: Sat, 05 Dec 2026\r\n"));
}

// Guards against a pause that another status states for another purpose.
Test(retry_after, only_a_503_asks_for_a_pause) {
  cr_assert(!PauseIn("Retry-After: 2\r\n", "200 OK"));
  cr_assert(!PauseIn("Retry-After: 2\r\n", "429 Too Many Requests"));
  cr_assert(!PauseIn("Retry-After: 2\r\n", "421 Misdirected Request"));
}

// Guards against a leaving server that is not noticed because of the status of its answer, and
// against one that is taken for leaving since another server has answered at its address.
Test(server_leaving, holds_in_answers_of_any_status) {
  for (const char* status : {"200 OK", "404 Not Found", "500 Internal Server Error",
                             "503 Service Unavailable", "504 Gateway Timeout"}) {
    cr_assert(IsLeaving("server-leaving: 1\r\n", status), "%s", status);
  }
  cr_assert(IsLeaving("Server-Leaving: 0\r\nServer-Leaving: 1\r\n"));
  cr_assert(!IsLeaving("Server-Leaving: 1\r\n", "421 Misdirected Request"));
  cr_assert(!IsLeaving("") && !IsLeaving("Server-Leaving: 0\r\n") &&
            !IsLeaving("Server-Leaving:\r\n") && !IsLeaving("Server-Leaving: no\r\n"));
}
