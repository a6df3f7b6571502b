#ifndef LIMPETLEVER_BASE_JSON_DOCUMENT_H_
#define LIMPETLEVER_BASE_JSON_DOCUMENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

// RapidJSON reads a configuration of 350 routes without a tree of shared pointers.
#include <rapidjson/document.h>

#include "base/result.h"

namespace limpetlever {

/** Parses one JSON object; `source` names it in the failure. */
result<std::shared_ptr<rapidjson::Document>> ParseObject(std::string_view text,
                                                         std::string_view source);

/** nullptr when the object has no such member. */
const rapidjson::Value* FindMember(const rapidjson::Value& object, std::string_view name);
/** nullopt when the member is absent or of another type. */
std::optional<std::string> StringMember(const rapidjson::Value& object, std::string_view name);
std::optional<std::int64_t> IntegerMember(const rapidjson::Value& object, std::string_view name);
std::optional<double> NumberMember(const rapidjson::Value& object, std::string_view name);
std::optional<bool> BoolMember(const rapidjson::Value& object, std::string_view name);

}  // namespace limpetlever

#endif  // LIMPETLEVER_BASE_JSON_DOCUMENT_H_
