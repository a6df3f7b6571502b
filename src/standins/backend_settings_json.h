#ifndef LIMPETLEVER_BACKEND_SETTINGS_JSON_H_
#define LIMPETLEVER_BACKEND_SETTINGS_JSON_H_

#include "backend_settings.h"
#include "base/json_reader.h"

namespace limpetlever {

/**
 * Returns `base`, overridden by the fields that are present in the object. Unknown fields and
 * values out of range are reported by `in.Finish()`, which the caller calls.
 */
backend_settings ParseBackendSettings(json_reader& in, backend_settings base);

}  // namespace limpetlever

#endif  // LIMPETLEVER_BACKEND_SETTINGS_JSON_H_
