#include "bound.h"

#include "base/json_reader.h"

namespace limpetlever {

bool Keeps(const bound& limit, double figure) {
  return limit.kind == bound::bound_kind::at_most ? figure <= limit.value : figure >= limit.value;
}

result<std::map<std::string, bound>> ReadBounds(const std::string& text,
                                                const std::string& source) {
  const auto root = json_reader::ParseText(text, source);
  if (!root) {
    return root.error();
  }
  json_reader in(*root, "");
  std::map<std::string, bound> bounds;
  for (json_reader& item : in.ObjectsOrEmpty("bounds")) {
    const std::string name = item.String("measure");
    constexpr double kMost = 1e15;
    bounds[name] = {.kind = item.OneOf("kind", {"at_most", "at_least"}) == "at_least"
                                ? bound::bound_kind::at_least
                                : bound::bound_kind::at_most,
                    .value = item.Number("value", -kMost, kMost),
                    .unit = item.StringOr("unit", ""),
                    .target = item.String("target"),
                    .baseline_must_fail = item.BoolOr("baseline_must_fail", true)};
    in.TakeErrorFrom(item);
  }
  if (const auto mistake = in.Finish()) {
    return failure{mistake->code, source + ": " + mistake->message};
  }
  return bounds;
}

}  // namespace limpetlever
