#include "control_service.h"

#include <optional>

#include "backend_settings_json.h"
#include "base/json_reader.h"

namespace limpetlever {

namespace {

constexpr int kThreads = 4;
constexpr std::int64_t kMaxInteger = 1'000'000'000;

}  // namespace

control_service::control_service(const std::string& ip,
                                 int port,
                                 key_value_service* store,
                                 host_list_service* hosts,
                                 const std::vector<std::unique_ptr<backend_server>>& backends)
    : store_(store),
      hosts_(hosts),
      backends_(backends),
      service_(ip, port, kThreads, [this](auto& request, auto& response) {
        if (request.getMethod() == "GET") {
          SendResponse(response, 200, FormatRecords());
          return;
        }
        const std::string error = ApplyFaults(ReadBody(request));
        SendResponse(response, error.empty() ? 200 : 400, error);
      }) {}

std::string control_service::ApplyFaults(const std::string& text) {
  const auto root = json_reader::ParseText(text, "control");
  if (!root) {
    return root.error().message;
  }
  json_reader in(*root, "");
  std::optional<key_value_faults> faults;
  if (in.Has("key_value") && store_ != nullptr) {
    json_reader item = in.Object("key_value");
    key_value_faults current = store_->faults();
    current.latency_ms =
        static_cast<int>(item.IntegerOr("latency_ms", 0, kMaxInteger, current.latency_ms));
    current.outage = item.BoolOr("outage", current.outage);
    current.lost_answers =
        static_cast<int>(item.IntegerOr("lost_answers", 0, kMaxInteger, current.lost_answers));
    in.TakeErrorFrom(item);
    faults = current;
  }
  const std::int64_t lag_ms = in.IntegerOr("host_list_lag_ms", -1, kMaxInteger, -1);
  struct server_change {
    backend_server* server;
    backend_settings settings;
    bool is_crash;
  };
  std::vector<server_change> changes;
  for (json_reader& item : in.ObjectsOrEmpty("backends")) {
    const std::int64_t port = item.IntegerOr("at_port", 0, 65535, 0);
    const std::string service = item.StringOr("at_service", "");
    const std::string data_centre = item.StringOr("at_data_centre", "");
    const bool is_crash = item.BoolOr("crash", false);
    for (const auto& server : backends_) {
      const backend_settings current = server->settings();
      if ((port == 0 || port == server->port()) &&
          (service.empty() || service == current.service) &&
          (data_centre.empty() || data_centre == current.data_centre)) {
        changes.push_back({server.get(), ParseBackendSettings(item, current), is_crash});
      }
    }
    in.TakeErrorFrom(item);
  }
  if (const auto error = in.Finish()) {
    return error->message;
  }
  if (faults) {
    store_->set_faults(*faults);
  }
  if (lag_ms >= 0 && hosts_ != nullptr) {
    hosts_->set_lag_ms(static_cast<int>(lag_ms));
  }
  for (const server_change& item : changes) {
    item.server->set_settings(item.settings);
    if (item.is_crash) {
      item.server->Crash();
    }
  }
  return {};
}

std::string control_service::FormatRecords() const {
  std::string text =
      R"({"key_value":)" + (store_ != nullptr ? store_->Counters() : "{}") + R"(,"backends":[)";
  const char* separator = "";
  for (const auto& server : backends_) {
    text += separator + server->Record();
    separator = ",\n";
  }
  return text + "]}";
}

}  // namespace limpetlever
