#include "drills/drill_caller.h"

#include <cstdio>
#include <utility>

#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/http_text.h"

namespace limpetlever {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxBodyBytes = 64 * 1024;
constexpr int kDeadlineMs = 2000;
constexpr duration kLimit = milliseconds(kDeadlineMs + 1000);
constexpr duration kMinPause = milliseconds(40);
constexpr std::uint64_t kPauseSpreadUs = 60'000;

}  // namespace

drill_caller::drill_caller(event_loop& loop,
                           options settings,
                           choose_function choose,
                           outcome_function on_outcome)
    : loop_(loop),
      options_(std::move(settings)),
      choose_(std::move(choose)),
      on_outcome_(std::move(on_outcome)),
      random_(options_.seed) {
  Begin();
}

drill_caller::~drill_caller() = default;

void drill_caller::Begin() {
  char number[16];
  std::snprintf(number, sizeof(number), "%010llx", static_cast<unsigned long long>(++count_));
  current_ = {.id = options_.id_prefix + number, .prefix = choose_(random_), .sent = loop_.Now()};
  is_waiting_ = true;
  limit_ = loop_.timers().Subscribe(loop_.Now() + kLimit, [this](instant) {
    client_.reset();
    Finish(0, {});
  });
  if (client_ && client_->IsConnected() && client_->IsReusable()) {
    Send();
    return;
  }
  client_ = std::make_unique<http_client>(loop_, options_.host, kMaxBodyBytes, kLimit, *this);
}

void drill_caller::Send() {
  std::string request;
  AppendRequestLine(request, "GET", current_.prefix + "a");
  AppendField(request, "Host", "h.example");
  AppendField(request, "Attempt-Id", current_.id);
  AppendField(request, "Deadline-Ms", std::to_string(kDeadlineMs));
  request += "\r\n";
  client_->Send(request);
}

void drill_caller::OnConnected(http_client&) {
  if (is_waiting_) {
    Send();
  }
}

bool drill_caller::OnResponse(http_client&, http_message& response) {
  // The client is still in use by its caller, so that the next request waits for a timer.
  Finish(response.status, response.status == 200 ? response.body : std::string());
  return true;
}

void drill_caller::OnEnded(http_client&, http_client::end_reason) {
  client_.reset();
  if (is_waiting_) {
    Finish(0, {});
  }
}

void drill_caller::Finish(int status, const std::string& service) {
  loop_.timers().Cancel(limit_);
  is_waiting_ = false;
  current_.status = status;
  current_.service = service;
  on_outcome_(current_);
  const duration pause =
      kMinPause + duration(static_cast<std::int64_t>(random_.Below(kPauseSpreadUs)));
  loop_.timers().Subscribe(loop_.Now() + pause, [this](instant) { Begin(); });
}

}  // namespace limpetlever
