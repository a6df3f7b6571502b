#include "drills/drill_server.h"

#include <utility>

#include "drills/drill_store.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/http_text.h"
#include "net/server_connection.h"
#include "net/socket.h"

namespace limpetlever {

namespace {

using std::chrono::milliseconds;

constexpr duration kHeartbeat = milliseconds(1200);
constexpr duration kWorkTime = milliseconds(5);
constexpr int kSlots = 8;

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(ReadWallClock().time_since_epoch()).count();
}

}  // namespace

drill_server::drill_server(event_loop& loop,
                           drill_store& store,
                           options settings,
                           arrival_function on_arrival)
    : loop_(loop),
      store_(store),
      options_(std::move(settings)),
      key_("servers/" + options_.id),
      on_arrival_(std::move(on_arrival)) {
  StartProcess();
  heartbeat_ = loop_.timers().SubscribeEvery(loop_.Now() + options_.first_heartbeat, kHeartbeat,
                                             [this](instant) { Write(); });
}

drill_server::~drill_server() {
  loop_.timers().Cancel(heartbeat_);
  loop_.timers().Cancel(restart_);
}

void drill_server::StartProcess() {
  auto listener = Listen(options_.address);
  if (!listener) {
    restart_ = loop_.timers().Subscribe(loop_.Now() + milliseconds(20),
                                        [this](instant) { StartProcess(); });
    return;
  }
  server_ = std::make_shared<http_server>(loop_, std::move(listener.value()),
                                          [this](const auto& caller) { Handle(caller); });
  born_ms_ = UnixMs();
  sequence_ = 0;
  is_registered_ = false;
  Write();
}

void drill_server::Drain() {
  state_ = state_type::draining;
  Write();
}

void drill_server::Leave() {
  state_ = state_type::gone;
  Write();
}

void drill_server::Restart(duration pause) {
  Stop();
  restart_ = loop_.timers().Subscribe(loop_.Now() + pause, [this](instant) { StartProcess(); });
}

void drill_server::Stop() {
  is_registered_ = false;
  // A request that is being handled may be on the call stack.
  loop_.Defer([held = std::move(server_)] {});
  server_.reset();
}

bool drill_server::IsReadySince(instant time) const {
  return server_ && state_ == state_type::ready && is_registered_ && registered_ <= time;
}

void drill_server::Write() {
  if (state_ == state_type::gone) {
    if (store_.Find(key_) != nullptr && !store_.Remove(key_)) {
      return;
    }
    return;
  }
  if (!server_) {
    return;
  }
  const std::string content =
      "\"service\":\"" + options_.service + "\",\"address\":\"" + options_.address.ip + ":" +
      std::to_string(options_.address.port) + "\",\"zone\":\"" + options_.data_centre +
      "\",\"version\":\"v1\",\"slots\":" + std::to_string(kSlots) + ",\"state\":\"" +
      (state_ == state_type::ready ? "ready" : "draining") +
      "\",\"warmupLeftMs\":0,\"born\":" + std::to_string(born_ms_);
  const std::string value = "{" + content + ",\"seq\":" + std::to_string(++sequence_) + "}";
  if (store_.Write(key_, value, options_.heartbeats_raise_revision ? value : content) &&
      !is_registered_) {
    is_registered_ = true;
    registered_ = loop_.Now();
  }
}

void drill_server::Handle(const std::shared_ptr<server_connection>& caller) {
  const std::string id(caller->request().Find("Attempt-Id"));
  const std::string_view target_instance = caller->request().Find("Target-Instance");
  std::string head;
  if (caller->request().target == "/health") {
    AppendStatusLine(head, state_ == state_type::ready ? 200 : 503);
    AppendField(head, "Instance-Id", options_.id);
    caller->Answer(head, "");
    return;
  }
  AppendStatusLine(head, !target_instance.empty() && target_instance != options_.id ? 421 : 200);
  AppendField(head, "Attempt-Id", id);
  if (!target_instance.empty() && target_instance != options_.id) {
    AppendField(head, "Instance-Id", options_.id);
    caller->Answer(head, "");
    return;
  }
  on_arrival_(*this, id);
  AppendField(head, "Response-Seal", options_.id);
  AppendField(head, "Server-Load", "1,0," + std::to_string(kSlots));
  loop_.timers().Subscribe(loop_.Now() + kWorkTime, [process = std::weak_ptr(server_), caller, head,
                                                     body = options_.service](instant) {
    if (process.lock()) {
      caller->Answer(head, body);
    }
  });
}

}  // namespace limpetlever
