#include "table/row_json.h"

namespace limpetlever {

namespace {

constexpr double kMaxWeight = 1000.0;
constexpr int kMaxSlots = 10'000;
constexpr int kMaxConnections = 100'000;
constexpr int kMaxConnectionCostMs = 60'000;
constexpr int kMaxDeadlineMs = 600'000;

struct field_writer {
  Poco::JSON::Object& out;

  void operator()(const workload_row& row) const {
    out.set("name", row.name);
    out.set("kind", row.kind == request_kind::submission ? "submission" : "query");
    out.set("default_deadline_ms", row.default_deadline_ms);
  }
  void operator()(const service_row& row) const {
    out.set("name", row.name);
    out.set("workload", row.workload);
    out.set("slots", row.slots);
    out.set("connections", row.connections);
    out.set("connection_cost_ms", row.connection_cost_ms);
    out.set("weight", row.weight);
  }
  void operator()(const data_centre_row& row) const {
    out.set("name", row.name);
    out.set("region", row.region);
    out.set("weight", row.weight);
    out.set("out", row.taken_out);
  }
  void operator()(const backend_server_row& row) const {
    out.set("address", row.address);
    out.set("service", row.service);
    out.set("data_centre", row.data_centre);
    out.set("weight", row.weight);
    out.set("out", row.taken_out);
    out.set("slots", row.slots);
  }
};

}  // namespace

workload_row ReadWorkload(json_reader& in) {
  return {.name = in.String("name"),
          .kind = in.StringOneOf("kind", {"query", "submission"}) == "submission"
                      ? request_kind::submission
                      : request_kind::query,
          .default_deadline_ms =
              static_cast<int>(in.IntegerOr("default_deadline_ms", 1, kMaxDeadlineMs, 170))};
}

service_row ReadService(json_reader& in) {
  return {.name = in.String("name"),
          .workload = in.String("workload"),
          .slots = static_cast<int>(in.Integer("slots", 1, kMaxSlots)),
          .connections = static_cast<int>(in.Integer("connections", 1, kMaxConnections)),
          .connection_cost_ms =
              static_cast<int>(in.Integer("connection_cost_ms", 0, kMaxConnectionCostMs)),
          .weight = in.NumberOr("weight", 0.0, kMaxWeight, 1.0)};
}

data_centre_row ReadDataCentre(json_reader& in) {
  return {.name = in.String("name"),
          .region = in.String("region"),
          .weight = in.NumberOr("weight", 0.0, kMaxWeight, 1.0),
          .taken_out = in.BoolOr("out", false)};
}

backend_server_row ReadBackendServer(json_reader& in) {
  return {.address = in.String("address"),
          .service = in.String("service"),
          .data_centre = in.String("data_centre"),
          .weight = in.NumberOr("weight", 0.0, kMaxWeight, 1.0),
          .taken_out = in.BoolOr("out", false),
          .slots = static_cast<int>(in.IntegerOr("slots", 0, kMaxSlots, 0))};
}

const std::vector<std::string>& RowKinds() {
  static const auto* kinds =
      new std::vector<std::string>{"workload", "service", "data_centre", "backend_server"};
  return *kinds;
}

table_row ReadRow(json_reader& in, const std::string& kind) {
  if (kind == "workload") {
    return ReadWorkload(in);
  }
  if (kind == "service") {
    return ReadService(in);
  }
  if (kind == "data_centre") {
    return ReadDataCentre(in);
  }
  return ReadBackendServer(in);
}

void WriteRow(const table_row& row, Poco::JSON::Object& out) {
  std::visit(field_writer{out}, row);
}

}  // namespace limpetlever
