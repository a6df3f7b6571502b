#include "backend_settings_json.h"

namespace limpetlever {

backend_settings ParseBackendSettings(json_reader& in, backend_settings base) {
  constexpr std::int64_t kMaxInteger = 1'000'000'000;
  const auto integer = [&](const char* key, int& value) {
    value = static_cast<int>(in.IntegerOr(key, 0, kMaxInteger, value));
  };
  integer("port", base.port);
  base.service = in.StringOr("service", base.service);
  base.data_centre = in.StringOr("data_centre", base.data_centre);
  integer("service_time_us", base.service_time_us);
  integer("slots", base.slots);
  integer("connections", base.connections);
  integer("connection_cost_us", base.connection_cost_us);
  integer("cold_slots", base.cold_slots);
  integer("warm_up_ms", base.warm_up_ms);
  integer("restart_ms", base.restart_ms);
  integer("silent_requests", base.silent_requests);
  integer("short_answers", base.short_answers);
  integer("crossed_answers", base.crossed_answers);
  integer("duplicated_answers", base.duplicated_answers);
  base.fails_when_cold = in.BoolOr("fails_when_cold", base.fails_when_cold);
  base.draining = in.BoolOr("draining", base.draining);
  base.straggler_share = in.NumberOr("straggler_share", 0.0, 1.0, base.straggler_share);
  base.straggler_factor = in.NumberOr("straggler_factor", 1.0, 1e6, base.straggler_factor);
  base.reported_load = in.NumberOr("reported_load", -1.0, 1e6, base.reported_load);
  base.crash_mark = in.StringOr("crash_mark", base.crash_mark);
  if (in.Has("versions")) {
    base.versions.clear();
    for (json_reader& item : in.ObjectsOrEmpty("versions")) {
      base.versions.push_back(
          {.version = item.Integer("version", 0, INT64_MAX),
           .shard_count = static_cast<int>(item.IntegerOr("shard_count", 1, kMaxInteger, 1)),
           .shards = item.IntegersOrEmpty("shards", 0, kMaxInteger)});
      in.TakeErrorFrom(item);
    }
  }
  return base;
}

}  // namespace limpetlever
