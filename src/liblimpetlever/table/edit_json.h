#ifndef LIMPETLEVER_TABLE_EDIT_JSON_H_
#define LIMPETLEVER_TABLE_EDIT_JSON_H_

#include <string>

#include "base/result.h"
#include "table/edit_request.h"

namespace limpetlever {

/**
 * Parses an edit: {"id", "author", "summary", "base_version", "changes": [CHANGE, ...]}, where a
 * CHANGE is one of {"set": {"row": KIND, ...fields}}, {"remove": KEY}, {"out": KEY}, {"in": KEY}.
 * On an error the message names `source` and the field.
 */
result<edit_request> ParseEditJson(const std::string& text, const std::string& source);

/** Formats the edit as JSON that ParseEditJson reads back to an equal edit, except for time_ms. */
std::string FormatEditJson(const edit_request& edit);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_EDIT_JSON_H_
