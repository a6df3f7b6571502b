#include "membership/peer_message.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <utility>

#include "base/bounded_number.h"

namespace limpetlever {

namespace {

constexpr int kLastKind = static_cast<int>(peer_message::kind_type::update);
constexpr rapidjson::SizeType kMessageFields = 5;
constexpr rapidjson::SizeType kEntryFields = 4;
// Key of an update that carries the era of the sender's position. Hosts of an earlier version
// refuse a message with more fields, and ignore an update that they do not know.
constexpr const char* kEraKey = "store-era";
// Key of an update that carries the liveness report, for the same reason.
constexpr const char* kLivenessKey = "liveness";

void WriteString(rapidjson::Writer<rapidjson::StringBuffer>& writer, const std::string& text) {
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

void WriteEntry(rapidjson::Writer<rapidjson::StringBuffer>& writer, const gossip_entry& entry) {
  writer.StartArray();
  WriteString(writer, entry.key);
  writer.Int64(entry.incarnation);
  writer.Int64(entry.version);
  WriteString(writer, entry.value);
  writer.EndArray();
}

std::optional<gossip_entry> ReadEntry(const rapidjson::Value& json) {
  if (!json.IsArray() || json.Size() != kEntryFields || !json[0].IsString() || !json[1].IsInt64() ||
      !json[2].IsInt64() || !json[3].IsString()) {
    return std::nullopt;
  }
  return gossip_entry{.key = {json[0].GetString(), json[0].GetStringLength()},
                      .incarnation = json[1].GetInt64(),
                      .version = json[2].GetInt64(),
                      .value = {json[3].GetString(), json[3].GetStringLength()}};
}

}  // namespace

std::string EncodePeerMessage(const peer_message& message) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  writer.StartArray();
  writer.Int(static_cast<int>(message.kind));
  writer.Uint64(message.probe_id);
  WriteString(writer, message.target);
  writer.Int64(message.position.revision);
  writer.StartArray();
  for (const gossip_entry& entry : message.updates) {
    WriteEntry(writer, entry);
  }
  if (message.position.era > 0) {
    WriteEntry(writer, {.key = kEraKey, .version = message.position.era});
  }
  if (!message.liveness_report.empty()) {
    WriteEntry(writer, {.key = kLivenessKey, .value = message.liveness_report});
  }
  writer.EndArray();
  writer.EndArray();
  return {text.GetString(), text.GetSize()};
}

std::optional<peer_message> DecodePeerMessage(std::string_view bytes) {
  rapidjson::Document document;
  // The recursive parser would use a stack frame for each byte of a deeply nested message.
  document.Parse<rapidjson::kParseIterativeFlag>(bytes.data(), bytes.size());
  if (document.HasParseError() || !document.IsArray() || document.Size() != kMessageFields ||
      !document[0].IsInt() || !document[1].IsUint64() || !document[2].IsString() ||
      !document[3].IsInt64() || !document[4].IsArray()) {
    return std::nullopt;
  }
  const int kind = document[0].GetInt();
  const std::int64_t revision = document[3].GetInt64();
  if (kind < 0 || kind > kLastKind || revision < 0 || revision > kMaxOutsideNumber) {
    return std::nullopt;
  }
  peer_message message{.kind = static_cast<peer_message::kind_type>(kind),
                       .probe_id = document[1].GetUint64(),
                       .target = {document[2].GetString(), document[2].GetStringLength()},
                       .position = {.revision = revision}};
  for (const auto& json : document[4].GetArray()) {
    auto entry = ReadEntry(json);
    if (!entry) {
      return std::nullopt;
    }
    if (entry->key == kEraKey) {
      message.position.era = std::clamp<std::int64_t>(entry->version, 0, kMaxOutsideNumber);
    } else if (entry->key == kLivenessKey) {
      message.liveness_report = std::move(entry->value);
    } else {
      message.updates.push_back(std::move(*entry));
    }
  }
  return message;
}

}  // namespace limpetlever
