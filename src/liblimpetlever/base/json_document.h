#ifndef LIMPETLEVER_BASE_JSON_DOCUMENT_H_
#define LIMPETLEVER_BASE_JSON_DOCUMENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

// RapidJSON is used here because a configuration may have 350 routes, and Poco's parser would build
// a tree of shared pointers for them.
#include <rapidjson/document.h>

#include "base/result.h"

namespace limpetlever {

/**
 * Parses a text that is one JSON object and may hold comments. The message of a failure begins with
 * `source`.
 */
result<std::shared_ptr<rapidjson::Document>> ParseJsonObject(std::string_view text,
                                                             std::string_view source);

/** The member `name`; nullptr when it is absent or `object` is not a JSON object. */
const rapidjson::Value* FindMember(const rapidjson::Value& object, std::string_view name);
/** The value of the member `name`; nullopt when it is absent or of another type. */
std::optional<std::string> StringMember(const rapidjson::Value& object, std::string_view name);
std::optional<std::int64_t> IntegerMember(const rapidjson::Value& object, std::string_view name);
std::optional<double> NumberMember(const rapidjson::Value& object, std::string_view name);
std::optional<bool> BoolMember(const rapidjson::Value& object, std::string_view name);

}  // namespace limpetlever

#endif  // LIMPETLEVER_BASE_JSON_DOCUMENT_H_
