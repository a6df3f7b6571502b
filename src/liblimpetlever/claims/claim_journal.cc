#include "claims/claim_journal.h"

#include <Poco/Base64Decoder.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <utility>

#include "base/errc.h"
#include "base/json_reader.h"

namespace limpetlever {

namespace {

constexpr std::int64_t kMaxInteger = INT64_MAX;

/** Encodes keys, claim ids and results: arbitrary bytes, which a JSON string cannot hold. */
std::string ToBase64(const std::string& bytes) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = i; j < i + 3; ++j) {
      group = group << 8 | (j < bytes.size() ? static_cast<unsigned char>(bytes[j]) : 0U);
    }
    const std::size_t digits = std::min<std::size_t>(bytes.size() - i, 3) + 1;
    for (std::size_t j = 0; j < 4; ++j) {
      text += j < digits ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

std::string FromBase64(const std::string& text) {
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  std::string bytes;
  Poco::StreamCopier::copyToString(decoder, bytes);
  return bytes;
}

std::int64_t ToMicroseconds(wall_time time) {
  return time.time_since_epoch().count();
}

wall_time FromMicroseconds(std::int64_t count) {
  return wall_time(duration(count));
}

std::string FormatRecord(const claim_record& record) {
  // The fingerprint is a string, since a JSON number cannot hold every 64-bit unsigned value. The
  // text is built without a JSON library for speed, because each write formats a whole journal.
  std::string text = R"({"key":")" + ToBase64(record.key) + R"(","fingerprint":")" +
                     std::to_string(record.fingerprint) + R"(","claim_id":")" +
                     ToBase64(record.claim_id) + R"(","state":")" + ToString(record.state) + "\"";
  if (!record.result.empty()) {
    text += R"(,"result":")" + ToBase64(record.result) + "\"";
  }
  if (record.is_result_dropped) {
    text += R"(,"result_dropped":true)";
  }
  return text + R"(,"expiry_us":)" + std::to_string(ToMicroseconds(record.expiry)) + "}";
}

/** An invalid state is an error of `reader`; the returned value is then not used. */
claim_state ReadState(json_reader& reader) {
  const std::string state =
      reader.StringOneOf("state", {"claimed", "ran", "released", "may_have_run"});
  for (const claim_state value : {claim_state::claimed, claim_state::ran, claim_state::released}) {
    if (state == ToString(value)) {
      return value;
    }
  }
  return claim_state::may_have_run;
}

claim_record ReadRecord(json_reader& reader) {
  return {.key = FromBase64(reader.String("key")),
          .fingerprint = std::strtoull(reader.String("fingerprint").c_str(), nullptr, 10),
          .claim_id = FromBase64(reader.String("claim_id")),
          .state = ReadState(reader),
          .result = FromBase64(reader.StringOr("result", "")),
          .is_result_dropped = reader.BoolOr("result_dropped", false),
          .expiry = FromMicroseconds(reader.Integer("expiry_us", 0, kMaxInteger))};
}

}  // namespace

std::vector<sealed_segment> DropExpired(claim_journal& journal, wall_time wall_now) {
  std::erase_if(journal.records,
                [&](const auto& item) { return IsExpired(item.second, wall_now); });
  std::vector<sealed_segment> dropped;
  std::erase_if(journal.sealed, [&](const sealed_segment& segment) {
    const bool is_expired = wall_now > segment.expiry + kClockSkewMargin;
    if (is_expired) {
      dropped.push_back(segment);
    }
    return is_expired;
  });
  return dropped;
}

std::size_t FormattedRecordSize(const claim_record& record) {
  return FormatRecord(record).size() + 2;  // the separator is ",\n"
}

std::string FormatClaimJournal(const claim_journal& journal) {
  std::string text =
      R"({"next_segment":)" + std::to_string(journal.next_segment) + R"(,"sealed":[)";
  const char* separator = "";
  for (const sealed_segment& segment : journal.sealed) {
    text += separator;
    text += R"({"number":)" + std::to_string(segment.number) + R"(,"expiry_us":)" +
            std::to_string(ToMicroseconds(segment.expiry)) + "}";
    separator = ",";
  }
  text += R"(],"records":[)";
  separator = "\n";
  for (const auto& [key, record] : journal.records) {
    text += separator;
    text += FormatRecord(record);
    separator = ",\n";
  }
  return text + "]}";
}

result<claim_journal> ParseClaimJournal(const std::string& text, const std::string& source) {
  const auto root = json_reader::ParseText(text, source);
  if (!root) {
    return root.error();
  }
  json_reader reader(*root, "");
  claim_journal journal{
      .next_segment = reader.Integer("next_segment", 1, kMaxInteger), .sealed = {}, .records = {}};
  for (json_reader& item : reader.ObjectsOrEmpty("sealed")) {
    journal.sealed.push_back(
        {.number = item.Integer("number", 1, kMaxInteger),
         .expiry = FromMicroseconds(item.Integer("expiry_us", 0, kMaxInteger))});
    reader.TakeErrorFrom(item);
  }
  for (json_reader& item : reader.ObjectsOrEmpty("records")) {
    claim_record record = ReadRecord(item);
    reader.TakeErrorFrom(item);
    std::string key = record.key;
    journal.records.insert_or_assign(std::move(key), std::move(record));
  }
  if (const auto error = reader.Finish()) {
    return failure{error->code, source + ": " + error->message};
  }
  return journal;
}

std::string PartitionKey(int partition) {
  return "claims/" + std::to_string(partition);
}

std::string SegmentKey(int partition, std::int64_t number) {
  return PartitionKey(partition) + "/" + std::to_string(number);
}

}  // namespace limpetlever
