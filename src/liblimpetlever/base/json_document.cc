#include "base/json_document.h"

#include <rapidjson/error/en.h>

namespace limpetlever {

result<std::shared_ptr<rapidjson::Document>> ParseJsonObject(std::string_view text,
                                                             std::string_view source) {
  auto document = std::make_shared<rapidjson::Document>();
  // The recursive parser would exhaust the stack on a deeply nested text.
  constexpr unsigned kIterativeFlags =
      rapidjson::kParseCommentsFlag | rapidjson::kParseIterativeFlag;
  document->Parse<kIterativeFlags>(text.data(), text.size());
  const auto invalid = std::make_error_code(std::errc::invalid_argument);
  if (document->HasParseError()) {
    return failure{invalid, std::string(source) + ", byte " +
                                std::to_string(document->GetErrorOffset()) + ": " +
                                rapidjson::GetParseError_En(document->GetParseError())};
  }
  if (!document->IsObject()) {
    return failure{invalid, std::string(source) + ": the top level must be an object"};
  }
  return document;
}

const rapidjson::Value* FindMember(const rapidjson::Value& object, std::string_view name) {
  if (!object.IsObject()) {
    return nullptr;
  }
  const rapidjson::Value key(rapidjson::StringRef(name.data(), name.size()));
  const auto found = object.FindMember(key);
  return found == object.MemberEnd() ? nullptr : &found->value;
}

std::optional<std::string> StringMember(const rapidjson::Value& object, std::string_view name) {
  const auto* member = FindMember(object, name);
  if (member == nullptr || !member->IsString()) {
    return std::nullopt;
  }
  return std::string(member->GetString(), member->GetStringLength());
}

std::optional<std::int64_t> IntegerMember(const rapidjson::Value& object, std::string_view name) {
  const auto* member = FindMember(object, name);
  if (member == nullptr || !member->IsInt64()) {
    return std::nullopt;
  }
  return member->GetInt64();
}

std::optional<double> NumberMember(const rapidjson::Value& object, std::string_view name) {
  const auto* member = FindMember(object, name);
  if (member == nullptr || !member->IsNumber()) {
    return std::nullopt;
  }
  return member->GetDouble();
}

std::optional<bool> BoolMember(const rapidjson::Value& object, std::string_view name) {
  const auto* member = FindMember(object, name);
  if (member == nullptr || !member->IsBool()) {
    return std::nullopt;
  }
  return member->GetBool();
}

}  // namespace limpetlever
