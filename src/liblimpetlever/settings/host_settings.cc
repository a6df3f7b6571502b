#include "settings/host_settings.h"

#include "base/errc.h"
#include "base/json_reader.h"
#include "base/socket_address.h"

namespace limpetlever {

namespace {

std::string ReadAddress(json_reader& in, const std::string& key) {
  const std::string text = in.String(key);
  if (!ParseSocketAddress(text)) {
    in.Fail(key,
            "found \"" + text + "\"; allowed: an IPv4 number and a port, as in 127.0.0.1:8080");
  }
  return text;
}

std::string ReadName(json_reader& in, const std::string& key) {
  const std::string text = in.String(key);
  if (text.empty() || text.find_first_of("/ \t\n") != std::string::npos) {
    in.Fail(key, "found \"" + text + "\"; allowed: a name without spaces and slashes");
  }
  return text;
}

}  // namespace

result<host_settings> ParseHostSettings(const std::string& text, const std::string& source) {
  const auto root = json_reader::ParseText(text, source);
  if (!root) {
    return root.error();
  }
  json_reader in(*root, "");
  host_settings settings{
      .name = ReadName(in, "name"),
      .region = ReadName(in, "region"),
      .data_centre = ReadName(in, "data_centre"),
      .http_address = ReadAddress(in, "http_address"),
      .peer_address = ReadAddress(in, "peer_address"),
      .key_value_address = ReadAddress(in, "key_value_address"),
      .host_list_address = ReadAddress(in, "host_list_address"),
      .http_threads = static_cast<int>(in.IntegerOr("http_threads", 2, 4096, 64)),
      .backend_threads = static_cast<int>(in.IntegerOr("backend_threads", 1, 4096, 128)),
      .max_body_bytes =
          static_cast<int>(in.IntegerOr("most_body_bytes", 1024, 16'777'216, 262'144)),
      .request_read_ms = static_cast<int>(in.IntegerOr("request_read_ms", 100, 600'000, 10'000)),
      .event_capacity = static_cast<int>(in.IntegerOr("event_capacity", 64, 1'000'000, 8192)),
      .address_lifetime_ms =
          static_cast<int>(in.IntegerOr("address_lifetime_ms", 100, 600'000, 10'000))};
  if (const auto error = in.Finish()) {
    return failure{error->code, source + ": " + error->message};
  }
  return settings;
}

}  // namespace limpetlever
