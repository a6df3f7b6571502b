#include "node/node_settings.h"

#include <fstream>
#include <iterator>
#include <utility>

#include "base/json_document.h"

namespace limpetlever {

namespace {

constexpr int kMinDescriptors = 256;
constexpr double kMegabyte = 1024.0 * 1024.0;
constexpr double kMinMemoryMb = 16.0;
constexpr double kMaxMemoryMb = 1024.0 * 1024.0;
constexpr double kMaxCores = 1024.0;
constexpr int kMaxDescriptors = 1'000'000;

/** Reads the members of one JSON object and keeps the first error. */
class settings_reader {
 public:
  settings_reader(const rapidjson::Value& root, std::string_view source)
      : root_(root), source_(source) {}

  std::string Text(std::string_view name) {
    auto text = StringMember(root_, name);
    if (!text || text->empty()) {
      Fail(name, "a non-empty string");
      return {};
    }
    return std::move(*text);
  }

  socket_address Address(std::string_view name) {
    const auto text = StringMember(root_, name);
    const auto address = text ? ParseSocketAddress(*text) : std::nullopt;
    if (!address) {
      Fail(name, "\"IPv4:port\"");
      return {};
    }
    return *address;
  }

  bool Has(std::string_view name) const { return FindMember(root_, name) != nullptr; }

  double Number(std::string_view name, double min, double max, double fallback) {
    if (!Has(name)) {
      return fallback;
    }
    const auto number = NumberMember(root_, name);
    if (!number || *number < min || *number > max) {
      Fail(name, "a number from " + std::to_string(min) + " to " + std::to_string(max));
      return fallback;
    }
    return *number;
  }

  duration Seconds(std::string_view name, duration fallback) {
    constexpr double kMaxSeconds = 3600.0;
    const double seconds =
        Number(name, 0.1, kMaxSeconds, std::chrono::duration<double>(fallback).count());
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
  }

  duration Milliseconds(std::string_view name, duration fallback) {
    constexpr double kMinMilliseconds = 10.0;
    constexpr double kMaxMilliseconds = 600'000.0;
    using milliseconds = std::chrono::duration<double, std::milli>;
    return std::chrono::duration_cast<duration>(milliseconds(
        Number(name, kMinMilliseconds, kMaxMilliseconds, milliseconds(fallback).count())));
  }

  const std::optional<failure>& first_error() const { return first_error_; }

 private:
  void Fail(std::string_view name, const std::string& allowed) {
    if (!first_error_) {
      first_error_ = failure{std::make_error_code(std::errc::invalid_argument),
                             source_ + ": " + std::string(name) + " must be " + allowed};
    }
  }

  const rapidjson::Value& root_;
  const std::string source_;
  std::optional<failure> first_error_;
};

}  // namespace

result<node_settings> ParseNodeSettings(std::string_view text, std::string_view source) {
  const auto document = ParseJsonObject(text, source);
  if (!document) {
    return document.error();
  }
  settings_reader reader(**document, source);
  node_settings settings;
  settings.name = reader.Text("name");
  settings.region = reader.Text("region");
  settings.data_centre = reader.Text("data_centre");
  settings.caller_address = reader.Address("caller_address");
  settings.readiness_address = reader.Address("readiness_address");
  if (reader.Has("directory_address")) {
    settings.directory_address = reader.Address("directory_address");
  }
  settings.peer_address = reader.Address("peer_address");
  settings.metrics_address = reader.Address("metrics_address");
  settings.store_address = reader.Address("store_address");
  settings.max_descriptors = static_cast<int>(
      reader.Number("max_descriptors", kMinDescriptors, kMaxDescriptors, settings.max_descriptors));
  settings.processor_share =
      static_cast<int>(1000.0 * reader.Number("processor_share", 0.001, kMaxCores,
                                              settings.processor_share / 1000.0));
  settings.max_memory = static_cast<std::size_t>(
      kMegabyte * reader.Number("memory_mb", kMinMemoryMb, kMaxMemoryMb,
                                static_cast<double>(settings.max_memory) / kMegabyte));
  settings.grace_time = reader.Seconds("grace_s", settings.grace_time);
  settings.max_advice_lifetime =
      reader.Seconds("max_advice_lifetime_s", settings.max_advice_lifetime);
  settings.server_heartbeat = reader.Milliseconds("server_heartbeat_ms", settings.server_heartbeat);
  settings.retry_ratio = reader.Number("retry_ratio", 0.0, 1.0, settings.retry_ratio);
  settings.retry_slack = reader.Number("retry_slack", 0.0, 1e6, settings.retry_slack);
  settings.retry_window = reader.Seconds("retry_window_s", settings.retry_window);
  if (reader.first_error()) {
    return *reader.first_error();
  }
  return settings;
}

result<node_settings> ReadNodeSettings(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return failure{std::make_error_code(std::errc::no_such_file_or_directory),
                   path + ": cannot open the settings file"};
  }
  const std::string text(std::istreambuf_iterator<char>(in), {});
  return ParseNodeSettings(text, path);
}

}  // namespace limpetlever
