#include "server/status_api.h"

#include <algorithm>
#include <string>

#include "server/api_format.h"
#include "server/bad_input_log.h"
#include "server/host_server.h"

namespace limpetlever {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr NewObject() {
  return new Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

Array::Ptr WriteHosts(host_server& server, const operator_table& table) {
  Array::Ptr hosts = new Array;
  const std::string& self = server.state().self().name;
  for (const member& host : server.state().members()) {
    Object::Ptr item = NewObject();
    item->set("name", host.name);
    item->set("region", host.region);
    item->set("data_centre", host.data_centre);
    item->set("http_address", host.http_address);
    item->set("state", host.name == self && server.is_leaving() ? "leaving" : ToString(host.state));
    item->set("out", std::binary_search(table.taken_out_hosts.begin(), table.taken_out_hosts.end(),
                                        host.name));
    hosts->add(item);
  }
  return hosts;
}

Array::Ptr WriteDataCentres(const host_server& server, const operator_table& table) {
  Array::Ptr data_centres = new Array;
  for (const data_centre_row& row : table.data_centres) {
    Object::Ptr item = NewObject();
    item->set("name", row.name);
    item->set("region", row.region);
    item->set("weight", row.weight);
    item->set("out", row.taken_out);
    item->set("state", server.data_centres().DataCentreState(row.name));
    data_centres->add(item);
  }
  return data_centres;
}

Array::Ptr WriteServices(const operator_table& table) {
  Array::Ptr services = new Array;
  for (const service_row& row : table.services) {
    Object::Ptr item = NewObject();
    item->set("name", row.name);
    item->set("workload", row.workload);
    item->set("slots", row.slots);
    item->set("connections", row.connections);
    item->set("connection_cost_ms", row.connection_cost_ms);
    item->set("weight", row.weight);
    services->add(item);
  }
  return services;
}

/** Why a replica gets less work than the table allows; "" if it gets all of it. */
std::string LimitReason(const operator_table& table,
                        const backend_server_row& row,
                        const replica_status* status,
                        int table_limit) {
  const data_centre_row* data_centre = FindDataCentre(table, row.data_centre);
  if (row.taken_out) {
    return "taken out";
  }
  if (data_centre != nullptr && data_centre->taken_out) {
    return "data centre taken out";
  }
  if (status == nullptr) {
    return "no owner has reported on it";
  }
  if (!status->usable) {
    return status->instance_id.empty() ? "does not answer" : "draining";
  }
  if (status->cold) {
    return "cold";
  }
  return status->limit < table_limit ? "slow or shedding load" : "";
}

Array::Ptr WriteReplicas(host_server& server, const operator_table& table) {
  Array::Ptr replicas = new Array;
  const auto statuses = server.state().statuses();
  for (const backend_server_row& row : table.backend_servers) {
    const auto found = statuses.find(row.address);
    const replica_status* status = found == statuses.end() ? nullptr : &found->second;
    const service_row* service = FindService(table, row.service);
    const int table_limit = row.slots > 0 || service == nullptr ? row.slots : service->slots;
    const auto owner = server.state().FindReplicaOwner(row.address);
    const std::string reason = LimitReason(table, row, status, table_limit);
    Object::Ptr item = NewObject();
    item->set("address", row.address);
    item->set("service", row.service);
    item->set("data_centre", row.data_centre);
    item->set("weight", row.weight);
    item->set("out", IsTakenOut(table, row));
    item->set("owner", owner ? owner->name : "");
    item->set("usable", status != nullptr && status->usable);
    item->set("limit", status == nullptr ? 0 : status->limit);
    item->set("table_limit", table_limit);
    item->set("limited", !reason.empty());
    item->set("reason", reason);
    replicas->add(item);
  }
  return replicas;
}

}  // namespace

api_response status_api::Get(const api_request& request) {
  const auto table = server_.state().table();
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("host", server_.state().self().name);
  object.set("data_centre", server_.state().self().data_centre);
  object.set("table_version", table->version);
  object.set("view_epoch", server_.state().view()->epoch);
  object.set("leaving", server_.is_leaving());
  object.set("state", server_.lifecycle_state());
  const auto brief = request.parameters.find("brief");
  if (brief != request.parameters.end() && brief->second == "1") {
    return {.status = 200, .body = FormatJson(object)};
  }
  object.set("hosts", WriteHosts(server_, *table));
  object.set("data_centres", WriteDataCentres(server_, *table));
  object.set("services", WriteServices(*table));
  object.set("replicas", WriteReplicas(server_, *table));
  Object::Ptr bad_input = NewObject();
  for (const auto& [reason, count] : bad_input_.counts()) {
    bad_input->set(reason, count);
  }
  object.set("bad_input", bad_input);
  return {.status = 200, .body = FormatJson(object)};
}

}  // namespace limpetlever
