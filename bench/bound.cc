#include "bound.h"

#include "base/json_reader.h"

namespace limpetlever {

bool MeetsBound(const bound& limit, double value) {
  return limit.kind == bound::bound_kind::at_most ? value <= limit.value : value >= limit.value;
}

result<std::map<std::string, bound>> ParseBounds(const std::string& text,
                                                 const std::string& source) {
  const auto root = json_reader::ParseText(text, source);
  if (!root) {
    return root.error();
  }
  json_reader in(*root, "");
  std::map<std::string, bound> bounds;
  for (json_reader& item : in.ObjectsOrEmpty("bounds")) {
    const std::string name = item.String("measure");
    constexpr double kMaxValue = 1e15;
    bounds[name] = {.kind = item.StringOneOf("kind", {"at_most", "at_least"}) == "at_least"
                                ? bound::bound_kind::at_least
                                : bound::bound_kind::at_most,
                    .value = item.Number("value", -kMaxValue, kMaxValue),
                    .unit = item.StringOr("unit", ""),
                    .target = item.String("target"),
                    .baseline_must_fail = item.BoolOr("baseline_must_fail", true)};
    in.TakeErrorFrom(item);
  }
  if (const auto parse_error = in.Finish()) {
    return failure{parse_error->code, source + ": " + parse_error->message};
  }
  return bounds;
}

}  // namespace limpetlever
